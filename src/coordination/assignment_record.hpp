#pragma once

/// \file
/// Defines how long a host waits before it gives orders in a duty that the group has just dealt it.
///
/// It answers outages and restarts: after all hosts or the store were away, most duties come back
/// to the host that had them, which may go on at once, while any other waits until the holder
/// before can no longer give orders. The duty's records in the log tell the two apart.

#include <optional>
#include <string>
#include <string_view>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// One record of a duty: a host took it, or its turn has begun. The second kind is appended only
/// directly behind the first, so that it cannot come late behind another host's.
struct assignment_record
{
    host_id holder;
    /// Nobody else may give orders any more.
    bool takeover_complete = false;

    friend bool operator==(const assignment_record&, const assignment_record&) = default;
};

std::string to_text(const assignment_record& record);
/// The record of a text; nothing for one that is not a duty's.
std::optional<assignment_record> parse_assignment_record(std::string_view text);

/// How long `own` waits from its claim on. `first_offset` says that its claim is the duty's first
/// record; otherwise `before` is the one in front of it, or nothing if that could not be read.
/// `turn_over` is how long a holder may go on that has not learned yet that it is no longer one.
milliseconds takeover_delay(bool first, const std::optional<assignment_record>& before,
                            const host_id& own, milliseconds turn_over);

} // namespace banyanshunt
