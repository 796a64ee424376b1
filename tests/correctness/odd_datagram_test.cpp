// One host that receives datagrams of a peer that state what cannot be: each odd item is refused
// alone, and what else the datagram states is used.

#include <functional>
#include <limits>

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include "peers.pb.h"
#include "serve/peer_service.hpp"
#include "stand_ins/loopback_block.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const server_id server("s1");
constexpr std::int64_t start_time = 1;
constexpr int peer_port = 17600;
constexpr auto max_int64 = std::numeric_limits<std::int64_t>::max();

std::string address_of(int host)
{
    static const loopback_block addresses;
    return addresses.address(host);
}

class receiving_host
{
public:
    receiving_host()
        : context(settings(), loop_.get_executor()), watcher_(context), service_(context, watcher_),
          peer_(loop_, {asio::ip::make_address_v4(address_of(2)), peer_port})
    {
        backend_entry entry;
        entry.id = server;
        entry.start_time_ms = start_time;
        context.servers.apply_entry(entry, context.now());
        service_.start();
    }

    static host_settings settings()
    {
        host_settings to;
        to.name = host_id("south-1");
        to.domain = domain_id("south");
        to.ip = address_of(1);
        to.first_peer_port = peer_port;
        // No store listens there.
        to.log.address = endpoint_text(address_of(1) + ":1");
        return to;
    }
    static peers::peer_message message_of(const std::string& host)
    {
        peers::peer_message message;
        message.set_host(host);
        message.set_domain("south");
        message.set_life(7);
        return message;
    }
    void send(const peers::peer_message& message, milliseconds time = 20ms)
    {
        auto bytes = message.SerializeAsString();
        peer_.send_to(asio::buffer(bytes), {asio::ip::make_address_v4(address_of(1)), peer_port});
        run_for(time);
    }
    /// The number of hosts is counted with each report.
    void wait_for_report() { run_for(400ms); }
    const backend_table::record& known() const { return *context.servers.find(server); }
    double refused() const
    {
        double sum = 0;
        auto text = context.stats.text();
        const std::string name = "\nbanyanshunt_peer_items_refused_total{";
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + 1))
        {
            sum += std::stod(text.substr(text.find('}', at) + 1));
        }
        return sum;
    }

private:
    void run_for(milliseconds time)
    {
        loop_.restart();
        loop_.run_for(time);
    }

    asio::io_context loop_{1};

public:
    host_context context;

private:
    state_watcher watcher_;
    peer_service service_;
    asio::ip::udp::socket peer_;
};

} // namespace

TEST_CASE("An odd item in a peer's datagram is refused alone")
{
    receiving_host it;
    auto message = receiving_host::message_of("south-2");
    auto& report = *message.mutable_report();
    report.set_complete(true);
    auto& use = *report.add_servers();
    use.set_server(server.str());
    use.set_running(3);
    auto load = [&] { return backend_table::load(it.known()); };
    it.send(message);
    REQUIRE(load() == 3);
    REQUIRE(it.refused() == 0);

    SECTION("a number of requests that no host has")
    {
        for (auto running : {UINT32_MAX, std::uint32_t(INT32_MAX) + 1, 1'000'001U})
        {
            use.set_running(running);
            it.send(message);
            CHECK(load() >= 0);
            CHECK(load() <= 3);
        }
        CHECK(it.refused() == 3);
    }
    SECTION("beside a good one, which is used")
    {
        use.set_running(5);
        auto& odd = *report.add_servers();
        odd.set_server(server.str());
        odd.set_running(UINT32_MAX);
        it.send(message);
        CHECK(load() == 5);
        CHECK(it.refused() == 1);
    }
    SECTION("a name that is none")
    {
        for (const char* name : {"", "a b", "a\n", "\xff"})
        {
            auto placement = receiving_host::message_of("south-2");
            auto& held = *placement.add_placements();
            held.set_server(server.str());
            held.set_born_ms(start_time);
            held.add_models()->set_model(name);
            it.send(placement);
        }
        CHECK_FALSE(it.known().owner);
        CHECK(it.refused() == 4);
    }
    SECTION("a fencing number that no partition has, and that no later one could exceed")
    {
        for (std::int64_t number : {std::int64_t(-1), max_int64})
        {
            auto placement = receiving_host::message_of("south-2");
            auto& held = *placement.add_placements();
            held.set_server(server.str());
            held.set_born_ms(start_time);
            held.set_fence(number);
            it.send(placement);
        }
        CHECK_FALSE(it.known().owner);
        CHECK(it.refused() == 2);
    }
    SECTION("a limit that is none")
    {
        auto limit = receiving_host::message_of("south-2");
        auto& statement = *limit.add_limits();
        statement.set_server(server.str());
        statement.set_born_ms(start_time);
        statement.set_stated(true);
        statement.set_millirequests_per_s(UINT64_MAX);
        it.send(limit);
        CHECK_FALSE(it.context.servers.limits().in_force(server));
        statement.set_millirequests_per_s(1000);
        statement.set_born_ms(max_int64);
        it.send(limit);
        CHECK_FALSE(it.context.servers.limits().in_force(server));
        CHECK(it.refused() == 2);
    }
    SECTION("a notice of an incarnation that cannot be")
    {
        auto leaving = receiving_host::message_of("south-2");
        auto& notice = *leaving.add_leaving();
        notice.set_server(server.str());
        notice.set_born_ms(max_int64);
        it.send(leaving);
        CHECK_FALSE(it.context.servers.notices().leaving(server, start_time));
        CHECK(it.refused() == 1);
    }
    SECTION("a crash that cannot be, or of more parts than a server has requests")
    {
        auto crashes = receiving_host::message_of("south-2");
        auto& crash = *crashes.add_prompt_crashes();
        crash.set_server(server.str());
        crash.set_born_ms(max_int64);
        crash.add_parts(1);
        it.send(crashes);
        crash.set_born_ms(start_time);
        constexpr std::uint64_t too_many = 257;
        for (std::uint64_t part = 2; part <= too_many; ++part)
        {
            crash.add_parts(part);
        }
        it.send(crashes);
        CHECK(it.context.quarantine.suspects() == 0);
        CHECK(it.refused() == 2);
    }
    SECTION("in a message that another host forwards")
    {
        auto bundle = receiving_host::message_of("south-3");
        auto& bundled = *bundle.add_bundled();
        bundled = message;
        bundled.set_relayed(peers::passed_on);
        bundled.set_address(address_of(2) + ":17600");
        bundled.mutable_report()->mutable_servers(0)->set_running(UINT32_MAX);
        it.send(bundle);
        CHECK(load() >= 0);
        CHECK(it.refused() == 1);
    }
}

TEST_CASE("A host that no fleet has is not taken for a peer")
{
    receiving_host it;
    it.send(receiving_host::message_of("south-2"));
    auto hosts = [&] { return it.context.host_count; };
    it.wait_for_report();
    REQUIRE(hosts() == 2);

    SECTION("its name is none")
    {
        for (const char* name : {"a b", "a\n", "\xff\xfe"})
        {
            it.send(receiving_host::message_of(name));
        }
        it.send(receiving_host::message_of(std::string(300, 'n')));
        it.wait_for_report();
        CHECK(hosts() == 2);
        CHECK(it.refused() == 4);
    }
    SECTION("it is one of ten thousand")
    {
        for (int n = 0; n < 10'000; n += 50)
        {
            auto bundle = receiving_host::message_of("south-2");
            for (int k = n; k < n + 50; ++k)
            {
                auto& to = *bundle.add_bundled();
                to = receiving_host::message_of("odd-" + std::to_string(k));
                to.set_relayed(peers::passed_on);
                to.set_address(address_of(2) + ":17600");
            }
            it.send(bundle, 1ms);
        }
        it.wait_for_report();
        CHECK(hosts() <= 4096);
        CHECK(it.refused() > 0);
    }
}
