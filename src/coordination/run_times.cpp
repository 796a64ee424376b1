#include "coordination/run_times.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace banyanshunt
{

void run_times::append(run_list& to, const ended_run& run) const
{
    to.push_back(run);
    while (to.size() > options_.max_runs || run.at - to.front().at > options_.window)
    {
        to.pop_front();
    }
}

void run_times::record(const service_id& service, const model_id& model, const run_duration& run,
                       instant now)
{
    auto is_old = [&](const auto& it) { return now - it.second.back().at > options_.window; };
    std::erase_if(by_service_, is_old);
    std::erase_if(by_model_, is_old);
    append(by_service_[service], {.duration = run, .at = now});
    if (!model.empty())
    {
        append(by_model_[model], {.duration = run, .at = now});
    }
}

std::size_t run_times::count_recent(const run_list& runs, instant now) const
{
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(),
                                                  [&](const ended_run& it)
                                                  { return now - it.at <= options_.window; }));
}

std::optional<nanoseconds> run_times::estimate(const service_id& service, const model_id& model,
                                               millitokens output, double covered,
                                               instant now) const
{
    auto of_model = by_model_.find(model);
    if (of_model != by_model_.end() && count_recent(of_model->second, now) >= options_.min_runs)
    {
        return estimate_of(of_model->second, output, covered, now);
    }
    auto of_service = by_service_.find(service);
    if (of_service == by_service_.end() || count_recent(of_service->second, now) == 0)
    {
        return std::nullopt;
    }
    return estimate_of(of_service->second, output, covered, now);
}

nanoseconds run_times::estimate_of(const run_list& runs, millitokens output, double covered,
                                   instant now) const
{
    std::vector<double> scaled;
    for (const auto& it : runs)
    {
        if (now - it.at > options_.window)
        {
            continue;
        }
        const auto& run = it.duration;
        // A request without a stated size is taken to be as long as this run.
        bool sized = output.count() > 0 && run.output.count() > 0;
        double factor =
            sized ? static_cast<double>(output.count()) / static_cast<double>(run.output.count())
                  : 1;
        scaled.push_back(static_cast<double>(run.first.count()) +
                         factor * static_cast<double>(run.rest.count()));
    }
    std::sort(scaled.begin(), scaled.end());
    auto rank = static_cast<std::size_t>(std::ceil(covered * static_cast<double>(scaled.size())));
    double length = scaled.at(std::clamp<std::size_t>(rank, 1, scaled.size()) - 1);
    return nanoseconds(static_cast<std::int64_t>(options_.reserve * length));
}

} // namespace banyanshunt
