#include "tools/burn_report.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr double plot_width = 640;
constexpr double plot_height = 120;

std::string rate_text(const window_burn& it)
{
    return it.rate ? fmt::format("{:.2f}", *it.rate) : std::string("no requests");
}

std::string escape_html(const std::string& text)
{
    std::string out;
    for (char c : text)
    {
        switch (c)
        {
        case '<':
            out += "&lt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

// The dashed line marks a burn rate of 1; above it the error budget is exceeded.
std::string plot_of(const objective_burn& objective, seconds length)
{
    double highest = 1;
    for (const auto& [at, rate] : objective.history)
    {
        highest = std::max(highest, rate);
    }
    std::string points;
    for (const auto& [at, rate] : objective.history)
    {
        double x = plot_width * static_cast<double>(at.count()) /
                   static_cast<double>(std::max<std::int64_t>(length.count(), 1));
        points += fmt::format("{:.1f},{:.1f} ", x, plot_height * (1 - rate / highest));
    }
    double budget = plot_height * (1 - 1 / highest);
    return fmt::format("<svg viewBox=\"0 -4 {0} {1}\" width=\"{0}\" height=\"{1}\">"
                       "<line x1=\"0\" x2=\"{0}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" stroke=\"#b00\" "
                       "stroke-dasharray=\"4\"/><polyline points=\"{3}\" fill=\"none\" "
                       "stroke=\"#036\" stroke-width=\"2\"/></svg><p>0 to {4} s; highest {5:.2f}; "
                       "the dashed line is a burn of 1.</p>\n",
                       plot_width, plot_height + 8, budget, points, length.count(), highest);
}

} // namespace

burn_report make_burn_report(const objectives& requested, const std::vector<metric_scrape>& scrapes)
{
    burn_report report;
    std::set<seconds> times;
    for (const auto& scrape : scrapes)
    {
        times.insert(scrape.at);
    }
    report.length = times.empty() ? seconds(0) : *times.rbegin();
    for (const auto& it : requested.all)
    {
        objective_burn out{.definition = it, .windows = {}, .history = {}};
        for (seconds window : requested.windows)
        {
            out.windows.push_back(burn_at(it, scrapes, window, report.length));
        }
        for (seconds at : times)
        {
            seconds shortest =
                *std::min_element(requested.windows.begin(), requested.windows.end());
            out.history.emplace_back(at, burn_at(it, scrapes, shortest, at).rate.value_or(0));
        }
        report.objectives.push_back(std::move(out));
    }
    return report;
}

std::string burn_text(const burn_report& report)
{
    std::string out = fmt::format("{:24} {:>10} {:>10} {:>10} {:>12}  {}\n", "objective",
                                  "window s", "bad", "total", "burn", "workspace");
    for (const auto& objective : report.objectives)
    {
        for (const auto& it : objective.windows)
        {
            out += fmt::format("{:24} {:>10} {:>10} {:>10} {:>12}  {}\n", objective.definition.name,
                               it.window.count(), it.bad, it.total, rate_text(it), it.workspace);
        }
    }
    return out;
}

std::string burn_json(const burn_report& report)
{
    json out = {{"length_s", report.length.count()}};
    for (const auto& objective : report.objectives)
    {
        for (const auto& it : objective.windows)
        {
            out["objectives"][objective.definition.name].push_back(
                {{"window_s", it.window.count()},
                 {"bad", it.bad},
                 {"total", it.total},
                 {"workspace", it.workspace},
                 {"burn", it.rate ? json(*it.rate) : json()}});
        }
    }
    return out.dump(2) + "\n";
}

std::string burn_html(const burn_report& report)
{
    std::string out = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
                      "<title>Service-level burn</title>"
                      "<style>body{font:16px sans-serif;margin:2em}td,th{padding:.2em 1em;"
                      "text-align:right}</style><h1>Service-level burn</h1>\n";
    for (const auto& objective : report.objectives)
    {
        out +=
            fmt::format("<h2>{}: {} of 1000 good</h2>\n<table><tr><th>window s<th>bad<th>total"
                        "<th>burn<th>workspace</tr>\n",
                        escape_html(objective.definition.name), objective.definition.good_permille);
        for (const auto& it : objective.windows)
        {
            out += fmt::format("<tr><td>{}<td>{}<td>{}<td>{}<td>{}</tr>\n", it.window.count(),
                               it.bad, it.total, rate_text(it), escape_html(it.workspace));
        }
        out += "</table>\n" + plot_of(objective, report.length);
    }
    return out + "</html>\n";
}

} // namespace banyanshunt
