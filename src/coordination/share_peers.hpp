#pragma once

/// \file
/// Defines what a host believes of its peers' tokens, because it asks those first that likely have
/// some, and those not at all that do not answer.

#include <map>
#include <optional>
#include <vector>

#include "coordination/share_messages.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// A peer as the host list names it.
struct share_peer
{
    host_id host;
    domain_id domain;
    friend bool operator==(const share_peer&, const share_peer&) = default;
};

struct share_peer_options
{
    /// A peer that failed to answer is not asked for tokens for this long.
    milliseconds failure_backoff{500};
    /// A peer that has nothing left is not asked again for this long.
    milliseconds empty_backoff{20};
};

/// One peer with its calls and its tokens as last told.
class share_peer_state
{
public:
    share_peer_state(domain_id domain, const share_peer_options& options)
        : domain_(std::move(domain)), options_(options)
    {
    }

    const domain_id& domain() const { return domain_; }
    const std::optional<host_incarnation>& incarnation() const { return life_; }
    bool leaving() const { return leaving_; }
    /// Whether its last call was answered, or none was made yet.
    bool responsive() const { return !failed_at_; }

    /// Whether a call to it is under way; there is at most one.
    bool busy() const { return busy_; }
    void begin_call(const share_call& call, instant now);
    void end_call(const share_response& reply, instant now);
    void fail_call(instant now);
    void record_incarnation(const host_incarnation& life, bool leaving);

    instant last_call() const { return last_call_; }
    /// What has been asked of it and not yet answered.
    millitokens requested(const resource_id& resource) const;
    /// Whether it may be asked now.
    bool may_request(const resource_id& resource, instant now) const;
    /// What it likely has, if it gains `rate` up to `depth`.
    millitokens estimate(const resource_id& resource, millitokens_per_second rate,
                         millitokens depth, instant now) const;

private:
    struct told_level
    {
        millitokens left;
        instant at;
    };

    domain_id domain_;
    share_peer_options options_;
    std::optional<host_incarnation> life_;
    bool leaving_ = false;
    bool busy_ = false;
    instant last_call_;
    std::optional<instant> failed_at_;
    std::map<resource_id, millitokens> asked_;
    std::map<resource_id, told_level> levels_;
};

} // namespace banyanshunt
