#include "coordination/run_times.hpp"

#include <algorithm>

namespace banyanshunt
{

void run_times::append(run_list& to, const ended_run& run) const
{
    to.push_back(run);
    if (to.size() > options_.max_runs)
    {
        to.pop_front();
    }
}

void run_times::record(const service_id& service, const model_id& model, const run_duration& run,
                       instant now)
{
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

std::optional<nanoseconds> run_times::longest(const service_id& service, const model_id& model,
                                              millitokens output, instant now) const
{
    auto of_model = by_model_.find(model);
    if (of_model != by_model_.end() && count_recent(of_model->second, now) >= options_.min_runs)
    {
        return longest_of(of_model->second, output, now);
    }
    auto of_service = by_service_.find(service);
    if (of_service == by_service_.end() || count_recent(of_service->second, now) == 0)
    {
        return std::nullopt;
    }
    return longest_of(of_service->second, output, now);
}

nanoseconds run_times::longest_of(const run_list& runs, millitokens output, instant now) const
{
    nanoseconds first(0);
    nanoseconds unsized(0);
    double pace = 0;
    for (const auto& it : runs)
    {
        if (now - it.at > options_.window)
        {
            continue;
        }
        first = std::max(first, it.duration.first);
        unsized = std::max(unsized, it.duration.rest);
        if (it.duration.output.count() > 0)
        {
            pace = std::max(pace, static_cast<double>(it.duration.rest.count()) /
                                      static_cast<double>(it.duration.output.count()));
        }
    }
    // A request without a stated size is taken to be as long as the longest.
    double rest = output.count() > 0 && pace > 0 ? pace * static_cast<double>(output.count())
                                                 : static_cast<double>(unsized.count());
    double sum = options_.reserve * (static_cast<double>(first.count()) + rest);
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::nano>(sum));
}

} // namespace banyanshunt
