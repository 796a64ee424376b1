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
#include <vector>

#include "coordination/claim_number.hpp"
#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// One record of an assignment: a host claims it, has completed its takeover, or releases it. The
/// second and third kinds are appended only directly after the holder's own records, so that they
/// cannot follow another host's claim; a late release states that it does.
struct assignment_record
{
    host_id holder;
    /// No other host may give orders any more.
    bool takeover_complete = false;
    /// The number under which a host with a complete takeover gives orders, and from which machine.
    std::optional<fencing_number> fence = {};
    std::optional<machine_id> machine = {};
    /// The holder gives no more orders, and the next owner may after this time.
    std::optional<milliseconds> released_for = {};
    /// For a late release: the last record of the releasing host before another host's claim.
    std::optional<log_offset> released_after = {};
    /// For a release by a host that gave no order, while those of the owner before it may still be
    /// under way: the last record of that owner.
    std::optional<log_offset> unused_since = {};
    /// The number of the holder's claim. A claim states it only if its offset gives a lower one.
    std::optional<fencing_number> claim_number = {};

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

/// A host that claims an assignment. Only the machine that completed a takeover continues it:
/// another one with the host's name does not know its orders.
struct claimant
{
    host_id host;
    machine_id machine;
    /// The machine in the numbers of its claims.
    machine_number number = {};
};

/// Whether a record says that this host has completed its takeover on this machine.
bool completed_by(const claimant& own, const std::optional<assignment_record>& before);

/// Returns how long `own` waits after its claim. `first` says that its claim is the assignment's
/// first record; otherwise `before` is the record preceding it, or nothing if that could not be
/// read. `expiry` is how long a previous owner may continue before it learns that it lost the
/// assignment.
milliseconds takeover_delay(bool first, const std::optional<assignment_record>& before,
                            const claimant& own, milliseconds expiry);

/// The durations that keep the orders of two hosts to one engine apart.
struct order_terms
{
    /// The minimum time between orders of two hosts.
    milliseconds lease;
    /// How long a host gives orders after it sent the call that last renewed its membership.
    milliseconds membership;
    /// How long an order can be in transit.
    milliseconds transit;
    /// How long after its arrival an engine may carry out an order without a response.
    milliseconds order_delay{0};
};

/// Returns how long after a claim the last order of a previous owner may still bind the new one,
/// if engines carry orders out as they arrive. The group may have reassigned the assignment right
/// after it renewed the previous owner, which gives orders until its membership ends if it cannot
/// reach the group.
milliseconds takeover_expiry(const order_terms& terms);

/// The release of an assignment that its owner sends to the other hosts when it cannot record it.
/// It holds for the host whose claim directly follows `last_record`.
struct peer_release
{
    log_offset last_record;
    /// From when on that host may give orders.
    instant free_at;
};

/// What a claim entitles its host to.
struct takeover
{
    instant claimed_at = {};
    instant may_order_at;
    /// When the last order ended that the host may have given under an earlier claim.
    instant last_order_at;
    /// When the last order of an earlier claim can have been sent; nothing if all of them were
    /// answered, or if there were none. A stalled engine keeps what it has received, so it
    /// counts as free of such orders only once it has responded to a call that was sent later.
    std::optional<instant> ask_engines_after = {};
    /// Whether that claim was another host's.
    bool from_other_host = false;
    /// From when another host's orders do not meet one that was given under an earlier claim and is
    /// carried out late; nothing if there is none.
    std::optional<instant> late_orders_end = {};
    /// The number under which the host gave orders before, if it goes on with them: orders of its
    /// earlier claim that arrive now are not older than its new ones.
    std::optional<fencing_number> resumed_fence = {};
};

/// What a read of the record before a claim showed.
enum class preceding_read
{
    /// The claim is the first record.
    none,
    record,
    /// It is not an assignment record.
    unknown_record,
    /// The log has dropped it.
    dropped,
    /// The response ends before it: the log went back, or the response is of an earlier time.
    past_end,
    refused,
    no_response,
};

/// The name of an outcome in logs and metrics.
const char* to_text(preceding_read it);

/// A claim of an assignment, and the record before it.
struct assignment_claim
{
    claimant own;
    log_offset at;
    /// Nothing if there is none, or if it could not be read.
    std::optional<assignment_record> before = {};
    preceding_read read = preceding_read::none;
    /// The highest number that the records before state.
    fencing_number highest_stated = fencing_number(0);
    /// The highest number of an owner that this host knew before it claimed.
    fencing_number highest_known = fencing_number(0);
    /// Whether this host knows an owner that the log has forgotten, whatever its number.
    bool forgotten_owner_known = false;
    instant sent_at;
    /// When the record before was received.
    instant read_at;
};

/// The number of a claim, above all that are known.
fencing_number number_of(const assignment_claim& claim);

/// Whether a claim has to state its number in the log, as its offset gives a lower one. Offsets
/// only grow while the log neither loses records nor begins anew.
bool has_to_state_number(const assignment_claim& claim);

/// Whether such a read shows nothing of the records before a claim, so that it has to be repeated.
bool is_inconclusive(preceding_read read);

/// Whether the number that `record` or an earlier record states may be missing in it: a host may
/// have claimed without getting to state its number, and a late release has that of its own host.
bool may_hide_number(const assignment_record& record);

/// Whether the log has lost the claim of an owner that the host knows.
bool has_lost_claims(const assignment_claim& claim);

/// Decides what a claim entitles its host to. If the log has lost claims, the record before this
/// one says nothing of the last owner.
takeover take_over(const assignment_claim& claim, const order_terms& terms);

/// What the records behind a claim show to its host.
struct records_after_claim
{
    /// Another host has claimed the assignment since, or another machine under this host's name.
    bool superseded = false;
    /// How long after its late release the owner before lets this host order.
    std::optional<milliseconds> released_for = {};
    /// The last record that was read, and the last one before another host's claim.
    log_offset last;
    log_offset last_before_claim;
    /// The response ends before the host's own records, so that it shows nothing.
    bool ends_before = false;
};

/// Reads the records behind a claim of `own`, the first of which is at `from`. The owner before had
/// its last record at `before_claim`. Claims do not name their machine, so one under the host's own
/// name counts as another machine's.
records_after_claim read_after_claim(const std::vector<std::string>& records, log_offset from,
                                     const claimant& own, log_offset before_claim);

} // namespace banyanshunt
