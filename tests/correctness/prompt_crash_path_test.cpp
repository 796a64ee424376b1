// Complete entry hosts with engines that a part of some prompts crashes.

#include <catch2/catch.hpp>

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
    explicit prompt_crash_case(std::size_t host_count_ = host_count) : serve_case(host_count_)
    {
        REQUIRE(started);
        store.put("keyed.op", "config", serve_manifest(2, {"good-key"}, 1));
        engines.emplace(store, engine1.registry_entry("models"), crashing_engines_options());
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

    std::optional<crashing_engines> engines;
};

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
