#pragma once

/// \file
/// Estimates of the tokens of a host's peers. The host sends requests first to peers that probably
/// have tokens, and none to peers that do not respond.

#include <map>
#include <optional>
#include <vector>

#include "coordination/share_messages.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// A peer from the host list.
struct share_peer
{
    host_id host;
    domain_id domain;
    friend bool operator==(const share_peer&, const share_peer&) = default;
};

struct share_peer_options
{
    /// A peer that failed to respond gets no token request for this long.
    milliseconds failure_backoff{500};
    /// A peer that has nothing left to lend gets no token request for this long.
    milliseconds empty_backoff{20};
};

/// One peer, the state of the call to it, and its last reported tokens.
class share_peer_state
{
public:
    share_peer_state(domain_id domain, const share_peer_options& options)
        : domain_(std::move(domain)), options_(options)
    {
    }

    const domain_id& domain() const { return domain_; }
    const std::optional<host_incarnation>& incarnation() const { return incarnation_; }
    bool leaving() const { return leaving_; }
    /// Whether the last completed call to it succeeded, or none has completed yet.
    bool responsive() const { return !failed_at_; }

    /// Whether a call to it is in flight; there is at most one.
    bool busy() const { return busy_; }
    void begin_call(const share_call& call, instant now);
    void end_call(const share_response& response, instant now);
    void fail_call(instant now);
    void record_incarnation(const host_incarnation& peer, bool leaving);

    instant last_call() const { return last_call_; }
    /// The amount requested in the call in flight.
    millitokens requested(const resource_id& resource) const;
    /// Whether a token request may be sent to it now.
    bool may_request(const resource_id& resource, instant now) const;
    /// Its estimated tokens, if it refills at `rate` up to `depth`.
    millitokens estimate(const resource_id& resource, millitokens_per_second rate,
                         millitokens depth, instant now) const;

private:
    struct reported_level
    {
        millitokens left;
        instant at;
    };

    domain_id domain_;
    share_peer_options options_;
    std::optional<host_incarnation> incarnation_;
    bool leaving_ = false;
    bool busy_ = false;
    instant last_call_;
    std::optional<instant> failed_at_;
    std::map<resource_id, millitokens> requested_;
    std::map<resource_id, reported_level> reported_levels_;
};

} // namespace banyanshunt
