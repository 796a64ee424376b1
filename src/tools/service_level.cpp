#include "tools/service_level.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "tools/workload.hpp"

namespace banyanshunt
{
namespace
{

using samples = std::map<sample_name, double>;

// Refusals caused by the caller; they are correct whatever state the system is in.
const std::set<std::string> caller_reasons = {
    "bad_request", "key_missing",          "key_refused",     "not_found",  "over_rate",
    "cancelled",   "idempotency_mismatch", "already_claimed", "already_ran"};

double sum_of(const samples& in, const std::string& metric)
{
    double sum = 0;
    for (const auto& [name, value] : in)
    {
        sum += metric_of(name) == metric ? value : 0;
    }
    return sum;
}

void fill_availability(const samples& in, window_burn& out)
{
    for (const auto& [name, value] : in)
    {
        bool refusal = metric_of(name) == "banyanshunt_refusals_total";
        out.bad += refusal && !caller_reasons.contains(label_of(name, "reason")) ? value : 0;
    }
    out.total = sum_of(in, "banyanshunt_requests_total");
}

void fill_over_rate(const samples& in, window_burn& out)
{
    for (const auto& [name, value] : in)
    {
        bool over = metric_of(name) == "banyanshunt_refusals_total" &&
                    label_of(name, "reason") == "over_rate";
        out.bad += over ? value : 0;
    }
    out.total = sum_of(in, "banyanshunt_requests_total");
}

void fill_first_token(const objective& it, const samples& in, window_burn& out)
{
    double limit = std::chrono::duration<double>(it.limit).count();
    double good = 0;
    for (const auto& [name, value] : in)
    {
        bool bucket = metric_of(name) == "banyanshunt_first_token_seconds_bucket";
        good += bucket && label_of(name, "le") == fmt::format("{}", limit) ? value : 0;
    }
    out.total = sum_of(in, "banyanshunt_first_token_seconds_count");
    out.bad = std::max(0.0, out.total - good);
}

void fill_worst(const samples& in, window_burn& out)
{
    std::map<std::string, std::pair<double, double>> by_workspace;
    for (const auto& [name, value] : in)
    {
        if (metric_of(name) == "banyanshunt_workspace_outcomes_total")
        {
            auto& [bad, total] = by_workspace[label_of(name, "workspace")];
            bad += label_of(name, "result") == "answered" ? 0 : value;
            total += value;
        }
    }
    double worst = -1;
    for (const auto& [workspace, counts] : by_workspace)
    {
        double bad_ratio = counts.second > 0 ? counts.first / counts.second : -1;
        if (bad_ratio > worst)
        {
            worst = bad_ratio;
            out.workspace = workspace;
            out.bad = counts.first;
            out.total = counts.second;
        }
    }
}

objective_kind kind_named(settings_file& file, const std::string& section)
{
    static const std::map<std::string, objective_kind> kinds = {
        {"availability", objective_kind::availability},
        {"first_token", objective_kind::first_token},
        {"over_rate", objective_kind::over_rate},
        {"worst_workspace", objective_kind::worst_workspace}};
    auto it = kinds.find(file.text(section, "kind"));
    if (it == kinds.end())
    {
        file.report_error(section, "kind",
                          "must be availability, first_token, over_rate or worst_workspace");
        return objective_kind::availability;
    }
    return it->second;
}

} // namespace

objectives read_objectives(settings_file& file)
{
    constexpr std::int64_t max_window_s = 90 * 24 * 3600;
    objectives out;
    for (const auto& name : split_names(file.text("burn", "objectives")))
    {
        std::string section = "objective " + name;
        objective it;
        it.name = name;
        it.kind = kind_named(file, section);
        it.good_permille = file.integer(section, "good_permille", 1, 999);
        if (it.kind == objective_kind::first_token)
        {
            it.limit = file.duration(section, "limit_ms");
        }
        out.all.push_back(it);
    }
    for (const auto& text : split_names(file.text("burn", "windows_s", "300, 3600, 21600")))
    {
        std::int64_t n = std::atoll(text.c_str());
        if (n < 1 || n > max_window_s)
        {
            file.report_error("burn", "windows_s", "must be whole seconds, joined by commas");
            continue;
        }
        out.windows.emplace_back(n);
    }
    return out;
}

window_burn burn_at(const objective& it, const std::vector<metric_scrape>& scrapes, seconds window,
                    seconds at)
{
    samples in = increases(scrapes, at - window, at);
    window_burn out;
    out.window = window;
    switch (it.kind)
    {
    case objective_kind::availability:
        fill_availability(in, out);
        break;
    case objective_kind::first_token:
        fill_first_token(it, in, out);
        break;
    case objective_kind::over_rate:
        fill_over_rate(in, out);
        break;
    case objective_kind::worst_workspace:
        fill_worst(in, out);
        break;
    }
    if (out.total > 0)
    {
        double allowed = 1 - static_cast<double>(it.good_permille) / 1000;
        out.rate = out.bad / out.total / allowed;
    }
    return out;
}

} // namespace banyanshunt
