#pragma once

/// \file
/// What backend servers have said of themselves: that they leave, and for how long they want no
/// requests.
///
/// Made for a load pattern in which servers come and go while many hosts send to them: what is
/// known of one server arrives from several sources, late and in any order, and the registry may
/// learn last that it leaves. So a leaving is undone by a later incarnation of the server alone.
/// Which incarnation is later is not told by their start times alone, as a server's clock may have
/// been wrong at one of them. A pause is between one host and one server, as the server turned that
/// host's requests away.

#include <algorithm>
#include <map>
#include <optional>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// From what it was learned that a server leaves.
enum class notice_source
{
    /// A response of the server to this host.
    response,
    /// A response of the server to another host.
    peer,
    registry,
};

constexpr const char* to_text(notice_source it)
{
    switch (it)
    {
    case notice_source::response:
        return "response";
    case notice_source::peer:
        return "peer";
    default:
        return "registry";
    }
}

/// That a server leaves, as first learned of its newest leaving incarnation.
struct leaving_notice
{
    /// Start time of the incarnation that leaves.
    std::int64_t start_time_ms = 0;
    notice_source source = notice_source::response;
    /// When the server, or its registry entry, said so.
    instant stated_at;
};

class server_notices
{
public:
    /// Records that an incarnation of a server leaves; returns whether that was not known yet.
    bool record_leaving(const server_id& server, const leaving_notice& notice, instant now);
    /// Records that an incarnation of a server wants no requests for `length`. Returns whether the
    /// pause began, or became longer by that.
    bool record_pause(const server_id& server, std::int64_t start_time_ms, nanoseconds length,
                      instant now);

    /// Whether the incarnation leaves. An earlier one than that which leaves has ended already: one
    /// that started earlier by its clock, unless the log showed after the notice that it is the
    /// newest, at `newest_at`.
    bool leaving(const server_id& server, std::int64_t start_time_ms,
                 instant newest_at = instant::min()) const;
    /// How long the incarnation still wants no requests; 0 if it takes them. Nothing is sent before
    /// that: a trial could not shorten the pause, so it would only waste a request's time.
    nanoseconds pause_left(const server_id& server, std::int64_t start_time_ms, instant now) const;
    bool any_pause() const { return !pauses_.empty(); }

    /// Drops pauses that are over, and what was said by servers that `is_known` does not know and
    /// that nobody mentioned for `retention`.
    template <class IsKnown>
    void expire(const IsKnown& is_known, instant now)
    {
        for (auto& [server, it] : leaving_)
        {
            it.mentioned_at = is_known(server) ? now : it.mentioned_at;
        }
        std::erase_if(leaving_,
                      [&](const auto& it) { return now - it.second.mentioned_at > retention; });
        std::erase_if(pauses_, [&](const auto& it) { return it.second.until <= now; });
    }

    struct known_leaving
    {
        leaving_notice notice;
        /// When it was last recorded, or the server was last in the table of servers.
        instant mentioned_at;
    };
    const std::map<server_id, known_leaving>& all_leaving() const { return leaving_; }
    std::size_t count_paused(instant now) const;

    /// How long what a removed server said is kept. Hosts that lost the store, and old entries that
    /// come back with it, are settled by then.
    static constexpr seconds retention{600};
    /// Bound on the notices kept; beyond it the one that was mentioned longest ago is dropped.
    static constexpr std::size_t max_notices = 4096;

private:
    struct pause
    {
        std::int64_t start_time_ms = 0;
        instant until;
    };
    std::map<server_id, known_leaving> leaving_;
    std::map<server_id, pause> pauses_;
};

} // namespace banyanshunt
