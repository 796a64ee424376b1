#pragma once

/// \file
/// The ownership of replica slots: a pure fold over one stream of the log, so that two servers in
/// different failure domains never both take a slot for their own.
///
/// A model with N decided replicas has the slots 0 to N-1, and a replica of it may be loaded on a
/// server only while that server owns one of them. Each record carries the complete set of slots
/// that one server wants, so that a repeated record changes nothing and a new reader needs only the
/// newest one. An unowned slot goes to the first server that claims it, and only a record of the
/// owner itself takes it away; a missing record never does. Records of one server are ordered by
/// the fencing number of the lease they were written under and by a sequence number, so that a
/// delayed record is ignored.

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
    /// From 0; the slot is usable only while this is below the decided number of replicas.
    int index = 0;
    friend bool operator==(const replica_slot&, const replica_slot&) = default;
    friend auto operator<=>(const replica_slot&, const replica_slot&) = default;
};

using slot_set = std::set<replica_slot>;

/// All slots that a server wants, written by the holder of its lease.
struct slot_record
{
    server_id server;
    /// The lease under which the record was written.
    fencing_number fencing;
    /// Counts the records under one lease, from 1.
    std::int64_t sequence = 0;
    slot_set slots;
};

/// Orders the records of one server.
struct slot_version
{
    fencing_number fencing;
    std::int64_t sequence = 0;
    friend auto operator<=>(const slot_version&, const slot_version&) = default;
};

/// The owners of all slots after a prefix of the stream.
class slot_ledger
{
public:
    /// Applies the record read at `offset`; returns false for a record that is not newer than the
    /// newest one applied for its server.
    bool apply(const slot_record& record, log_offset offset);
    /// Moves past a record that cannot be decoded.
    void skip(log_offset offset) { next_offset_ = offset + log_offset(1); }
    /// Clears the ledger for a reader whose offset in the stream has expired; reading continues
    /// from `first_offset`.
    void restart(log_offset first_offset);

    std::optional<server_id> owner(const replica_slot& slot) const;
    slot_set slots_of(const server_id& server) const;
    /// The version of the newest record applied for a server; 0 and 0 before any.
    slot_version version_of(const server_id& server) const;
    log_offset next_offset() const { return next_offset_; }

private:
    std::map<replica_slot, server_id> owners_;
    std::map<server_id, slot_set> owned_;
    std::map<server_id, slot_version> versions_;
    log_offset next_offset_;
};

} // namespace banyanshunt
