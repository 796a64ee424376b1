// Complete entry hosts with engines that a part of some prompts crashes.

#include <catch2/catch.hpp>

#include "platform/headers.hpp"
#include "serve_case.hpp"
#include "stand_ins/crashing_engines.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t host_count = 3;
constexpr auto request_gap = 200ms;
/// The platform's `contact_ms`, and what may still be sent that long after the fifth crash.
constexpr auto contact_time = 3000ms;
constexpr std::ptrdiff_t crashes_before_bound = 5;
constexpr std::ptrdiff_t max_sent_later = 3;
/// Hosts read the registry each 1.1 s.
constexpr auto registry_time = 1500ms;

/// Sends requests in the background and keeps their results by id.
class traffic
{
public:
    explicit traffic(const serve_case& it) : it_(it) {}
    ~traffic() { finish(); }

    void send(const std::string& id, const std::string& prompt, std::size_t host)
    {
        threads_.emplace_back(
            [this, id, prompt, host]
            {
                auto result = it_.send("POST", "/guide/1", id, "good-key", "m0", host, prompt);
                std::lock_guard lock(mutex_);
                results_[id] = result;
            });
    }
    const std::map<std::string, serve_case::call_result>& finish()
    {
        for (auto& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
        return results_;
    }

private:
    const serve_case& it_;
    std::mutex mutex_;
    std::map<std::string, serve_case::call_result> results_;
    std::vector<std::thread> threads_;
};

struct prompt_crash_case : serve_case
{
    explicit prompt_crash_case(const crashing_engines_options& options = {})
        : serve_case(host_count)
    {
        REQUIRE(started);
        store.put("keyed.op", "config", serve_manifest(2, {"good-key"}, 1));
        engines.emplace(store, engine1.registry_entry("models"), options);
        store.put("keyed.servers", "e1", "");
        store.put("keyed.servers", "e2", "");
        std::this_thread::sleep_for(registry_time);
    }

    bool holds(const crashing_engines::arrival& it, const std::string& part) const
    {
        return std::find(it.parts.begin(), it.parts.end(), part) != it.parts.end();
    }
    std::ptrdiff_t sent_with(const std::string& part, crashing_engines::time from = {}) const
    {
        auto arrivals = engines->arrivals();
        return std::count_if(arrivals.begin(), arrivals.end(),
                             [&](const auto& it) { return it.at >= from && holds(it, part); });
    }

    /// Sends requests with the part until all hosts refuse them.
    void await_ban(const std::string& part)
    {
        int n = 0;
        auto refused_by_all = [&]
        {
            int refused = 0;
            for (std::size_t host = 0; host < hosts.size(); ++host)
            {
                auto own = std::to_string(++n);
                auto result = send("POST", "/guide/1", "ban-" + own, "good-key", "m0", host,
                                   part + ":10,d" + own + ":10");
                refused += result.status == 503 && result.retry_after < 0 ? 1 : 0;
            }
            return refused == std::ssize(hosts);
        };
        REQUIRE(eventually(refused_by_all));
        // Engines that ended have come back, and hosts know them.
        std::this_thread::sleep_for(registry_time);
    }
    std::ptrdiff_t send_to_each_host(const std::string& id, const std::string& prompt, int status)
    {
        std::ptrdiff_t count = 0;
        for (std::size_t host = 0; host < hosts.size(); ++host)
        {
            auto own = id + std::to_string(host);
            auto result =
                send("POST", "/guide/1", own, "good-key", "m0", host, prompt + "," + own + ":10");
            count += result.status == status ? 1 : 0;
        }
        return count;
    }
    /// The sum of a metric over all hosts.
    double metric(const std::string& name) const
    {
        double sum = 0;
        for (std::size_t host = 0; host < hosts.size(); ++host)
        {
            auto text = "\n" + scrape(host);
            auto at = text.find("\n" + name + " ");
            sum += at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
        }
        return sum;
    }

    std::optional<crashing_engines> engines;
};

constexpr const char* banned_metric = "banyanshunt_prompt_parts_banned";
constexpr const char* suspected_metric = "banyanshunt_prompt_parts_suspected";

} // namespace

TEST_CASE("Requests with one part in their prompts crash engines one after the other (BUDGET)")
{
    prompt_crash_case it;
    it.engines->set_deadly("bad1");
    std::string shared;
    SECTION("the part is the first one") {}
    SECTION("the part is behind one that sound requests have")
    {
        shared = "5a:100,";
    }
    traffic callers(it);
    constexpr int rounds = 30;
    for (int n = 0; n < rounds; ++n)
    {
        auto own = std::to_string(n);
        callers.send("bad-" + own, shared + "bad1:200,b" + own + ":10", n % host_count);
        std::this_thread::sleep_for(request_gap);
        callers.send("sound-" + own, shared + "50:200,c" + own + ":10", n % host_count);
        std::this_thread::sleep_for(request_gap);
    }
    auto results = callers.finish();

    auto ends = it.engines->ends();
    if (std::ssize(ends) >= crashes_before_bound)
    {
        auto counted_from = ends.at(crashes_before_bound - 1) + contact_time;
        CHECK(it.sent_with("bad1", counted_from) <= max_sent_later);
    }
    for (int n = 2 * rounds / 3; n < rounds; ++n)
    {
        INFO(n);
        CHECK(results.at("sound-" + std::to_string(n)).status == 200);
        // Refused at once, as not run, and without a time to come back.
        const auto& refused = results.at("bad-" + std::to_string(n));
        CHECK(refused.status == 503);
        CHECK(refused.retry_after < 0);
        CHECK(refused.took < 200ms);
    }
}

TEST_CASE("Engines that crash for a reason of their own ban no part of a prompt")
{
    prompt_crash_case it;
    traffic callers(it);
    constexpr int rounds = 60;
    for (int n = 0; n < rounds; ++n)
    {
        auto own = std::to_string(n);
        // All have one part, a third of them another one.
        callers.send("sound-" + own, "5a:100," + std::to_string(n % 3) + ":20,c" + own + ":10",
                     static_cast<std::size_t>(n) % host_count);
        std::this_thread::sleep_for(100ms);
        if (n % 8 == 7 && n < 2 * rounds / 3)
        {
            it.engines->end_all();
        }
    }
    auto results = callers.finish();
    CHECK(it.metric(banned_metric) == 0);
    for (int n = 5 * rounds / 6; n < rounds; ++n)
    {
        INFO(n);
        CHECK(results.at("sound-" + std::to_string(n)).status == 200);
    }
}

TEST_CASE("Only the end of a server counts against the parts of a prompt")
{
    prompt_crash_case it({.first_event = 1500ms});
    traffic callers(it);
    auto send = [&]
    {
        for (std::size_t host = 0; host < host_count; ++host)
        {
            auto own = std::to_string(host);
            callers.send("new-" + own, "77:10,c" + own + ":10", host);
        }
        std::this_thread::sleep_for(300ms);
    };
    SECTION("not a reset of its connections")
    {
        send();
        it.engines->reset_connections();
        callers.finish();
        CHECK(it.metric(suspected_metric) == 0);
    }
    SECTION("not that of one that leaves as planned")
    {
        send();
        it.engines->announce_leaving();
        std::this_thread::sleep_for(1150ms);
        it.engines->end_all();
        std::this_thread::sleep_for(500ms);
        CHECK(it.metric(suspected_metric) == 0);
        callers.finish();
    }
    SECTION("a crash does")
    {
        send();
        it.engines->end_all();
        std::this_thread::sleep_for(500ms);
        CHECK(it.metric(suspected_metric) == host_count);
        // Until one of them is answered.
        callers.finish();
        CHECK(it.send_to_each_host("later", "77:10", 200) == host_count);
        CHECK(serve_case::eventually([&] { return it.metric(suspected_metric) == 0; }));
    }
}

TEST_CASE("Hosts that start know which parts of prompts are banned")
{
    prompt_crash_case it;
    it.engines->set_deadly("bad1");
    it.await_ban("bad1");
    auto sent = it.sent_with("bad1");

    SECTION("one of them")
    {
        REQUIRE(it.restart_host(0));
        CHECK(it.send_to_each_host("late", "bad1:10", 503) == host_count);
    }
    SECTION("all of them at once")
    {
        for (auto& host : it.hosts)
        {
            host->request_stop();
        }
        for (std::size_t n = 0; n < host_count; ++n)
        {
            REQUIRE(it.restart_host(n));
        }
        CHECK(it.send_to_each_host("late", "bad1:10", 503) == host_count);
    }
    SECTION("also when each of them was renewed since the ban")
    {
        for (std::size_t n = 0; n < host_count; ++n)
        {
            REQUIRE(it.restart_host(n));
        }
        CHECK(it.send_to_each_host("late", "bad1:10", 503) == host_count);
    }
    CHECK(it.sent_with("bad1") == sent);
    CHECK(it.send_to_each_host("sound", "50:10", 200) == host_count);
}

TEST_CASE("Hosts that start know what later crashes told apart from a banned part")
{
    prompt_crash_case it;
    it.engines->set_deadly("bad1");
    auto send = [&](const std::string& id, const std::string& prompt)
    { return it.send("POST", "/guide/1", id, "good-key", "m0", 0, prompt + "," + id + ":10"); };
    auto await_refusal = [&](const std::string& prompt)
    {
        int n = 0;
        REQUIRE(it.eventually(
            [&]
            {
                auto result = send("crash" + std::to_string(++n), prompt);
                return result.status == 503 && result.retry_after < 0;
            }));
        std::this_thread::sleep_for(registry_time);
    };
    await_refusal("beside:10,bad1:10");
    auto sent = it.sent_with("bad1");
    // Not with both parts of the ban, so that it is tried.
    send("other", "50:10,bad1:10");
    REQUIRE(it.sent_with("bad1") > sent);
    std::this_thread::sleep_for(registry_time);
    sent = it.sent_with("bad1");

    for (std::size_t n = 0; n < host_count; ++n)
    {
        REQUIRE(it.restart_host(n));
    }
    CHECK(it.send_to_each_host("late", "bad1:10", 503) == host_count);
    CHECK(it.sent_with("bad1") == sent);
}

TEST_CASE("A ban of a part that is sound ends")
{
    prompt_crash_case it;
    it.engines->set_deadly("bad1");
    it.await_ban("bad1");
    it.engines->set_deadly("bad1", false);
    REQUIRE(it.send_to_each_host("still", "bad1:10", 503) == host_count);

    SECTION("but not by a plain service, which takes the field as any other")
    {
        for (std::size_t host = 0; host < host_count; ++host)
        {
            CHECK(it.send("GET", "/read/1", "plain", "good-key", {}, host, "bad1:10,c:10").status ==
                  200);
        }
        CHECK(it.send_to_each_host("again", "bad1:10", 503) == host_count);
    }
    SECTION("on all hosts when an operator starts one that is told so")
    {
        it.adjust_settings = [](host_settings& settings)
        { settings.sound_parts = {platform::to_prompt_part("bad1")}; };
        REQUIRE(it.restart_host(0));
        CHECK(serve_case::eventually([&] { return it.metric(banned_metric) == 0; }));
        CHECK(it.send_to_each_host("again", "bad1:10", 200) == host_count);
    }
}
