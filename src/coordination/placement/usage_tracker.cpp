#include "coordination/placement/usage_tracker.hpp"

namespace banyanshunt
{
namespace
{

// Two observations closer than this belong to one use.
constexpr milliseconds min_gap(1000);
// A new gap changes the mean by a quarter of the difference.
constexpr int smoothing = 4;

} // namespace

void usage_tracker::record_use(const model_id& model, instant now)
{
    auto [it, first] =
        models_.try_emplace(model, model_usage{.last_used = now, .mean_gap = {}, .gaps = 0});
    model_usage& usage = it->second;
    nanoseconds gap = now - usage.last_used;
    usage.last_used = now;
    if (first || gap < min_gap)
    {
        return;
    }
    usage.mean_gap = usage.gaps == 0 ? gap : usage.mean_gap + (gap - usage.mean_gap) / smoothing;
    ++usage.gaps;
}

const model_usage* usage_tracker::find(const model_id& model) const
{
    auto it = models_.find(model);
    return it == models_.end() ? nullptr : &it->second;
}

} // namespace banyanshunt
