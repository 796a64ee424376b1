#include "coordination/server_pace.hpp"

#include <algorithm>
#include <cmath>

namespace banyanshunt
{

namespace
{

/// A sample of less weight is not worth its bytes.
constexpr double min_weight = 0.25;
/// The weight of a mean is bounded, so that it follows changes.
constexpr double max_weight = 30;

} // namespace

double server_pace::decayed(const pace_sample& it, instant now)
{
    std::chrono::duration<double> age = std::max<nanoseconds>(now - it.at, nanoseconds(0));
    return it.weight * std::exp2(-age / half_life);
}

void server_pace::add(pace_sample& to, double value, instant now)
{
    double weight = std::min(decayed(to, now), max_weight);
    to.slowness = (to.slowness * weight + value) / (weight + 1);
    to.weight = weight + 1;
    to.at = now;
}

void server_pace::record(const server_id& server, const model_id& model, nanoseconds mean_gap,
                         int events, instant now)
{
    if (events < min_events || mean_gap.count() <= 0)
    {
        return;
    }
    double gap = std::log(static_cast<double>(mean_gap.count()));
    double slowness = std::log(1 / speed(server, now));
    auto [usual, is_new] = usual_.try_emplace(model);
    double expected = is_new ? gap - slowness : usual->second.slowness;
    add(usual->second, gap - slowness, now);
    add(own_[server], gap - expected, now);
}

void server_pace::apply(const host_id& host, const server_id& server, const pace_sample& sample)
{
    auto& known = peers_[server][host];
    if (sample.at >= known.at)
    {
        known = sample;
    }
}

std::optional<pace_sample> server_pace::own(const server_id& server, instant now) const
{
    auto it = own_.find(server);
    if (it == own_.end() || decayed(it->second, now) < min_weight)
    {
        return std::nullopt;
    }
    return pace_sample{
        .slowness = it->second.slowness, .weight = decayed(it->second, now), .at = now};
}

double server_pace::speed(const server_id& server, instant now) const
{
    double weights = prior_weight;
    double sum = 0;
    auto count = [&](const pace_sample& it)
    {
        double weight = decayed(it, now);
        weights += weight;
        sum += weight * it.slowness;
    };
    if (auto it = own_.find(server); it != own_.end())
    {
        count(it->second);
    }
    if (auto it = peers_.find(server); it != peers_.end())
    {
        for (const auto& [host, sample] : it->second)
        {
            count(sample);
        }
    }
    double slowness = sum / weights;
    return std::abs(slowness) < min_difference ? 1 : std::exp(-slowness);
}

void server_pace::expire(instant now)
{
    auto old = [&](const auto& it) { return decayed(it.second, now) < min_weight / 2; };
    std::erase_if(usual_, old);
    std::erase_if(own_, old);
    for (auto& [server, hosts] : peers_)
    {
        std::erase_if(hosts, old);
    }
    std::erase_if(peers_, [](const auto& it) { return it.second.empty(); });
}

} // namespace banyanshunt
