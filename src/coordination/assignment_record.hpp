#pragma once

/// \file
/// How long a host waits before it gives orders to an engine that the group has just assigned to
/// it.
///
/// It covers outages, restarts and hand-overs. After an outage of all hosts or of the store, most
/// assignments return to the host that had them, which may continue at once. A host that stops, or
/// whose assignments move to a host that joins, releases them and states how long the next owner
/// has to wait. In all other cases the next owner waits until the previous one can no longer give
/// orders. The assignment's records in the log tell these apart.

#include <optional>
#include <string>
#include <string_view>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// One record of an assignment: a host claims it, has completed its takeover, or releases it. The
/// second and third kinds are appended only directly after the holder's own records, so that they
/// cannot follow another host's claim.
struct assignment_record
{
    host_id holder;
    /// No other host may give orders any more.
    bool takeover_complete = false;
    /// The holder gives no more orders, and the next owner may after this time.
    std::optional<milliseconds> released_for = {};

    friend bool operator==(const assignment_record&, const assignment_record&) = default;
};

std::string to_text(const assignment_record& record);
/// Returns the record that `text` encodes; nothing if it is not an assignment record.
std::optional<assignment_record> parse_assignment_record(std::string_view text);

/// Returns how long the next owner waits after a release at `now`, by the last order that the
/// releasing host gave and the end of its own takeover. Orders of two hosts are at least `lease`
/// apart.
milliseconds release_delay(instant last_order_at, instant may_order_at, milliseconds lease,
                           instant now);

/// Returns how long `own` waits after its claim. `first` says that its claim is the assignment's
/// first record; otherwise `before` is the record preceding it, or nothing if that could not be
/// read. `expiry` is how long a previous owner may continue before it learns that it lost the
/// assignment.
milliseconds takeover_delay(bool first, const std::optional<assignment_record>& before,
                            const host_id& own, milliseconds expiry);

/// The durations that keep the orders of two hosts to one engine apart.
struct order_terms
{
    /// The minimum time between orders of two hosts.
    milliseconds lease;
    /// How long a host gives orders after it sent the call that last renewed its membership.
    milliseconds membership;
    /// How long an order can be in transit.
    milliseconds transit;
};

/// Returns how long after a claim the last order of a previous owner may still bind the new one.
/// The group may have reassigned the assignment right after it renewed the previous owner, which
/// gives orders until its membership ends if it cannot reach the group.
milliseconds takeover_expiry(const order_terms& terms);

/// What a claim entitles its host to.
struct takeover
{
    instant may_order_at;
    /// When the last order ended that the host may have given under an earlier claim.
    instant last_order_at;
    /// When the last order of an earlier claim can have been sent; nothing if all of them were
    /// answered, or if there were none. A stalled engine keeps what it has received, so it
    /// counts as free of such orders only once it has responded to a call that was sent later.
    std::optional<instant> ask_engines_after = {};
    /// Whether that claim was another host's.
    bool from_other_host = false;
};

/// Decides on a claim that was sent at `claimed_at`; the record `before` it was received at
/// `read_at`. The other arguments are those of `takeover_delay`.
takeover take_over(bool first, const std::optional<assignment_record>& before, const host_id& own,
                   instant claimed_at, instant read_at, const order_terms& terms);

} // namespace banyanshunt
