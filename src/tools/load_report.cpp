#include "tools/load_report.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "coordination/admission.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr std::array quantiles = {0.5, 0.9, 0.95, 0.99, 0.999};
constexpr const char* over_rate_reason = "over_rate";

double seconds_of(nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

double hours_of(nanoseconds duration)
{
    return std::chrono::duration<double, std::ratio<3600>>(duration).count();
}

// Returns nullopt for requests that were neither answered nor refused with over_rate: they say
// nothing about the rate limit.
std::optional<audited_request> to_audited(const workload& load, const load_outcome& outcome)
{
    const load_stream& stream = load.streams[outcome.planned.stream];
    bool over_rate = outcome.response.reason == over_rate_reason;
    if (!over_rate && !outcome.response.answered())
    {
        return std::nullopt;
    }
    bool service = !stream.path.empty();
    std::int64_t prompt = service ? 0 : prompt_cost(outcome.planned.prompt);
    std::int64_t reserved = service ? stream.call_tokens : prompt + stream.completion_tokens;
    std::int64_t used = service ? stream.call_tokens : prompt + outcome.response.completion_tokens;
    audited_request it{.workspace = stream.workspace,
                       .at = outcome.response.sent,
                       .requested = tokens(reserved),
                       .granted = {}};
    if (!over_rate)
    {
        it.granted = tokens(used);
    }
    return it;
}

std::map<workspace_id, rate_audit> audit_rates(const workload& load, const load_result& result)
{
    std::map<workspace_id, workspace_rate> rates;
    for (const auto& workspace : load.workspaces)
    {
        rates[workspace.id] = {
            .rate = millitokens_per_second(workspace.tokens_per_second * millitokens_per_token),
            .burst = tokens(workspace.burst_tokens)};
    }
    std::vector<audited_request> requests;
    for (const auto& outcome : result.outcomes)
    {
        if (auto it = to_audited(load, outcome))
        {
            requests.push_back(*it);
        }
    }
    return audit_refusals(std::move(requests), rates);
}

worst_served find_worst(const workload& load, const load_result& result)
{
    struct deadline_counts
    {
        double in_time = 0;
        double total = 0;
    };
    std::map<workspace_id, deadline_counts> counts_by_workspace;
    for (const auto& outcome : result.outcomes)
    {
        const load_stream& stream = load.streams[outcome.planned.stream];
        bool in_time =
            outcome.response.answered() && outcome.first_token_latency() <= stream.deadline;
        counts_by_workspace[stream.workspace].in_time += in_time ? 1 : 0;
        counts_by_workspace[stream.workspace].total += 1;
    }
    worst_served worst;
    for (const auto& [workspace, it] : counts_by_workspace)
    {
        double fraction = it.in_time / it.total;
        if (worst.workspace.empty() || fraction < worst.in_time_ratio)
        {
            worst = {.workspace = workspace, .in_time_ratio = fraction};
        }
    }
    return worst;
}

std::string line_of(const std::string& name, const outcome_counts& it)
{
    std::string line = fmt::format("{:24} {:>7} {:>8} {:>7} {:>5}", name, it.requested, it.answered,
                                   it.refused, it.lost);
    for (double q : quantiles)
    {
        line += fmt::format(" {:>8.3f}", seconds_of(it.first_token.quantile(q)));
    }
    return line + fmt::format(" {:>8.3f}\n", seconds_of(it.first_token.largest()));
}

json json_of(const outcome_counts& it)
{
    json first_token;
    for (double q : quantiles)
    {
        first_token[fmt::format("p{}", q * 100)] = seconds_of(it.first_token.quantile(q));
    }
    first_token["largest"] = seconds_of(it.first_token.largest());
    return {{"asked", it.requested}, {"answered", it.answered},
            {"refused", it.refused}, {"lost", it.lost},
            {"reasons", it.reasons}, {"first_token_seconds", first_token}};
}

} // namespace

void outcome_counts::add(const load_outcome& outcome)
{
    ++requested;
    if (outcome.response.answered())
    {
        ++answered;
        first_token.add(outcome.first_token_latency());
        return;
    }
    ++reasons[outcome.response.reason.empty() ? "no_answer" : outcome.response.reason];
    ++(outcome.response.refused() ? refused : lost);
}

std::int64_t run_report::refused_within_rate() const
{
    std::int64_t n = 0;
    for (const auto& [workspace, it] : rates)
    {
        n += it.refused_within_rate;
    }
    return n;
}

run_report make_load_report(const workload& load, const load_result& result)
{
    run_report report;
    report.elapsed = result.elapsed;
    report.idle_accelerator_time = result.idle_accelerator_time;
    for (const auto& outcome : result.outcomes)
    {
        const load_stream& stream = load.streams[outcome.planned.stream];
        report.all.add(outcome);
        report.streams[stream.name].add(outcome);
        report.workspaces[stream.workspace].add(outcome);
    }
    report.rates = audit_rates(load, result);
    report.worst = find_worst(load, result);
    return report;
}

std::string report_text(const run_report& report)
{
    std::string out = fmt::format("elapsed {:.1f} s; latencies are seconds from the intended send "
                                  "time to the first token\n\n",
                                  seconds_of(report.elapsed));
    out += fmt::format("{:24} {:>7} {:>8} {:>7} {:>5} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
                       "stream", "asked", "answered", "refused", "lost", "p50", "p90", "p95", "p99",
                       "p99.9", "largest");
    for (const auto& [name, counts] : report.streams)
    {
        out += line_of(name, counts);
    }
    out += line_of("all", report.all) + "\n";
    for (const auto& [reason, n] : report.all.reasons)
    {
        out += fmt::format("not answered, {}: {}\n", reason, n);
    }
    out += fmt::format("tail cold start (p99 first token): {:.3f} s\n",
                       seconds_of(report.all.first_token.quantile(0.99)));
    out += report.idle_accelerator_time
               ? fmt::format("idle accelerator hours: {:.5f}\n",
                             hours_of(*report.idle_accelerator_time))
               : "idle accelerator hours: not measured, no engine configured or none responded\n";
    out += fmt::format("worst-served workspace: {} ({:.2f} % in time)\n",
                       report.worst.workspace.str(), 100 * report.worst.in_time_ratio);
    out += fmt::format("refused though within rate: {}\n", report.refused_within_rate());
    return out;
}

std::string report_json(const run_report& report)
{
    json out;
    out["elapsed_seconds"] = seconds_of(report.elapsed);
    out["all"] = json_of(report.all);
    for (const auto& [name, counts] : report.streams)
    {
        out["streams"][name] = json_of(counts);
    }
    for (const auto& [name, counts] : report.workspaces)
    {
        out["workspaces"][name.str()] = json_of(counts);
    }
    for (const auto& [name, it] : report.rates)
    {
        out["rates"][name.str()] = {{"refused", it.refused},
                                    {"refused_within_rate", it.refused_within_rate},
                                    {"granted_beyond_rate", it.granted_beyond_rate}};
    }
    json measures = {{"tail_cold_start_seconds", seconds_of(report.all.first_token.quantile(0.99))},
                     {"worst_served_workspace", report.worst.workspace.str()},
                     {"worst_served_part_in_time", report.worst.in_time_ratio},
                     {"refused_within_rate", report.refused_within_rate()}};
    measures["idle_accelerator_hours"] =
        report.idle_accelerator_time ? json(hours_of(*report.idle_accelerator_time)) : json();
    out["measures"] = measures;
    return out.dump(2) + "\n";
}

} // namespace banyanshunt
