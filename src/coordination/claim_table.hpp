#pragma once

/// \file
/// Defines the claims on idempotency keys: a pure fold over the records of one claims stream, so
/// that every host that has read the same prefix names the same winner.
///
/// Of the claims on a key the first one wins, unless its writer has abandoned it, which the writer
/// does only if it never sent the call. A claim that finds another one live is void for good, even
/// if that other one is abandoned later: its writer has read that it lost.

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
    /// Names the workspace or the open route.
    std::string scope;
    std::string key;
    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// The answer to a call that ran, as far as it is kept.
struct call_outcome
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// The answer was too large to be kept.
    bool body_dropped = false;
    friend bool operator==(const call_outcome&, const call_outcome&) = default;
};

enum class claim_record_kind
{
    /// The writer is about to send the call.
    claim,
    /// The writer never sent the call, and never will under this claim.
    abandon,
    /// The call ran, with this outcome.
    outcome,
};

/// One record of a claims stream.
struct claim_record
{
    claim_record_kind kind = claim_record_kind::claim;
    claim_key key;
    /// Names the claim that the record makes or is about.
    record_id claim;
    /// Digest of the call, of claims only.
    std::string digest = {};
    /// Of outcomes only.
    call_outcome outcome = {};
};

/// The claim in force on a key.
struct live_claim
{
    record_id claim;
    std::string digest;
    log_offset offset;
    std::optional<call_outcome> outcome;
};

/// All claims of one stream, after a prefix of it. Answers' bodies are kept up to a bound, the
/// newest ones.
class claim_table
{
public:
    explicit claim_table(std::size_t most_outcome_bytes) : most_outcome_bytes_(most_outcome_bytes)
    {
    }

    /// Applies the record at `offset`, which must be `through()`.
    void apply(const claim_record& record, log_offset offset);
    /// Counts a record that is none as read.
    void skip(log_offset offset) { through_ = offset + log_offset(1); }
    /// Forgets claims that the log no longer keeps.
    void expire(log_offset first_kept);
    /// Goes on from `offset` after a gap that the log no longer keeps.
    void restart(log_offset offset);

    /// The claim in force on the key, or null.
    const live_claim* find(const claim_key& key) const;
    /// Whether the claim was read, be it live, void or abandoned.
    bool has_read(const record_id& claim) const { return read_.contains(claim); }
    /// The first offset that is not applied.
    log_offset next_offset() const { return through_; }
    std::size_t size() const { return live_.size(); }

private:
    void forget_oldest_bodies();

    std::size_t most_outcome_bytes_;
    std::size_t outcome_bytes_ = 0;
    std::map<claim_key, live_claim> live_;
    /// All claims read or abandoned, and where, until they expire.
    std::map<record_id, log_offset> read_;
    std::map<record_id, log_offset> abandoned_;
    std::map<log_offset, claim_key> by_offset_;
    log_offset through_;
};

} // namespace banyanshunt
