#pragma once

/// \file
/// Defines the ownership of replica slots: a pure fold over one stream of the log, because two
/// servers in two failure domains must never both believe that a slot is theirs.
///
/// A model with N decided replicas has the slots 0 to N-1, and a replica of it may be loaded on a
/// server only while that server owns one of them. Each record carries the whole set of slots that
/// one server wants, so that a repeated record changes nothing and the newest one is all that a new
/// reader needs. A slot is given to the first server that asks while nobody owns it, and only a
/// record of the owner itself takes it away: silence never does. Records of one server are ordered
/// by the fencing number of the lease they were written under and by a sequence number, so that one
/// which lands late is ignored.

#include <compare>
#include <map>
#include <optional>
#include <set>

#include "state/ids.hpp"

namespace banyanshunt
{

/// The right to load one replica.
struct replica_slot
{
    model_id model;
    /// From 0 on; the slot counts only while it is below the decided number of replicas.
    int index = 0;
    friend bool operator==(const replica_slot&, const replica_slot&) = default;
    friend auto operator<=>(const replica_slot&, const replica_slot&) = default;
};

using slot_set = std::set<replica_slot>;

/// All slots that a server wants from now on, written by the holder of its lease.
struct slot_record
{
    server_id server;
    /// The lease under which the record was written.
    fencing_number fencing;
    /// Counts the records under one lease, from 1.
    std::int64_t sequence = 0;
    slot_set slots;
};

/// Where a server's records stand.
struct slot_version
{
    fencing_number fencing;
    std::int64_t sequence = 0;
    friend auto operator<=>(const slot_version&, const slot_version&) = default;
};

/// All owned slots, after a prefix of the stream.
class slot_ledger
{
public:
    /// Applies the record read at `offset`; returns false for one that is older than another
    /// record of its server.
    bool apply(const slot_record& record, log_offset offset);
    /// Counts a record that cannot be decoded as read.
    void skip(log_offset offset) { through_ = offset + log_offset(1); }
    /// Forgets all, for a reader whose place in the stream has expired; it reads on from
    /// `first_offset`.
    void restart(log_offset first);

    std::optional<server_id> owner(const replica_slot& slot) const;
    slot_set slots_of(const server_id& server) const;
    /// The newest record of a server that was applied; 0 and 0 before any.
    slot_version version_of(const server_id& server) const;
    log_offset next_offset() const { return through_; }

private:
    std::map<replica_slot, server_id> owners_;
    std::map<server_id, slot_set> owned_;
    std::map<server_id, slot_version> versions_;
    log_offset through_;
};

} // namespace banyanshunt
