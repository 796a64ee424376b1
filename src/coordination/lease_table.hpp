#pragma once

/// \file
/// Defines the leases on backend servers: a pure fold over the records of a domain's lease stream.
///
/// A claim names the claim that it follows; it counts only if that is still the newest one, so of
/// two racing claimants every reader sees the same winner. The offset of the winning claim is the
/// fencing number. A holder acts only while a read of the log that began less
/// than `lease_duration` ago showed no later claim, and a new holder waits that long, and the
/// longest that an order can be under way, before its first order.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/clock.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

/// A claim of one placer on one backend server.
struct lease_claim
{
    server_id server;
    /// Empty when a holder gives its lease up.
    host_id holder;
    incarnation_id incarnation;
    /// The fencing number of the claim that this one follows; 0 for the first.
    fencing_number follows;
};

/// The newest valid claim on a server.
struct lease
{
    host_id holder;
    incarnation_id incarnation;
    /// Offset of the claim in the lease stream, plus 1 so that 0 means none.
    fencing_number fencing;
    friend bool operator==(const lease&, const lease&) = default;
};

/// All leases of one domain, after a prefix of its lease stream.
class lease_table
{
public:
    /// Applies the claim read at `offset`; returns whether it won.
    bool apply(const lease_claim& claim, log_offset offset);

    std::optional<lease> find(const server_id& server) const;
    /// The first offset that is not applied.
    log_offset next_offset() const { return through_; }
    /// Counts a record that is no claim as read.
    void skip(log_offset offset) { through_ = offset + log_offset(1); }

    /// Forgets all, for a reader whose place in the stream has expired; it reads on from
    /// `first_offset`. The first claim of each server that is read then counts whatever it follows:
    /// claims that did not count are never renewed, and holders renew theirs before they expire.
    void reset(log_offset first);
    /// Whether a claim may be missing because it expired before it was read.
    bool partial() const { return partial_; }

    /// The servers that have a lease.
    std::vector<server_id> servers() const;

private:
    std::map<server_id, lease> leases_;
    log_offset through_;
    bool partial_ = false;
};

} // namespace banyanshunt
