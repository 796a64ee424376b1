#include "soak/prompt_crashes.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <httplib.h>

namespace banyanshunt::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int callers = 2;
constexpr int max_pause_ms = 400;
/// The platform's `contact_ms`, and how many requests with the part may be sent that long after the
/// fifth crash.
constexpr auto contact_time = 3000ms;
constexpr std::size_t crashes_before_bound = 5;
constexpr std::ptrdiff_t max_sent_later = 3;
/// The required ratio of sound requests served after recovery.
constexpr double served_ratio = 0.9;

} // namespace

prompt_crashes::prompt_crashes(soak_fleet& fleet, std::uint64_t seed)
    : part_(fmt::format("{:x}", 0xbad0000 + seed)),
      engines_(fleet.store, fleet.entry(soak_fleet::first_engine),
               {.service = soak_fleet::fragile_service,
                .model = soak_fleet::fragile_model,
                .odd_responses = true})
{
    engines_.set_deadly(part_);
    for (const auto& it : fleet.hosts)
    {
        ips_.push_back(it.ip);
    }
    for (std::uint64_t n = 0; n < callers; ++n)
    {
        callers_.emplace_back([this, seed, n](const std::stop_token& stop)
                              { run_caller(stop, seed * callers + n); });
    }
}

void prompt_crashes::run_caller(const std::stop_token& stop, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    auto draw = [&](int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random); };
    for (int n = 0; !stop.stop_requested(); ++n)
    {
        result it{.id = fmt::format("p{:x}-{}", seed, n), .deadly = draw(2) == 0};
        httplib::Client client(ips_[static_cast<std::size_t>(draw(static_cast<int>(ips_.size())))],
                               soak_fleet::caller_port);
        client.set_connection_timeout(1);
        client.set_read_timeout(time_budget + 2s);
        // The parts that sound requests have, too, and one of its own.
        auto prompt = fmt::format("5a:100,{}:20,{}{}{:x}:10", draw(3), it.deadly ? part_ : "",
                                  it.deadly ? ":30," : "c", random() % 0xfffff);
        it.sent = std::chrono::steady_clock::now();
        auto response = client.Post("/fragile/1",
                                    {{"Host", "desk.example"},
                                     {"X-Request-Id", it.id},
                                     {"X-Deadline-Ms", std::to_string(time_budget.count())},
                                     {"Authorization", "Bearer key-1"},
                                     {"X-Model", soak_fleet::fragile_model},
                                     {"X-Token-Count", "10,5"},
                                     {"X-Prompt-Prefix", prompt}},
                                    "x", "text/plain");
        it.status = response ? response->status : 0;
        it.body = response ? response->body : "";
        {
            std::lock_guard lock(mutex_);
            results_.push_back(std::move(it));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(max_pause_ms)));
    }
}

std::vector<std::string> prompt_crashes::find_violations(crashing_engines::time recovered)
{
    callers_.clear();
    std::vector<std::string> violations;
    auto ends = engines_.ends();
    auto arrivals = engines_.arrivals();
    if (ends.size() >= crashes_before_bound)
    {
        auto from = std::max(ends.at(crashes_before_bound - 1) + contact_time, recovered);
        auto later = std::count_if(arrivals.begin(), arrivals.end(),
                                   [&](const auto& it) {
                                       return it.at >= from &&
                                              std::find(it.parts.begin(), it.parts.end(), part_) !=
                                                  it.parts.end();
                                   });
        if (later > max_sent_later)
        {
            violations.push_back(fmt::format("{} requests with a part that crashed {} engines were "
                                             "sent later than the bound (BUDGET)",
                                             later, ends.size()));
        }
    }
    int requested = 0;
    int served = 0;
    for (const auto& it : results_)
    {
        if (it.status == 200 && it.body != crashing_engines::whole_response())
        {
            violations.push_back(
                fmt::format("{}: a stream of a fragile engine is not whole, status 200", it.id));
        }
        if (!it.deadly && it.sent > recovered)
        {
            ++requested;
            served += it.status == 200 ? 1 : 0;
        }
    }
    if (requested == 0 || served < served_ratio * requested)
    {
        violations.push_back(
            fmt::format("{} of {} sound requests beside those that crash engines were served",
                        served, requested));
    }
    return violations;
}

} // namespace banyanshunt::soak
