#pragma once

/// \file
/// The leases on backend servers, computed as a pure fold over the records of a domain's lease
/// stream.
///
/// A claim names the claim that it follows and is valid only if that one is still the newest, so
/// every reader sees the same winner of two racing claims. The fencing number derives from the
/// offset of the winning claim. A holder acts only while a read of the log that began less than
/// `lease_duration` ago showed no later claim. How long a new holder waits before its first order,
/// `take_over` decides.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// A claim of one placer on one backend server.
struct lease_claim
{
    server_id server;
    /// Empty when a holder releases its lease.
    host_id holder;
    incarnation_id incarnation;
    /// The fencing number of the claim that this one follows; 0 for the first.
    fencing_number follows;
    /// How long the next holder waits after a release.
    milliseconds released_for{0};
};

/// The newest valid claim on a server.
struct lease
{
    host_id holder;
    incarnation_id incarnation;
    /// Offset of the claim in the lease stream, plus 1 so that 0 means none.
    fencing_number fencing;
    /// How long the next holder waits, if the lease was released.
    milliseconds released_for{0};
    friend bool operator==(const lease&, const lease&) = default;
};

/// All leases of one domain, after a prefix of its lease stream.
class lease_table
{
public:
    /// Applies the claim read at `offset`; returns whether it is valid.
    bool apply(const lease_claim& claim, log_offset offset);

    std::optional<lease> find(const server_id& server) const;
    /// The first offset that has not been applied.
    log_offset next_offset() const { return next_offset_; }
    /// Marks the record at `offset`, which is not a claim, as read.
    void skip(log_offset offset) { next_offset_ = offset + log_offset(1); }

    /// Clears the table for a reader whose position in the stream has expired; it continues at
    /// `first`. The first claim read for each server is then valid whatever it follows: invalid
    /// claims are never renewed, and holders renew theirs before they expire.
    void reset(log_offset first);
    /// Whether a claim may be missing because it expired before it was read.
    bool partial() const { return partial_; }

    /// The servers that have a lease.
    std::vector<server_id> servers() const;

private:
    std::map<server_id, lease> leases_;
    log_offset next_offset_;
    bool partial_ = false;
};

} // namespace banyanshunt
