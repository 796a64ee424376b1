// Complete entry hosts with servers that state how many requests a second they take from all hosts
// together.

#include <catch2/catch.hpp>

#include <mutex>

#include "serve_case.hpp"
#include "stand_ins/limit_rule.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

using steady_instant = std::chrono::steady_clock::time_point;

/// Sends requests to all hosts in turn, each from a thread of its own, so that slow responses do
/// not lower the rate.
class steady_callers
{
public:
    steady_callers(const serve_case& it, std::string method, std::string path, std::string model)
        : it_(it), method_(std::move(method)), path_(std::move(path)), model_(std::move(model))
    {
    }
    ~steady_callers()
    {
        for (auto& it : threads_)
        {
            it.join();
        }
    }

    void run(std::chrono::milliseconds length, std::chrono::milliseconds period)
    {
        auto until = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < until)
        {
            std::size_t n = threads_.size();
            threads_.emplace_back(
                [this, n]
                {
                    auto result = it_.send(method_, path_, "c" + std::to_string(n), "good-key",
                                           model_, n % it_.hosts.size());
                    std::lock_guard lock(mutex_);
                    results_.push_back(result);
                });
            std::this_thread::sleep_for(period);
        }
    }
    std::vector<serve_case::call_result> results()
    {
        for (auto& it : threads_)
        {
            it.join();
        }
        threads_.clear();
        return results_;
    }

private:
    const serve_case& it_;
    std::string method_;
    std::string path_;
    std::string model_;
    std::mutex mutex_;
    std::vector<serve_case::call_result> results_;
    std::vector<std::thread> threads_;
};

std::size_t count_status(const std::vector<serve_case::call_result>& results, int status)
{
    return static_cast<std::size_t>(std::count_if(
        results.begin(), results.end(), [&](const auto& it) { return it.status == status; }));
}

constexpr auto usual_length = 1500ms;
constexpr auto limited_length = 7000ms;
/// Before it states its limit, a server gets less than the rule allows in its window of four
/// seconds.
constexpr auto usual_period = 100ms;
constexpr auto period = 30ms;
constexpr double limit = 2.3;

} // namespace

TEST_CASE("All hosts together send a server no more requests than the limit that it states")
{
    serve_case it(3);
    REQUIRE(it.started);
    // Returns how many requests were answered with another status than 200.
    auto check = [&](steady_callers& callers, backend_stand_in& server)
    {
        callers.run(usual_length, usual_period);
        auto stated_at = std::chrono::steady_clock::now();
        server.stated_limit = limit;
        callers.run(limited_length, period);
        auto until = std::chrono::steady_clock::now();
        auto results = callers.results();
        CHECK(static_cast<double>(peak_arrivals(server.arrivals(), stated_at, until)) <=
              allowed_arrivals(limit));
        return results.size() - count_status(results, 200);
    };

    SECTION("a plain server: the others take what it cannot")
    {
        steady_callers callers(it, "GET", "/read/1", "");
        CHECK(check(callers, it.desk1) == 0);
    }
    SECTION("an engine whose model another engine holds too")
    {
        steady_callers callers(it, "POST", "/guide/1", "busy");
        CHECK(check(callers, it.engine1) == 0);
    }
    SECTION("a server that states it in refusals only")
    {
        it.desk1.active_fault = backend_stand_in::fault::full;
        steady_callers callers(it, "GET", "/read/1", "");
        check(callers, it.desk1);
    }
}

TEST_CASE("Requests beyond the limits of all servers are refused at once, with the time to return")
{
    serve_case it(3);
    REQUIRE(it.started);
    steady_callers callers(it, "POST", "/book/1", "");
    callers.run(usual_length, usual_period);
    auto stated_at = std::chrono::steady_clock::now();
    it.desk1.stated_limit = limit;
    it.desk2.stated_limit = limit;
    callers.run(limited_length, period);
    auto until = std::chrono::steady_clock::now();
    auto results = callers.results();
    for (const auto* server : {&it.desk1, &it.desk2})
    {
        CHECK(static_cast<double>(peak_arrivals(server->arrivals(), stated_at, until)) <=
              allowed_arrivals(limit));
    }
    CHECK(count_status(results, 200) + count_status(results, 503) == results.size());
    auto refused = count_status(results, 503);
    CHECK(refused > 0);
    CHECK(std::all_of(results.begin(), results.end(),
                      [](const auto& response)
                      { return response.status == 200 || response.retry_after > 0; }));
}

TEST_CASE("A server whose limit ended gets its part of the requests again")
{
    serve_case it(3);
    REQUIRE(it.started);
    it.desk1.stated_limit = limit;
    steady_callers callers(it, "GET", "/read/1", "");
    callers.run(4000ms, period);
    it.desk1.stated_limit = -1;
    callers.run(2500ms, period);
    auto ended_at = std::chrono::steady_clock::now();
    callers.run(2000ms, period);
    auto results = callers.results();
    CHECK(count_status(results, 200) == results.size());
    auto arrivals = it.desk1.arrivals();
    auto after = std::count_if(arrivals.begin(), arrivals.end(),
                               [&](steady_instant at) { return at > ended_at; });
    CHECK(after > 4 * limit);
}

TEST_CASE("Orders to an engine count against the limit that it states")
{
    // Twice the models that fit the engines, so that loads and unloads go on and on.
    constexpr int models = 40;
    serve_case it(2);
    REQUIRE(it.started);
    it.store.put("keyed.op", "config", serve_manifest(2, {"good-key"}, models));
    std::this_thread::sleep_for(1000ms);
    std::vector<std::thread> callers;
    auto run = [&](std::chrono::milliseconds length, std::chrono::milliseconds gap)
    {
        auto until = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < until)
        {
            auto n = callers.size();
            callers.emplace_back(
                [&it, n]
                {
                    it.send("POST", "/guide/1", "o" + std::to_string(n), "good-key",
                            "m" + std::to_string(n % models), n % it.hosts.size());
                });
            std::this_thread::sleep_for(gap);
        }
    };
    run(usual_length, 2 * usual_period);
    auto stated_at = std::chrono::steady_clock::now();
    it.engine1.stated_limit = limit;
    it.engine2.stated_limit = limit;
    run(limited_length, period);
    auto until = std::chrono::steady_clock::now();
    for (auto& caller : callers)
    {
        caller.join();
    }
    for (const auto* server : {&it.engine1, &it.engine2})
    {
        CHECK(server->orders() > 0);
        CHECK(static_cast<double>(peak_arrivals(server->arrivals(), stated_at, until)) <=
              allowed_arrivals(limit));
    }
}
