// Complete entry hosts with servers that state in their responses that they leave, or that they
// want no requests for some time.

#include <catch2/catch.hpp>

#include <random>

#include <nlohmann/json.hpp>

#include "serve_case.hpp"
#include "stand_ins/raw_server.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

using steady_instant = std::chrono::steady_clock::time_point;

constexpr auto request_gap = 30ms;
/// From a response, or a change of the registry, until all that rested on an earlier choice was
/// sent or chosen anew: hosts read the registry each 1.1 s.
constexpr auto settle_time = 1800ms;
/// Datagrams between hosts on loopback arrive within milliseconds.
constexpr auto spread_time = 500ms;

std::ptrdiff_t arrivals_between(const backend_stand_in& server, steady_instant from,
                                steady_instant until = steady_instant::max())
{
    auto arrivals = server.arrivals();
    return std::count_if(arrivals.begin(), arrivals.end(),
                         [&](steady_instant at) { return at >= from && at < until; });
}

/// Sends requests one after the other, to all hosts in turn.
class caller
{
public:
    caller(const serve_case& it, std::string method, std::string path, std::string model = {})
        : it_(it), method_(std::move(method)), path_(std::move(path)), model_(std::move(model))
    {
    }

    serve_case::call_result send_to(std::size_t host)
    {
        return results.emplace_back(
            it_.send(method_, path_, "n" + std::to_string(++n_), "good-key", model_, host));
    }
    serve_case::call_result send() { return send_to(n_ % it_.hosts.size()); }
    void run(std::chrono::milliseconds length)
    {
        auto until = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < until)
        {
            send();
            std::this_thread::sleep_for(request_gap);
        }
    }
    template <class Condition>
    bool run_until(const Condition& condition)
    {
        for (int n = 0; n < 100 && !condition(); ++n)
        {
            send();
        }
        return condition();
    }
    bool all_served() const
    {
        return std::all_of(results.begin(), results.end(),
                           [](const auto& it) { return it.status == 200; });
    }

    std::vector<serve_case::call_result> results;

private:
    const serve_case& it_;
    std::string method_;
    std::string path_;
    std::string model_;
    std::size_t n_ = 0;
};

/// Whether the server gets any request of one and a half seconds of them.
bool gets_requests(caller& callers, const backend_stand_in& server)
{
    auto from = std::chrono::steady_clock::now();
    callers.run(1500ms);
    return arrivals_between(server, from) > 0;
}

} // namespace

TEST_CASE("A server that said in a response that it leaves gets nothing more")
{
    serve_case it;
    REQUIRE(it.started);
    auto leave = [&](caller& callers, backend_stand_in& server)
    {
        server.stated_leaving = "1";
        REQUIRE(callers.run_until([&] { return server.leaving_responses() > 0; }));
        std::this_thread::sleep_for(settle_time);
        CHECK_FALSE(gets_requests(callers, server));
        CHECK(std::none_of(callers.results.begin(), callers.results.end(),
                           [](const auto& response) { return response.states_leaving; }));
    };

    SECTION("in a success")
    {
        caller callers(it, "GET", "/read/1");
        leave(callers, it.desk1);
        CHECK(callers.all_served());
    }
    SECTION("in the response to a request that may run once only")
    {
        caller callers(it, "POST", "/book/1");
        leave(callers, it.desk1);
        CHECK(callers.all_served());
    }
    SECTION("in the head of a stream")
    {
        caller callers(it, "POST", "/guide/1", "busy");
        leave(callers, it.engine1);
        CHECK(callers.all_served());
    }
    SECTION("in a refusal")
    {
        it.desk1.active_fault = backend_stand_in::fault::full;
        caller callers(it, "GET", "/read/1");
        leave(callers, it.desk1);
        CHECK(callers.all_served());
    }
    SECTION("in an error of its own")
    {
        it.desk1.active_fault = backend_stand_in::fault::own_error;
        caller callers(it, "POST", "/book/1");
        leave(callers, it.desk1);
    }
}

TEST_CASE("An engine that said in a response to its owner that it leaves gets nothing more")
{
    serve_case it;
    REQUIRE(it.started);
    backend_stand_in engine3("e3", {"busy"});
    engine3.stated_leaving = "1";
    auto answered = [&] { return engine3.leaving_responses() > 0; };
    auto announce = [&]
    {
        it.store.put("keyed.servers", "e3", engine3.registry_entry("models"));
        it.store.put("keyed.servers", "e1", "");
        it.store.put("keyed.servers", "e2", "");
    };

    SECTION("in a report")
    {
        engine3.notice_path = "/api/report";
        announce();
        REQUIRE(serve_case::eventually(answered));
    }
    SECTION("in the response to an order")
    {
        engine3.notice_path = "/api/order";
        announce();
        caller rare(it, "POST", "/guide/1", "rare");
        REQUIRE(rare.run_until(answered));
    }
    std::this_thread::sleep_for(settle_time);
    caller callers(it, "POST", "/guide/1", "busy");
    CHECK_FALSE(gets_requests(callers, engine3));
}

TEST_CASE("A response is a server's word only if it shows that this server made it")
{
    serve_case it;
    REQUIRE(it.started);
    // A server in the place of the first one: each response is `before`, and one with `fields`.
    std::string before;
    std::string fields;
    int status = 200;
    raw_server server(
        [&](int, int, const std::string& text)
        {
            auto from = text.find("X-Request-Id");
            auto id = text.substr(from, text.find("\r\n", from) + 2 - from);
            return raw_response{
                .bytes =
                    before + http_text(status, "body", id + "X-Server-Stamp: d1\r\n" + fields)};
        });
    const std::string stated = "Server-Leaving: 1\r\n";
    const std::string late = http_text(200, "late", "X-Request-Id: another\r\n" + stated);
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n" + stated + "\r\n";
    auto requests_after_the_first = [&]
    {
        auto entry = nlohmann::json::parse(it.desk1.registry_entry("desk"));
        entry["address"] = server.address();
        entry["sequence"] = 2;
        it.store.put("keyed.servers", "d1", entry.dump());
        caller callers(it, "GET", "/read/1");
        REQUIRE(callers.run_until([&] { return server.requests() > 0; }));
        callers.run(1500ms);
        return server.requests() - 1;
    };

    SECTION("the response to another request, and then the one to its request: it leaves")
    {
        before = late;
        CHECK(requests_after_the_first() == 0);
    }
    SECTION("an interim response, and then the one to its request: it leaves")
    {
        before = interim;
        CHECK(requests_after_the_first() == 0);
    }
    SECTION("a misdirected response: another server has the address")
    {
        status = 421;
        fields = stated;
        CHECK(requests_after_the_first() > 0);
    }
    SECTION("the response to another request, and then a misdirected one")
    {
        before = late;
        status = 421;
        CHECK(requests_after_the_first() > 0);
    }
    SECTION("a misdirected response that names this server as its maker: it leaves")
    {
        status = 421;
        fields = stated + "X-Instance-Id: d1\r\n";
        CHECK(requests_after_the_first() == 0);
    }
    SECTION("a response that names another server as its maker")
    {
        fields = stated + "X-Instance-Id: d9\r\n";
        CHECK(requests_after_the_first() > 0);
    }
}

TEST_CASE("Only a restart undoes that a server leaves")
{
    serve_case it;
    REQUIRE(it.started);
    caller callers(it, "GET", "/read/1");
    it.desk1.stated_leaving = "1";
    REQUIRE(callers.run_until([&] { return it.desk1.leaving_responses() > 0; }));
    it.desk1.stated_leaving = nullptr;
    auto announce = [&] { it.store.put("keyed.servers", "d1", it.desk1.registry_entry("desk")); };

    SECTION("its registry entry that is ready does not")
    {
        announce();
        std::this_thread::sleep_for(settle_time);
        CHECK_FALSE(gets_requests(callers, it.desk1));
    }
    SECTION("its removal and the same entry again do not")
    {
        it.store.put("keyed.servers", "d1", "");
        std::this_thread::sleep_for(settle_time);
        announce();
        std::this_thread::sleep_for(settle_time);
        CHECK_FALSE(gets_requests(callers, it.desk1));
    }
    SECTION("its next incarnation at the same address gets requests")
    {
        it.desk1.start_time_ms = 2;
        announce();
        std::this_thread::sleep_for(settle_time);
        CHECK(gets_requests(callers, it.desk1));
    }
    CHECK(callers.all_served());
}

TEST_CASE("A server's leaving that one host saw is known to all")
{
    serve_case it(3);
    REQUIRE(it.started);
    caller callers(it, "GET", "/read/1");
    // The other hosts get none of its responses that state it.
    it.desk1.stated_leaving = "1";
    for (int n = 0; n < 100 && it.desk1.leaving_responses() == 0; ++n)
    {
        callers.send_to(0);
    }
    it.desk1.stated_leaving = nullptr;
    REQUIRE(it.desk1.leaving_responses() > 0);
    std::this_thread::sleep_for(spread_time);
    CHECK_FALSE(gets_requests(callers, it.desk1));
    CHECK(callers.all_served());
}

TEST_CASE("A server that wants no requests for some time gets none until it has passed")
{
    serve_case it;
    REQUIRE(it.started);
    caller callers(it, "GET", "/read/1");
    auto pause = [&](backend_stand_in& server, const char* text)
    {
        server.stated_retry_after = text;
        server.active_fault = backend_stand_in::fault::full;
        auto before = std::chrono::steady_clock::now();
        REQUIRE(callers.run_until([&] { return arrivals_between(server, before) > 0; }));
        return std::chrono::steady_clock::now();
    };

    SECTION("the other server takes them, and it gets its part again afterwards")
    {
        auto stated_at = pause(it.desk1, "3");
        it.desk1.active_fault = backend_stand_in::fault::none;
        callers.run(3200ms);
        CHECK(arrivals_between(it.desk1, stated_at + 100ms, stated_at + 2900ms) == 0);
        CHECK(gets_requests(callers, it.desk1));
        CHECK(callers.all_served());
    }
    SECTION("a restart ends it")
    {
        pause(it.desk1, "30");
        it.desk1.active_fault = backend_stand_in::fault::none;
        CHECK_FALSE(gets_requests(callers, it.desk1));
        it.desk1.start_time_ms = 2;
        it.store.put("keyed.servers", "d1", it.desk1.registry_entry("desk"));
        std::this_thread::sleep_for(settle_time);
        CHECK(gets_requests(callers, it.desk1));
        CHECK(callers.all_served());
    }
    SECTION("a short one of all servers is waited for")
    {
        it.store.put("keyed.servers", "d2", "");
        std::this_thread::sleep_for(settle_time);
        it.desk1.stated_retry_after = "0.4";
        it.desk1.active_fault = backend_stand_in::fault::full;
        std::thread healer(
            [&]
            {
                std::this_thread::sleep_for(200ms);
                it.desk1.active_fault = backend_stand_in::fault::none;
            });
        auto before = std::chrono::steady_clock::now();
        auto result = callers.send();
        healer.join();
        CHECK(result.status == 200);
        CHECK(result.took >= 300ms);
        CHECK(arrivals_between(it.desk1, before) == 2);
    }
    SECTION("while all servers want none, requests are refused at once with the earliest true time")
    {
        it.desk1.stated_retry_after = "30";
        it.desk2.stated_retry_after = "20";
        it.desk1.active_fault = backend_stand_in::fault::full;
        it.desk2.active_fault = backend_stand_in::fault::full;
        auto first = callers.send();
        auto stated_at = std::chrono::steady_clock::now();
        for (int n = 0; n < 5; ++n)
        {
            auto result = callers.send();
            CHECK(result.status == 503);
            CHECK(result.took < 500ms);
            CHECK(result.retry_after > 15);
            CHECK(result.retry_after <= 20.5);
        }
        CHECK(first.status == 503);
        CHECK(arrivals_between(it.desk1, stated_at) == 0);
        CHECK(arrivals_between(it.desk2, stated_at) == 0);
    }
}

TEST_CASE("An engine that refuses orders for some time gets none until it has passed")
{
    serve_case it;
    REQUIRE(it.started);
    // Only the first engine can load the model.
    it.store.put("keyed.servers", "e2", "");
    std::this_thread::sleep_for(settle_time);
    it.engine1.refuses_orders = true;
    it.engine1.stated_retry_after = "3";
    caller callers(it, "POST", "/guide/1", "rare");
    auto orders = [&]
    {
        auto scrape = it.scrape();
        return scrape.find("banyanshunt_orders 0") == std::string::npos;
    };
    REQUIRE(serve_case::eventually(
        [&]
        {
            it.send("POST", "/guide/1", "first", "good-key", "rare");
            return orders();
        }));
    std::this_thread::sleep_for(500ms);
    auto from = std::chrono::steady_clock::now();
    std::vector<std::thread> waiting;
    for (int n = 0; n < 10; ++n)
    {
        waiting.emplace_back(
            [&it, n] { it.send("POST", "/guide/1", "w" + std::to_string(n), "good-key", "rare"); });
        std::this_thread::sleep_for(100ms);
    }
    auto arrivals = arrivals_between(it.engine1, from);
    it.engine1.refuses_orders = false;
    for (auto& thread : waiting)
    {
        thread.join();
    }
    CHECK(arrivals == 0);
}

TEST_CASE("Values without a meaning in servers' responses change nothing")
{
    serve_case it;
    REQUIRE(it.started);
    std::mt19937 random(29);
    const char* leaving[] = {"", "0", "yes", "2", "-1", "1.0"};
    const char* times[] = {"", "-1", "soon", "nan", "inf", "0", "Fri, 04 Dec 2026 12:00:00 GMT"};
    auto draw = [&](const auto& from) { return from[random() % std::size(from)]; };
    caller callers(it, "GET", "/read/1");
    for (int n = 0; n < 60; ++n)
    {
        it.desk1.stated_leaving = draw(leaving);
        it.desk1.stated_retry_after = draw(times);
        // So few refusals that the retry budget covers them.
        it.desk1.active_fault =
            random() % 10 == 0 ? backend_stand_in::fault::full : backend_stand_in::fault::none;
        callers.send();
    }
    it.desk1.active_fault = backend_stand_in::fault::none;
    CHECK(callers.all_served());
    CHECK(gets_requests(callers, it.desk1));
}
