#include "coordination/server_limits.hpp"

#include <algorithm>
#include <cstdlib>

namespace banyanshunt
{

namespace
{

/// A rate that moved by less than this fraction (1/N) is no change to report.
constexpr std::int64_t change_divisor = 8;
constexpr seconds statement_ttl{60};
constexpr milliseconds fresh_duration{2000};
constexpr seconds recent_duration{1};

} // namespace

millirequests_per_second cold_permit_rate(double allowed, double per_s)
{
    // What permits add to their rate within a second, as fractions of it: the burst of a schedule,
    // and the validity of a permit.
    constexpr double burst = 0.25;
    constexpr double validity = 0.5;
    double rate = std::min(per_s, (allowed - 1) / (1 + burst + validity));
    return millirequests_per_second(
        static_cast<std::int64_t>(std::max(rate, 0.0) * millirequests_per_request));
}

limit_change server_limits::record_response(const server_id& server, std::int64_t start_time_ms,
                                            std::optional<millirequests_per_second> rate,
                                            response_match match, instant sent_at, instant now)
{
    bool counts = rate ? is_answer(match) || !in_force(server) : match == response_match::exact;
    if (!counts)
    {
        return limit_change::none;
    }
    return record(server,
                  {.start_time_ms = start_time_ms, .rate = rate, .at = rate ? now : sent_at});
}

limit_change server_limits::record(const server_id& server, const limit_statement& statement)
{
    auto it = statements_.find(server);
    bool is_new = it == statements_.end() || statement.start_time_ms > it->second.start_time_ms;
    bool was_in_force = it != statements_.end() && it->second.rate;
    if (is_new && !statement.rate && !was_in_force)
    {
        return limit_change::none;
    }
    if (!is_new)
    {
        const auto& known = it->second;
        bool newer = statement.rate ? statement.at >= known.at : statement.at > known.at;
        if (statement.start_time_ms < known.start_time_ms || !newer)
        {
            return limit_change::none;
        }
    }
    statements_.insert_or_assign(server, statement);
    if (!statement.rate)
    {
        shown_rates_.erase(server);
        next_permits_.erase(server);
        return was_in_force ? limit_change::ended : limit_change::none;
    }
    auto shown = shown_rates_.find(server);
    if (was_in_force && shown != shown_rates_.end())
    {
        auto moved = std::abs((shown->second - *statement.rate).count());
        if (moved * change_divisor < std::max<std::int64_t>(shown->second.count(), 1))
        {
            return limit_change::none;
        }
    }
    shown_rates_.insert_or_assign(server, *statement.rate);
    return was_in_force ? limit_change::adjusted : limit_change::began;
}

void server_limits::forget_earlier(const server_id& server, std::int64_t start_time_ms)
{
    auto it = statements_.find(server);
    if (it != statements_.end() && it->second.start_time_ms != start_time_ms)
    {
        statements_.erase(it);
        shown_rates_.erase(server);
    }
    auto cold = cold_.find(server);
    if (cold != cold_.end() && cold->second.start_time_ms != start_time_ms)
    {
        cold_.erase(cold);
    }
}

bool server_limits::set_cold(const server_id& server, const cold_limit& limit)
{
    return cold_.insert_or_assign(server, limit).second;
}

void server_limits::expire(instant now)
{
    std::erase_if(statements_, [&](const auto& it) { return now - it.second.at > statement_ttl; });
    std::erase_if(cold_, [&](const auto& it) { return it.second.until <= now; });
    std::erase_if(shown_rates_, [&](const auto& it) { return !statements_.contains(it.first); });
    std::erase_if(next_permits_, [&](const auto& it) { return it.second <= now; });
    std::erase_if(sends_, [&](const auto& it)
                  { return it.second.empty() || now - it.second.back() > recent_duration; });
}

std::optional<millirequests_per_second> server_limits::rate(const server_id& server) const
{
    auto it = statements_.find(server);
    auto stated = it == statements_.end() ? std::nullopt : it->second.rate;
    auto cold = cold_.find(server);
    if (cold == cold_.end())
    {
        return stated;
    }
    return stated ? std::min(*stated, cold->second.rate) : cold->second.rate;
}

bool server_limits::is_fresh(const server_id& server, instant now) const
{
    auto it = statements_.find(server);
    return it != statements_.end() && it->second.rate && now - it->second.at < fresh_duration;
}

nanoseconds server_limits::permit_wait(const server_id& server, instant now) const
{
    auto it = next_permits_.find(server);
    return it == next_permits_.end() || !in_force(server)
               ? nanoseconds(0)
               : std::max<nanoseconds>(it->second - now, nanoseconds(0));
}

void server_limits::record_sent(const server_id& server, instant now)
{
    auto& sends = sends_[server];
    sends.push_back(now);
    while (now - sends.front() > recent_duration)
    {
        sends.pop_front();
    }
}

int server_limits::recent_sends(const server_id& server, instant now)
{
    auto it = sends_.find(server);
    return it == sends_.end()
               ? 0
               : static_cast<int>(std::count_if(it->second.begin(), it->second.end(),
                                                [&](instant at)
                                                { return now - at <= recent_duration; }));
}

} // namespace banyanshunt
