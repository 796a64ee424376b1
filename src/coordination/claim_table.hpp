#pragma once

/// \file
/// The claims on idempotency keys, computed as a pure fold over the records of one claims stream,
/// so that all hosts that have read the same prefix agree on the winner.
///
/// The first claim on a key wins unless its writer has abandoned it; a writer abandons a claim only
/// if the call was never sent or is known not to have run. A claim that comes after a live one is
/// permanently void, even if the live one is abandoned later, because its writer may already have
/// read that it lost.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "state/ids.hpp"

namespace banyanshunt
{

/// The idempotency key of a call within its workspace or open route.
struct claim_key
{
    /// Identifies the workspace or the open route.
    std::string scope;
    std::string key;
    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// The response to a call that ran, as far as it is kept.
struct call_outcome
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// The body was not kept: it was too large, or was evicted to bound memory.
    bool body_dropped = false;
    friend bool operator==(const call_outcome&, const call_outcome&) = default;
};

enum class claim_record_kind
{
    /// The writer is about to send the call.
    claim,
    /// The call was never sent, or is known not to have run, and will not be sent under this claim.
    abandon,
    /// The call ran, with this outcome.
    outcome,
};

/// One record of a claims stream.
struct claim_record
{
    claim_record_kind kind = claim_record_kind::claim;
    claim_key key;
    /// The claim that the record makes or refers to.
    record_id claim;
    /// Digest of the call; set only for claims.
    std::string digest = {};
    /// Set only for outcomes.
    call_outcome outcome = {};
};

/// The claim in effect on a key.
struct live_claim
{
    record_id claim;
    std::string digest;
    log_offset offset;
    std::optional<call_outcome> outcome;
};

/// All claims in a prefix of one stream. Response bodies are kept up to a total size; those of the
/// oldest claims are dropped first.
class claim_table
{
public:
    explicit claim_table(std::size_t max_outcome_bytes) : max_outcome_bytes_(max_outcome_bytes) {}

    /// Applies the record at `offset`; records are applied in the order of their offsets.
    void apply(const claim_record& record, log_offset offset);
    /// Marks the record at `offset`, which is not a claim record, as read.
    void skip(log_offset offset) { next_offset_ = offset + log_offset(1); }
    /// Removes claims that the log no longer keeps.
    void expire(log_offset first_kept);
    /// Continues at `offset` after a gap of records that the log no longer keeps.
    void restart(log_offset offset);

    /// Returns the claim in effect on the key, or null.
    const live_claim* find(const claim_key& key) const;
    /// Whether the claim has been read, whether it is live, void or abandoned.
    bool has_read(const record_id& claim) const { return read_.contains(claim); }
    /// The first offset that has not been applied.
    log_offset next_offset() const { return next_offset_; }
    std::size_t size() const { return live_.size(); }

private:
    void drop_oldest_bodies();

    std::size_t max_outcome_bytes_;
    std::size_t outcome_bytes_ = 0;
    std::map<claim_key, live_claim> live_;
    /// Offsets of all claims read or abandoned, until they expire.
    std::map<record_id, log_offset> read_;
    std::map<record_id, log_offset> abandoned_;
    std::map<log_offset, claim_key> by_offset_;
    log_offset next_offset_;
};

} // namespace banyanshunt
