#include "coordination/server_notices.hpp"

namespace banyanshunt
{

bool server_notices::record_leaving(const server_id& server, const leaving_notice& notice,
                                    instant now)
{
    auto [it, is_new] =
        leaving_.try_emplace(server, known_leaving{.notice = notice, .mentioned_at = now});
    known_leaving& known = it->second;
    known.mentioned_at = now;
    bool same = notice.start_time_ms == known.notice.start_time_ms;
    bool superseded = notice.start_time_ms < known.notice.start_time_ms &&
                      notice.stated_at <= known.notice.stated_at;
    if (!is_new && (superseded || same))
    {
        if (same && notice.source == notice_source::response)
        {
            // The server's own word; only that is told to peers.
            known.notice.source = notice_source::response;
        }
        return false;
    }
    known.notice = notice;
    if (leaving_.size() > max_notices)
    {
        auto oldest = std::min_element(leaving_.begin(), leaving_.end(),
                                       [](const auto& a, const auto& b)
                                       { return a.second.mentioned_at < b.second.mentioned_at; });
        leaving_.erase(oldest);
    }
    return true;
}

bool server_notices::record_pause(const server_id& server, std::int64_t start_time_ms,
                                  nanoseconds length, instant now)
{
    auto it = pauses_.find(server);
    bool known = it != pauses_.end() && it->second.until > now;
    if (length <= nanoseconds(0) || (known && it->second.start_time_ms > start_time_ms))
    {
        return false;
    }
    instant until = now + length;
    if (known && it->second.start_time_ms == start_time_ms && it->second.until >= until)
    {
        return false;
    }
    pauses_.insert_or_assign(server, pause{.start_time_ms = start_time_ms, .until = until});
    return true;
}

bool server_notices::leaving(const server_id& server, std::int64_t start_time_ms,
                             instant newest_at) const
{
    auto it = leaving_.find(server);
    if (it == leaving_.end())
    {
        return false;
    }
    const auto& notice = it->second.notice;
    return start_time_ms == notice.start_time_ms ||
           (start_time_ms < notice.start_time_ms && newest_at <= notice.stated_at);
}

nanoseconds server_notices::pause_left(const server_id& server, std::int64_t start_time_ms,
                                       instant now) const
{
    auto it = pauses_.find(server);
    bool applies = it != pauses_.end() && it->second.start_time_ms == start_time_ms;
    return applies ? std::max<nanoseconds>(it->second.until - now, nanoseconds(0)) : nanoseconds(0);
}

std::size_t server_notices::count_paused(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        pauses_.begin(), pauses_.end(), [&](const auto& it) { return it.second.until > now; }));
}

} // namespace banyanshunt
