#pragma once

/// \file
/// Which host is asked for its view of the platform's topics, and which views are taken over.
///
/// Made for a load pattern in which the host that reads for its failure domain stops, is killed,
/// frozen or cut off while the configuration changes: the others pass it over, and one that hears
/// of no young view reads the topics itself before the configuration has to be in force.

#include <algorithm>
#include <map>
#include <optional>

#include "coordination/view_source.hpp"
#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Bounds on the age of a shared configuration, counted from the call that confirmed it.
struct shared_view_bounds
{
    /// Beyond this age of what it has, a host reads the configuration itself.
    milliseconds own_read;
    /// Beyond this age of its view, a reader has lost contact with the store.
    milliseconds reader;
};

/// Returns the bounds where a configuration has to be in force `ticket_apply` after the store
/// acknowledged it, and a call may take `call_time`.
inline shared_view_bounds bound_shared_view(milliseconds ticket_apply, milliseconds call_time)
{
    /// Less than half of the shortest bound on key revocation.
    constexpr milliseconds longest_own_read{2000};
    /// A reader has lost contact, whatever the bound on a new configuration is.
    constexpr milliseconds longest_reader{2600};
    auto latest = ticket_apply - call_time;
    return {.own_read = std::min(longest_own_read, latest),
            .reader = std::min(longest_reader, latest)};
}

struct view_requests_options
{
    /// After this many requests without a response another host is chosen, and this one is skipped.
    int max_unanswered = 3;
    milliseconds skip_duration{4000};
};

/// The requests of one host, each of which replaces the one before.
class view_requests
{
public:
    enum class response
    {
        /// Belongs to no request that is still open.
        ignored,
        taken,
        /// Is taken, too, but confirms little; its host is skipped for a while.
        too_old,
    };

    explicit view_requests(const view_requests_options& options = {}) : options_(options) {}

    /// A host that left too many requests unanswered; it is skipped from now on for a while.
    std::optional<host_id> pass_over_unresponsive(instant now)
    {
        if (unanswered_ < options_.max_unanswered)
        {
            return std::nullopt;
        }
        unresponsive_until_[from_] = now + options_.skip_duration;
        unanswered_ = 0;
        return from_;
    }
    /// Whether a host is not asked for now. One without contact to the store asks also those whose
    /// views are old, as it has nothing better.
    bool is_skipped(const host_id& host, store_contact contact, instant now) const
    {
        return is_in(unresponsive_until_, host, now) ||
               (contact == store_contact::kept && is_in(outdated_until_, host, now));
    }
    /// Notes that this host reads by itself.
    void end() { asks_ = false; }
    /// Notes that a host requests this one's view. Returns whether that is the host that this one
    /// asks: it has lost contact with the store, so neither would read.
    bool asked_by_reader(const host_id& host, instant now)
    {
        if (!asks_ || host != from_ || is_in(outdated_until_, host, now))
        {
            return false;
        }
        outdated_until_[host] = now + options_.skip_duration;
        return true;
    }
    /// Notes a request to a host; returns its number.
    std::int64_t request(const host_id& from, instant now)
    {
        asks_ = true;
        from_ = from;
        requested_at_ = now;
        ++unanswered_;
        return ++number_;
    }
    /// Judges a response whose view of the configuration was `age` old when it was sent.
    response judge(const host_id& from, std::int64_t number, milliseconds age,
                   const shared_view_bounds& bounds, instant now)
    {
        if (number != number_ || from != from_)
        {
            return response::ignored;
        }
        unanswered_ = 0;
        if (age > bounds.reader)
        {
            outdated_until_[from] = now + options_.skip_duration;
            return response::too_old;
        }
        return response::taken;
    }
    /// When the newest request was sent. What a response confirms is dated from then, so a datagram
    /// that stayed in a suspended host's buffer makes nothing look fresh.
    instant requested_at() const { return requested_at_; }
    int unanswered() const { return unanswered_; }

private:
    using time_by_host = std::map<host_id, instant>;

    static bool is_in(const time_by_host& skipped, const host_id& host, instant now)
    {
        auto it = skipped.find(host);
        return it != skipped.end() && now < it->second;
    }

    view_requests_options options_;
    bool asks_ = false;
    std::int64_t number_ = 0;
    instant requested_at_;
    host_id from_;
    /// Consecutive requests without a response.
    int unanswered_ = 0;
    /// Hosts that did not respond, and hosts whose views were old.
    time_by_host unresponsive_until_;
    time_by_host outdated_until_;
};

} // namespace banyanshunt
