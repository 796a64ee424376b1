// A whole entry host, and servers that leave while its contact with the store is disturbed.

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <nlohmann/json.hpp>

#include "platform/manifest.hpp"
#include "platform/registry.hpp"
#include "serve/active_request.hpp"
#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

using steady_instant = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

constexpr const char* registry = "keyed.servers";
/// The platform's bound on requests to a server that has said that it leaves.
constexpr milliseconds drain_bound = slo_bounds{}.drain;
constexpr milliseconds observed_time = drain_bound + 1000ms;
/// Longer than the 3 s after which entries of running servers may have lapsed.
constexpr milliseconds outage{3200};
/// Too short for a configuration that is too old to judge keys by.
constexpr milliseconds short_outage{2500};
constexpr milliseconds caller_period{20};
/// How long a host's read of the registry waits for a change, if it may be asked for the result
/// and if not.
constexpr milliseconds shared_wait{500};
constexpr milliseconds lone_wait{2200};

/// A caller that sends a request each `caller_period`, until it is destroyed.
class steady_caller
{
public:
    explicit steady_caller(const serve_case& to)
        : thread_(
              [this, &to]
              {
                  while (!stopping_)
                  {
                      auto response = to.get("/read/1", "steady");
                      ++(response.first == 200 ? served_ : not_served_);
                      std::this_thread::sleep_for(caller_period);
                  }
              })
    {
    }
    ~steady_caller()
    {
        stopping_ = true;
        thread_.join();
    }

    int served() const { return served_; }
    int not_served() const { return not_served_; }

private:
    std::atomic<bool> stopping_ = false;
    std::atomic<int> served_ = 0;
    std::atomic<int> not_served_ = 0;
    std::thread thread_;
};

/// The time from `left_at` to the last request that arrived at the server.
milliseconds last_arrival(const backend_stand_in& server, steady_instant left_at)
{
    auto arrivals = server.arrivals();
    return arrivals.empty() ? milliseconds(0)
                            : std::chrono::duration_cast<milliseconds>(arrivals.back() - left_at);
}

/// Waits until the host's next read of the registry reaches the store.
void wait_for_read(const store_stand_in& store)
{
    int before = store.reads(registry);
    REQUIRE(serve_case::eventually([&] { return store.reads(registry) > before; }));
}

/// How a server says that it leaves.
enum class departure
{
    draining,
    removed,
};

/// Lets the first plain server leave, and returns when the store acknowledged it.
steady_instant leave(serve_case& it, departure how)
{
    it.store.put(registry, "d1",
                 how == departure::draining ? it.desk1.registry_entry("desk", true) : "");
    return std::chrono::steady_clock::now();
}

void check_no_late_request(const serve_case& it, steady_instant left_at)
{
    std::this_thread::sleep_until(left_at + observed_time);
    CHECK(last_arrival(it.desk1, left_at).count() <= drain_bound.count());
}

/// The request path of one host on an event loop that the test runs step by step, with two plain
/// servers and one request.
class stepped_request
{
public:
    stepped_request() : context_(settings(), loop_.get_executor())
    {
        auto manifest = nlohmann::json::parse(serve_manifest(1, {"good-key"}));
        for (auto& route : manifest["routes"])
        {
            route["public"] = true;
        }
        context_.config = *platform::parse_manifest(manifest.dump());
        context_.ground.record_response(log_offset(0), context_.now());
        apply(desk1, false);
        apply(desk2, false);

        tcp::acceptor acceptor(loop_, {asio::ip::make_address_v4("127.0.0.1"), 0});
        caller_.connect(acceptor.local_endpoint());
        caller_request request(http::verb::get, "/read/1", 11);
        request.set(http::field::host, "desk.example");
        request.set("X-Request-Id", "stepped");
        request.set("X-Deadline-Ms", "4000");
        request_ = std::make_shared<active_request>(
            context_, std::make_shared<caller_connection>(acceptor.accept()), request,
            memory_reservation());
        asio::co_spawn(loop_, request_->run(),
                       [this](const std::exception_ptr&, bool) { ended_ = true; });
    }

    /// Runs the request until its server is chosen and the connection to it is being made; returns
    /// that server.
    backend_stand_in& run_to_connect()
    {
        while (!ended_ && load("d1") + load("d2") == 0)
        {
            loop_.run_one();
        }
        return load("d1") > 0 ? desk1 : desk2;
    }
    /// Runs it to its end; returns the first bytes of the response.
    std::string run_to_end()
    {
        while (!ended_)
        {
            loop_.run_one();
        }
        std::string buf(12, ' ');
        boost::system::error_code ec;
        asio::read(caller_, asio::buffer(buf), ec);
        return buf;
    }
    /// The host learns that a server leaves.
    void learn(backend_stand_in& server, departure how)
    {
        if (how == departure::draining)
        {
            apply(server, true);
            return;
        }
        context_.servers.remove(id(server));
    }
    backend_stand_in& other(const backend_stand_in& server)
    {
        return &server == &desk1 ? desk2 : desk1;
    }

    backend_stand_in desk1{"d1", {}};
    backend_stand_in desk2{"d2", {}};

private:
    static host_settings settings()
    {
        host_settings to;
        to.name = host_id("h1");
        to.domain = domain_id("north");
        return to;
    }
    server_id id(const backend_stand_in& server) const
    {
        return server_id(&server == &desk1 ? "d1" : "d2");
    }
    void apply(const backend_stand_in& server, bool draining)
    {
        auto entry =
            platform::parse_server_entry(id(server), server.registry_entry("desk", draining));
        context_.servers.apply_entry(*entry, context_.now());
    }
    int load(const char* server) const
    {
        return backend_table::load(*context_.servers.find(server_id(server)));
    }

    asio::io_context loop_{1};
    host_context context_;
    tcp::socket caller_{loop_};
    std::shared_ptr<active_request> request_;
    bool ended_ = false;
};

} // namespace

TEST_CASE("A server that leaves gets no request 2 s later, though the store's connection is silent")
{
    serve_case it(1, store_path::proxied);
    REQUIRE(it.started);
    steady_caller caller(it);
    // The host has just begun a call that waits for a change.
    wait_for_read(it.store);
    std::this_thread::sleep_for(100ms);
    it.store_link->blackhole();
    std::this_thread::sleep_for(100ms);
    check_no_late_request(it, leave(it, departure::draining));
    // The other server takes them.
    CHECK(caller.not_served() == 0);
}

TEST_CASE("A server that begins to leave while a connection to it is made gets no request on it")
{
    stepped_request it;
    auto& chosen = it.run_to_connect();

    SECTION("it announces that it drains")
    {
        it.learn(chosen, departure::draining);
    }
    SECTION("its entry is removed")
    {
        it.learn(chosen, departure::removed);
    }
    CHECK(it.run_to_end() == "HTTP/1.1 200");
    CHECK(chosen.arrivals().empty());
    CHECK(it.other(chosen).arrivals().size() == 1);
}

TEST_CASE("A server whose entry is removed after a quiet time gets no request 2 s later")
{
    serve_case it;
    REQUIRE(it.started);
    steady_caller caller(it);
    // A call has just ended without a change.
    wait_for_read(it.store);
    std::this_thread::sleep_for(lone_wait + 200ms);
    check_no_late_request(it, leave(it, departure::removed));
    CHECK(caller.not_served() == 0);
}

TEST_CASE("A server whose entry is removed after an outage of the store gets no request 2 s later")
{
    serve_case it(1, store_path::proxied);
    REQUIRE(it.started);
    steady_caller caller(it);
    it.store_link->cut();
    std::this_thread::sleep_for(outage);
    it.store_link->heal();
    // The first read after the outage does not wait for a change, the second one does.
    wait_for_read(it.store);
    wait_for_read(it.store);
    std::this_thread::sleep_for(shared_wait + 50ms);
    REQUIRE(it.ready() == 200);
    int refused = caller.not_served();
    check_no_late_request(it, leave(it, departure::removed));
    CHECK(caller.not_served() == refused);
}

TEST_CASE("Requests are served while the store cannot be reached")
{
    serve_case it(1, store_path::proxied);
    REQUIRE(it.started);
    steady_caller caller(it);
    it.store_link->cut();
    std::this_thread::sleep_for(short_outage);
    it.store_link->heal();
    std::this_thread::sleep_for(500ms);
    CHECK(caller.served() > 0);
    CHECK(caller.not_served() == 0);
}

TEST_CASE(
    "Servers whose entries lapsed in an outage of the store are used until they register again")
{
    serve_case it(1, store_path::proxied);
    REQUIRE(it.started);
    steady_caller caller(it);
    it.store_link->cut();
    std::this_thread::sleep_for(outage);
    it.store.put(registry, "d1", "");
    it.store.put(registry, "d2", "");
    it.store_link->heal();
    // The configuration is too old until the store responds.
    wait_for_read(it.store);
    REQUIRE(serve_case::eventually([&] { return it.ready() == 200; }));
    int refused = caller.not_served();
    std::this_thread::sleep_for(700ms);
    it.store.put(registry, "d1", it.desk1.registry_entry("desk"));
    it.store.put(registry, "d2", it.desk2.registry_entry("desk"));
    std::this_thread::sleep_for(2500ms);
    CHECK(caller.not_served() == refused);
}
