#include "soak/server_checks.hpp"

#include <algorithm>
#include <deque>

#include <fmt/format.h>

#include "stand_ins/limit_rule.hpp"

namespace banyanshunt::soak
{

namespace
{

/// The hosts' setting of the required bound on requests to a server that is known to leave.
constexpr std::chrono::milliseconds drain_bound{2000};
/// What the required bound on requests in a pause allows: how long after its statement requests
/// may still arrive, and how many afterwards.
constexpr std::chrono::milliseconds pause_grace{500};
constexpr std::ptrdiff_t max_sends_in_pause = 2;
constexpr int misdirected_status = 421;

bool host_disturbed(const soak_history& history, std::size_t host, steady_instant from,
                    steady_instant until)
{
    return std::any_of(history.host_disturbances.begin(), history.host_disturbances.end(),
                       [&](const auto& it)
                       { return it.host == host && it.at >= from && it.at <= until; });
}

/// Whether the link to the server was faulty at any time of a range.
bool link_disturbed(const soak_history& history, std::size_t backend, steady_instant from,
                    steady_instant until)
{
    bool faulty_before = false;
    for (const auto& it : history.link_changes)
    {
        if (it.backend == backend && it.at < from)
        {
            faulty_before = it.faulty;
        }
        else if (it.backend == backend && it.at <= until)
        {
            return true;
        }
    }
    return faulty_before;
}

} // namespace

// Windows in which a server got more requests than the limit that it stated allows. A host that
// was disturbed is excused, so windows shortly after a disturbance do not count.
void check_limits(const soak_fleet& fleet, const soak_history& history,
                  std::vector<std::string>& violations)
{
    auto disturbed = [&](steady_instant from, steady_instant until)
    {
        return std::any_of(history.host_disturbances.begin(), history.host_disturbances.end(),
                           [&](const auto& it) { return it.at >= from && it.at <= until; });
    };
    for (std::size_t n = 0; n < history.limits.size(); ++n)
    {
        const auto& limit = history.limits[n];
        auto next = std::find_if(history.limits.begin() + static_cast<std::ptrdiff_t>(n) + 1,
                                 history.limits.end(),
                                 [&](const auto& it) { return it.backend == limit.backend; });
        auto until = next == history.limits.end() ? steady_instant::max() : next->at;
        // A silent server states its limit only when it goes on.
        auto responses = fleet.backends[limit.backend]->responses();
        auto first = std::find_if(responses.begin(), responses.end(),
                                  [&](const auto& it) { return it.arrived_at >= limit.at; });
        if (limit.per_second < 0 || first == responses.end())
        {
            continue;
        }
        std::deque<steady_instant> window;
        std::size_t peak = 0;
        for (auto at : fleet.backends[limit.backend]->arrivals())
        {
            window.push_back(at);
            while (at - window.front() > limit_window)
            {
                window.pop_front();
            }
            if (at >= first->at + limit_contact_time && at < until &&
                !disturbed(at - limit_window - limit_contact_time, at))
            {
                peak = std::max(peak, window.size());
            }
        }
        if (static_cast<double>(peak) > allowed_arrivals(limit.per_second))
        {
            violations.push_back(fmt::format(
                "server {} got {} requests in 4 s, its limit of {} a second allows {}",
                limit.backend, peak, limit.per_second, allowed_arrivals(limit.per_second)));
        }
    }
}

// Requests that a caller sent to a host later than the bound after the host had passed on a
// response in which the server said that it leaves, and that reached the same incarnation.
void check_leaving(const calls_by_id& calls, const soak_fleet& fleet, const soak_history& history,
                   std::vector<std::string>& violations)
{
    for (std::size_t n = 0; n < fleet.backends.size(); ++n)
    {
        struct passed_on
        {
            steady_instant stated;
            steady_instant passed;
        };
        // By host and incarnation, the first such response that reached a caller.
        std::map<std::pair<std::size_t, int>, passed_on> known;
        auto responses = fleet.backends[n]->responses();
        for (const auto& it : responses)
        {
            auto call = calls.find(it.id);
            // A 421 does not show which server made it, so its host need not believe what it says.
            if (!it.leaving || it.status == misdirected_status || call == calls.end() ||
                call->second->status != 200)
            {
                continue;
            }
            auto [first, is_new] =
                known.try_emplace({call->second->host, it.start_time_ms},
                                  passed_on{.stated = it.at, .passed = call->second->ended});
            if (!is_new && call->second->ended < first->second.passed)
            {
                first->second = {.stated = it.at, .passed = call->second->ended};
            }
        }
        for (const auto& it : responses)
        {
            auto call = calls.find(it.id);
            auto host = call == calls.end() ? 0 : call->second->host;
            auto left = known.find({host, it.start_time_ms});
            if (call != calls.end() && left != known.end() &&
                call->second->sent > left->second.passed + drain_bound &&
                !host_disturbed(history, host, left->second.stated, it.at))
            {
                violations.push_back(
                    fmt::format("{}: reached server {} from host {}, which had passed on that the "
                                "server leaves",
                                it.id, n, host));
            }
        }
    }
}

// Pauses that a server stated to a host in which the host sent it more requests than allowed.
void check_pauses(const calls_by_id& calls, const soak_fleet& fleet, const soak_history& history,
                  std::vector<std::string>& violations)
{
    for (std::size_t n = 0; n < fleet.backends.size(); ++n)
    {
        auto responses = fleet.backends[n]->responses();
        for (auto stated = responses.begin(); stated != responses.end(); ++stated)
        {
            auto call = calls.find(stated->id);
            if (stated->pause <= pause_grace || call == calls.end())
            {
                continue;
            }
            auto host = call->second->host;
            auto until = stated->at + stated->pause;
            if (host_disturbed(history, host, stated->at, until) ||
                link_disturbed(history, n, stated->at - pause_grace, until))
            {
                continue;
            }
            auto sent = std::count_if(responses.begin(), responses.end(),
                                      [&](const auto& it)
                                      {
                                          auto its_call = calls.find(it.id);
                                          return its_call != calls.end() &&
                                                 its_call->second->host == host &&
                                                 it.start_time_ms == stated->start_time_ms &&
                                                 it.arrived_at > stated->at + pause_grace &&
                                                 it.arrived_at < until;
                                      });
            if (sent > max_sends_in_pause)
            {
                violations.push_back(
                    fmt::format("server {} got {} requests from host {} in {} ms in which it "
                                "wanted none",
                                n, sent, host, stated->pause.count()));
            }
        }
    }
}

} // namespace banyanshunt::soak
