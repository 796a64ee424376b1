#include "soak/soak_checks.hpp"

#include <algorithm>
#include <deque>
#include <iterator>
#include <set>
#include <string_view>

#include <fmt/format.h>

#include "soak/order_checks.hpp"
#include "soak/server_checks.hpp"

namespace banyanshunt::soak
{

namespace
{

/// The required bound on how long a withdrawn key may still work.
constexpr std::chrono::seconds withdrawal_bound{5};
/// The required window for rates, and the factor by which it may exceed rate and burst.
constexpr std::chrono::seconds rate_window{8};
constexpr double rate_tolerance = 1.1;
/// The required ratio of requests served after recovery, without those of the workspace that
/// exceeds its rate.
constexpr double recovered_ratio = 0.9;
/// The platform's rule on models that are never served: which count, and how many of them may be.
constexpr int starvation_min_requests = 4;
constexpr std::chrono::seconds starvation_min_span{8};
constexpr double starvation_allowed = 1;
constexpr double starvation_allowed_ratio = 0.1;
/// A host that served so many calls to plain servers has chosen among all of them many times.
constexpr std::ptrdiff_t min_served_calls = 20;
/// The platform's bound on how late a connection may end without a response.
constexpr std::chrono::milliseconds loss_slack{200};
constexpr const char* complete_stream = "id: 1\ndata: token1\n\nid: 2\ndata: token2\n\n"
                                        "id: 3\ndata: token3\n\nid: 4\ndata: token4\n\n"
                                        "id: 5\ndata: token5\n\n";

using runs_by_id = std::map<std::string, std::vector<served_request>>;

runs_by_id collect_runs(const soak_fleet& fleet)
{
    runs_by_id runs;
    for (const auto& it : fleet.backends)
    {
        for (auto& served : it->served())
        {
            runs[served.id].push_back(std::move(served));
        }
    }
    for (auto& served : fleet.late_server->served())
    {
        runs[served.id].push_back(std::move(served));
    }
    return runs;
}

bool means_not_run(int status)
{
    return status == 429 || status == 503 || status == 401 || status == 404 || status == 408 ||
           status == 421;
}

/// Whether the body is one that a plain server gave to this request, or begins like one.
bool answers_call(const call_record& call, bool whole)
{
    const char* servers[] = {"d0", "d1", "d-late"};
    return std::any_of(std::begin(servers), std::end(servers),
                       [&](const char* name)
                       {
                           auto body = fmt::format("answer by {} to {}", name, call.id);
                           return whole ? call.body == body : body.starts_with(call.body);
                       });
}

void check_call(const call_record& call, const std::vector<served_request>& runs,
                const soak_history& history, std::vector<std::string>& violations)
{
    using seconds = std::chrono::duration<double>;
    auto add = [&](const char* what)
    {
        violations.push_back(fmt::format(
            "{}: {} (status {}, {} runs, sent to host {} at {:.3f} s, took {:.3f} s)", call.id,
            what, call.status, runs.size(), call.host, seconds(call.sent - history.begun).count(),
            seconds(call.ended - call.sent).count()));
    };
    bool non_idempotent = call.kind == call_kind::book;
    if (non_idempotent && runs.size() > 1)
    {
        add("a non-idempotent request ran more than once");
    }
    if (non_idempotent && means_not_run(call.status) && !runs.empty())
    {
        add("refused as not run, but a server ran it");
    }
    if (call.status == 200 && runs.empty())
    {
        add("answered with status 200, but no server ran it");
    }
    bool stream = call.kind == call_kind::guide;
    if (call.status == 200 && stream && call.body != complete_stream)
    {
        add("a stream that ended with status 200 lacks events, or has some twice");
    }
    if (call.status == 200 && !stream && !answers_call(call, true))
    {
        add("the response body is not the server's");
    }
    // A response that was cut holds what came before the cut, and nothing else.
    if (call.status == 0 && call.begun_status == 200 &&
        !(stream ? std::string_view(complete_stream).starts_with(call.body)
                 : answers_call(call, false)))
    {
        add("a response that was cut holds other bytes than its own");
    }
    if (call.begun_status != 200 && call.begun_status != 0 &&
        call.body.find("token") != call.body.npos)
    {
        add("a failure holds events");
    }
    const char* workspace = call.key == "small-key" ? "small" : "clinics";
    auto withdrawn = history.withdrawn.find(call.key);
    for (const auto& it : runs)
    {
        if (it.has_key || it.workspace != workspace)
        {
            add("a server received the key, or another workspace's name");
        }
        if (withdrawn != history.withdrawn.end() && it.at > withdrawn->second + withdrawal_bound &&
            call.sent > withdrawn->second)
        {
            add("a withdrawn key was accepted after the bound");
        }
    }
    if (history.planned_only && call.status == 0 && !runs.empty())
    {
        add("planned work interrupted a request");
    }
    // Servers are sound then, however long they are silent.
    if (history.planned_only && (call.status == 502 || call.status == 504) && !runs.empty())
    {
        add("planned work failed a request that a sound server ran");
    }
    if (history.planned_only && call.status == 0 && runs.empty() &&
        call.ended > call.sent + loss_slack)
    {
        add("planned work left a request without a response");
    }
}

void check_rate(const std::vector<call_record>& calls, const runs_by_id& runs,
                std::vector<std::string>& violations)
{
    std::vector<steady_instant> at;
    for (const auto& call : calls)
    {
        auto it = runs.find(call.id);
        if (call.key == "small-key" && it != runs.end())
        {
            // A request is charged once, regardless of how often it is retried for its caller.
            at.push_back(it->second.front().at);
        }
    }
    std::sort(at.begin(), at.end());
    std::deque<steady_instant> window;
    auto allowed =
        rate_tolerance * (soak_fleet::small_rate * rate_window.count() + soak_fleet::small_burst);
    std::size_t peak = 0;
    for (auto it : at)
    {
        window.push_back(it);
        while (it - window.front() > rate_window)
        {
            window.pop_front();
        }
        peak = std::max(peak, window.size());
    }
    if (static_cast<double>(peak) > allowed)
    {
        violations.push_back(
            fmt::format("{} requests of one workspace ran in 8 s, {} are allowed", peak, allowed));
    }
}

/// Models that were requested often over a long time and never served, beyond the ratio that the
/// platform allows.
void check_starvation(const std::vector<call_record>& calls, std::vector<std::string>& violations)
{
    struct model_calls
    {
        int requests = 0;
        int served = 0;
        steady_instant first;
        steady_instant last;
    };
    std::map<std::string, model_calls> models;
    for (const auto& call : calls)
    {
        // The small workspace exceeds its rate, so that its requests may be refused.
        if (call.model.empty() || call.key == "small-key")
        {
            continue;
        }
        auto [it, is_new] = models.try_emplace(call.model);
        it->second.first = is_new ? call.sent : std::min(it->second.first, call.sent);
        it->second.last = std::max(it->second.last, call.sent);
        ++it->second.requests;
        it->second.served += call.status == 200 ? 1 : 0;
    }
    int requested = 0;
    int unserved = 0;
    for (const auto& [name, it] : models)
    {
        if (it.requests >= starvation_min_requests && it.last - it.first >= starvation_min_span)
        {
            ++requested;
            unserved += it.served == 0 ? 1 : 0;
        }
    }
    if (unserved > starvation_allowed + starvation_allowed_ratio * requested)
    {
        violations.push_back(
            fmt::format("{} of {} models that were requested throughout were never served",
                        unserved, requested));
    }
}

void check_recovery(const std::vector<call_record>& calls, const soak_history& history,
                    std::vector<std::string>& violations)
{
    int requested = 0;
    int served = 0;
    for (const auto& call : calls)
    {
        if (call.sent > history.recovered && call.key != "small-key" &&
            !history.withdrawn.contains(call.key))
        {
            ++requested;
            served += call.status == 200 ? 1 : 0;
        }
    }
    if (requested == 0 || served < recovered_ratio * requested)
    {
        violations.push_back(
            fmt::format("{} of {} requests were served after the faults", served, requested));
    }
}

/// Hosts that served calls to plain servers throughout and never used the server that was made
/// after the last odd records, and servers that no host used any more.
void check_followed_lists(const calls_by_id& calls, const soak_fleet& fleet,
                          const soak_history& history, std::vector<std::string>& violations)
{
    auto used_by = [&](const backend_stand_in& server)
    {
        std::set<std::size_t> hosts;
        for (const auto& it : server.served())
        {
            auto call = calls.find(it.id);
            if (it.at > history.late_server_made && call != calls.end())
            {
                hosts.insert(call->second->host);
            }
        }
        return hosts;
    };
    auto late = used_by(*fleet.late_server);
    for (std::size_t n = 0; n < fleet.hosts.size(); ++n)
    {
        auto served = std::count_if(calls.begin(), calls.end(),
                                    [&](const auto& it)
                                    {
                                        return it.second->host == n && it.second->status == 200 &&
                                               it.second->kind != call_kind::guide &&
                                               it.second->sent > history.recovered;
                                    });
        if (served >= min_served_calls && !late.contains(n))
        {
            violations.push_back(fmt::format("host {} never used a server that was made after odd "
                                             "records",
                                             n));
        }
    }
    for (std::size_t n = 0; n < fleet.backends.size(); ++n)
    {
        if (used_by(*fleet.backends[n]).empty())
        {
            violations.push_back(fmt::format("no host used server {} after the faults", n));
        }
    }
}

/// What excuses orders that engines received.
order_disturbances order_disturbances_of(const soak_fleet& fleet, const soak_history& history)
{
    order_disturbances orders{.begun = history.begun, .resumed = {}, .restored_links = {}};
    for (const auto& it : history.host_disturbances)
    {
        if (it.resumed)
        {
            orders.resumed[fleet.hosts[it.host].name].push_back(it.at);
        }
    }
    for (const auto& it : history.link_changes)
    {
        if (it.ended_delay)
        {
            orders.restored_links[it.backend].push_back(it.at);
        }
    }
    return orders;
}

} // namespace

std::vector<std::string> find_violations(const std::vector<call_record>& calls,
                                         const soak_fleet& fleet, const soak_history& history)
{
    std::vector<std::string> violations;
    auto runs = collect_runs(fleet);
    for (const auto& call : calls)
    {
        auto it = runs.find(call.id);
        check_call(call, it == runs.end() ? std::vector<served_request>() : it->second, history,
                   violations);
    }
    check_rate(calls, runs, violations);
    check_starvation(calls, violations);
    check_limits(fleet, history, violations);
    calls_by_id by_id;
    for (const auto& call : calls)
    {
        by_id.emplace(call.id, &call);
    }
    check_leaving(by_id, fleet, history, violations);
    check_pauses(by_id, fleet, history, violations);
    check_recovery(calls, history, violations);
    check_followed_lists(by_id, fleet, history, violations);
    for (const auto& it : std::set(fleet.unasked_ends.begin(), fleet.unasked_ends.end()))
    {
        violations.push_back(it);
    }
    std::ranges::move(check_orders(fleet, order_disturbances_of(fleet, history)).violations,
                      std::back_inserter(violations));
    for (const auto& it : fleet.backends)
    {
        for (const auto& fault : it->order_errors())
        {
            violations.push_back("orders: " + fault);
        }
    }
    return violations;
}

} // namespace banyanshunt::soak
