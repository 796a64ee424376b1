// A host that was told of a position that its topic never reached. It finds out by the offsets that
// the store states, reads the topic completely, and takes no empty response for a confirmation.

#include <atomic>
#include <thread>

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include "peers.pb.h"
#include "serve_case.hpp"
#include "transport/loop/event_loop.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr const char* config_topic = "keyed.op";
constexpr const char* server_topic = "keyed.servers";
constexpr int peer_port = 17600;
/// Enough that one of them reads the topics for the domain.
constexpr int peer_count = 6;
constexpr std::int64_t far_ahead = 1'000'000'000;
/// Registered by `serve_case`.
constexpr std::int64_t server_records = 4;
constexpr milliseconds revocation = slo_bounds{}.key_revocation;

enum class answer
{
    none,
    /// The topics as the store has them.
    true_end,
    /// All records were read up to an end ahead of the topic's; none of them changed anything.
    false_end,
};

/// The other hosts of a failure domain: they report, and answer requests for their view.
class domain_peers
{
public:
    explicit domain_peers(const std::string& host)
        : socket_(loop_, {asio::ip::make_address_v4(addresses_.address(1)), peer_port}),
          host_(asio::ip::make_address_v4(host), peer_port), thread_([this] { run(); })
    {
    }
    ~domain_peers()
    {
        stopping_ = true;
        thread_.join();
    }

    std::atomic<answer> answers = answer::true_end;
    /// How far the false end lies ahead of the topics' ends.
    std::atomic<std::int64_t> ahead = far_ahead;
    std::atomic<std::int64_t> config_end = 1;
    /// How many requests got each answer.
    std::atomic<int> true_answers = 0;
    std::atomic<int> false_answers = 0;

private:
    void run()
    {
        socket_.non_blocking(true);
        std::string buf(65536, '\0');
        for (int n = 0; !stopping_; ++n)
        {
            if (n % 25 == 0)
            {
                send_all([](peers::peer_message& it) { it.mutable_report()->set_complete(true); });
            }
            boost::system::error_code ec;
            std::size_t size = 0;
            while (size = socket_.receive(asio::buffer(buf), 0, ec), !ec)
            {
                peers::peer_message message;
                if (message.ParseFromArray(buf.data(), static_cast<int>(size)) &&
                    message.has_view_asked())
                {
                    respond(message.view_asked());
                }
            }
            std::this_thread::sleep_for(10ms);
        }
    }
    void respond(const peers::view_ask& request)
    {
        auto kind = answers.load();
        if (kind == answer::none)
        {
            return;
        }
        bool is_false = kind == answer::false_end;
        auto write = [&](peers::topic_view& to, std::int64_t from, std::int64_t end)
        {
            to.set_end(is_false ? end + ahead : end);
            to.set_whole(is_false || from >= end);
        };
        send_all(
            [&](peers::peer_message& it)
            {
                it.mutable_view()->set_number(request.number());
                write(*it.mutable_view()->mutable_config(), request.config_from(), config_end);
                write(*it.mutable_view()->mutable_servers(), request.servers_from(),
                      server_records);
            });
        ++(is_false ? false_answers : true_answers);
    }
    /// From each peer, as only the one that was asked counts.
    template <class Fill>
    void send_all(const Fill& fill)
    {
        for (int n = 0; n < peer_count; ++n)
        {
            peers::peer_message message;
            message.set_host("peer-" + std::to_string(n));
            message.set_domain("north");
            message.set_life(7);
            fill(message);
            boost::system::error_code ec;
            socket_.send_to(asio::buffer(message.SerializeAsString()), host_, 0, ec);
        }
    }

    loopback_block addresses_;
    asio::io_context loop_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint host_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

bool has_metric(const serve_case& it, const std::string& topic)
{
    return it.scrape().find("banyanshunt_records_refused_total{topic=\"" + topic + "\"}") !=
           std::string::npos;
}

} // namespace

TEST_CASE("A host that took over a false end of a topic still learns that a key was withdrawn")
{
    serve_case it;
    REQUIRE(it.started);
    domain_peers peers(it.hosts.front()->ip);
    REQUIRE(serve_case::eventually([&] { return peers.true_answers > 1; }));
    peers.ahead = GENERATE(3, far_ahead);

    SECTION("its reader said so once, and then nothing")
    {
        peers.answers = answer::false_end;
        REQUIRE(serve_case::eventually([&] { return peers.false_answers > 0; }));
        peers.answers = answer::none;
    }
    SECTION("its reader said so once, and then the truth")
    {
        peers.answers = answer::false_end;
        REQUIRE(serve_case::eventually([&] { return peers.false_answers > 0; }));
        peers.answers = answer::true_end;
    }
    if (peers.ahead == far_ahead)
    {
        SECTION("its reader says so again and again")
        {
            peers.answers = answer::false_end;
            REQUIRE(serve_case::eventually([&] { return peers.false_answers > 1; }));
        }
    }
    it.store.put(config_topic, "config", serve_manifest(2, {"new-key"}));
    ++peers.config_end;
    auto acknowledged_at = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(acknowledged_at + revocation);
    CHECK(it.send("GET", "/read/1", "withdrawn", "good-key").status == 401);
    CHECK(it.send("GET", "/read/1", "new", "new-key").status == 200);
    CHECK(has_metric(it, config_topic));
    CHECK(has_metric(it, server_topic));
}

TEST_CASE("A host follows its topics where the store states their ends as it may")
{
    serve_case it;
    REQUIRE(it.started);

    SECTION("there are more records than one response holds")
    {
        it.store.put(server_topic, "d1", "");
        for (int n = 0; n < 40; ++n)
        {
            it.store.put(server_topic, "odd-" + std::to_string(n), std::string(60'000, ' '));
        }
        it.store.put(server_topic, "d2", "");
        auto acknowledged_at = std::chrono::steady_clock::now();
        std::this_thread::sleep_until(acknowledged_at + slo_bounds{}.drain);
        CHECK(it.get("/read/1", "no-server").first != 200);
        CHECK(it.store.newest_calls(server_topic) == 1);
    }
    SECTION("records expire while it stands at the end")
    {
        it.store.expire(config_topic, 1);
        it.store.expire(server_topic, server_records);
        std::this_thread::sleep_for(2500ms);
        CHECK(it.get("/read/1", "served").first == 200);
        CHECK(it.store.newest_calls(config_topic) == 1);
        CHECK(it.store.newest_calls(server_topic) == 1);
    }
    SECTION("records expire that it has not read")
    {
        it.store.expire(config_topic, 2);
        it.store.put(config_topic, "config", serve_manifest(2, {"new-key"}));
        CHECK(serve_case::eventually(
            [&] { return it.send("GET", "/read/1", "new", "new-key").status == 200; }));
        CHECK_FALSE(has_metric(it, config_topic));
    }
}
