#include "coordination/server_health.hpp"

#include <algorithm>

#include "state/errors.hpp"

namespace banyanshunt
{

server_outcome outcome_of(const failure& error)
{
    if (error.code == errc::unreachable || error.code == errc::timeout ||
        error.code == errc::bad_answer)
    {
        return server_outcome::failed;
    }
    return server_outcome::refused;
}

bool server_health::usable(const server_id& server, instant now) const
{
    auto it = records_.find(server);
    if (it == records_.end() || it->second.ejections == 0)
    {
        return true;
    }
    return !it->second.probing && now >= it->second.probe_at;
}

bool server_health::ejected(const server_id& server) const
{
    auto it = records_.find(server);
    return it != records_.end() && it->second.ejections > 0;
}

void server_health::record_sent(const server_id& server)
{
    auto it = records_.find(server);
    if (it != records_.end() && it->second.ejections > 0)
    {
        it->second.probing = true;
    }
}

void server_health::apply_outcome(const server_id& server, server_outcome outcome, instant now,
                                  std::int64_t percent)
{
    if (outcome == server_outcome::responded)
    {
        records_.erase(server);
        return;
    }
    if (outcome == server_outcome::refused)
    {
        auto it = records_.find(server);
        if (it != records_.end())
        {
            it->second.probing = false;
        }
        return;
    }
    record& it = records_[server];
    ++it.failures;
    // Requests sent before the ejection may still fail; they must not lengthen it.
    bool eject = it.ejections == 0 ? it.failures >= options_.failure_threshold : it.probing;
    if (!eject)
    {
        return;
    }
    constexpr int max_doublings = 10;
    auto duration = options_.base_ejection * (1 << std::min(it.ejections, max_doublings));
    duration = std::min(duration, options_.max_ejection) * percent / 100;
    ++it.ejections;
    it.probing = false;
    it.probe_at = now + duration;
}

} // namespace banyanshunt
