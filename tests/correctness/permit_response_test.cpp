// A permit is taken only from the host that was asked, as the answer to the request that waits.

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "coordination/permit_requests.hpp"
#include "coordination/permit_schedule.hpp"
#include "correctness/receiving_host.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// The other host, which answers requests for permits.
constexpr const char* granter = "north-2";

/// A server that this host and `granter` agree is the granter's.
server_id server_of_granter()
{
    for (int n = 0;; ++n)
    {
        server_id server("limited-" + std::to_string(n));
        if (permit_granter(server, {receiving_host::settings().name, host_id(granter)}) ==
            host_id(granter))
        {
            return server;
        }
    }
}

} // namespace

TEST_CASE("A response of another host, or to an earlier incarnation, gives no permit")
{
    receiving_host it;
    auto limited = server_of_granter();
    it.context.servers.limits().record(limited, {.start_time_ms = start_time,
                                                 .rate = millirequests_per_second(2300),
                                                 .at = it.context.now()});
    auto bytes = receiving_host::message_of(granter).SerializeAsString();
    auto to_host = asio::ip::udp::endpoint(asio::ip::make_address_v4(address_of(1)), peer_port);
    it.north().send_to(asio::buffer(bytes), to_host);
    it.run_until([&] { return it.context.host_count > 1; });
    REQUIRE(it.context.host_count == 2);

    // Answers each request as `respond` says: by which host, and with which number.
    std::string responder = granter;
    std::optional<std::int64_t> other_number;
    std::array<char, 65536> buf{};
    int requests = 0;
    std::function<void()> answer = [&]
    {
        it.north().async_receive(
            asio::buffer(buf),
            [&](boost::system::error_code ec, std::size_t n)
            {
                peers::peer_message message;
                if (!ec && message.ParseFromArray(buf.data(), static_cast<int>(n)) &&
                    message.permit_requests_size() > 0)
                {
                    ++requests;
                    auto response = receiving_host::message_of(responder.c_str());
                    auto& to = *response.add_permit_responses();
                    to.set_number(other_number.value_or(message.permit_requests(0).number()));
                    to.set_granted(true);
                    it.north().send_to(asio::buffer(response.SerializeAsString()), to_host);
                }
                if (!ec)
                {
                    answer();
                }
            });
    };
    answer();
    std::optional<permit_response> permit;
    auto acquire = [&]
    {
        asio::co_spawn(it.context.executor, it.context.resources->acquire_permit(limited, 2s),
                       [&](const std::exception_ptr&, permit_response response)
                       { permit = response; });
        it.run_until([&] { return permit.has_value(); });
        REQUIRE(permit);
        REQUIRE(requests == 1);
    };

    SECTION("the granter's response to the request that waits gives one")
    {
        acquire();
        CHECK(permit->granted);
    }
    SECTION("a response of a host that was not asked")
    {
        responder = "north-9";
        acquire();
        CHECK_FALSE(permit->granted);
    }
    SECTION("the granter's response to the first request of an earlier incarnation")
    {
        other_number = 1;
        acquire();
        CHECK_FALSE(permit->granted);
    }
}

TEST_CASE("A second response to a request for a permit does not replace the first")
{
    permit_requests requests{incarnation_id(7)};
    auto number = requests.begin(host_id(granter));
    CHECK_FALSE(requests.has_response(number));
    REQUIRE(requests.record(host_id(granter), number, {.granted = false, .wait = 40ms}));
    CHECK_FALSE(requests.record(host_id(granter), number, {.granted = true}));
    CHECK(requests.has_response(number));
    auto response = requests.end(number);
    REQUIRE(response);
    CHECK_FALSE(response->granted);
    CHECK_FALSE(requests.record(host_id(granter), number, {.granted = true}));
}
