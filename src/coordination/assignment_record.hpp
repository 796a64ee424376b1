#pragma once

/// \file
/// How long a host waits before it gives orders to an engine that the group has just assigned to
/// it.
///
/// It covers outages and restarts: after an outage of all hosts or of the store, most assignments
/// return to the host that had them. That host may continue at once, while any other waits until
/// the previous owner can no longer give orders. The assignment's records in the log tell the two
/// apart.

#include <optional>
#include <string>
#include <string_view>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// One record of an assignment: a host claims it, or has completed its takeover. The second kind is
/// appended only directly after the first, so that it cannot follow another host's claim.
struct assignment_record
{
    host_id holder;
    /// No other host may give orders any more.
    bool takeover_complete = false;

    friend bool operator==(const assignment_record&, const assignment_record&) = default;
};

std::string to_text(const assignment_record& record);
/// Returns the record that `text` encodes; nothing if it is not an assignment record.
std::optional<assignment_record> parse_assignment_record(std::string_view text);

/// Returns how long `own` waits after its claim. `first` says that its claim is the assignment's
/// first record; otherwise `before` is the record preceding it, or nothing if that could not be
/// read. `expiry` is how long a previous owner may continue before it learns that it lost the
/// assignment.
milliseconds takeover_delay(bool first, const std::optional<assignment_record>& before,
                            const host_id& own, milliseconds expiry);

} // namespace banyanshunt
