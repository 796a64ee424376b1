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
    milliseconds failure_pause{500};
    /// A peer that has nothing left is not asked again for this long.
    milliseconds empty_pause{20};
};

/// One peer with its calls and its tokens as last told.
class share_peer_view
{
public:
    share_peer_view(domain_id domain, const share_peer_options& options)
        : domain_(std::move(domain)), options_(options)
    {
    }

    const domain_id& domain() const { return domain_; }
    const std::optional<share_life>& life() const { return life_; }
    bool leaving() const { return leaving_; }
    /// Whether its last call was answered, or none was made yet.
    bool answers() const { return !failed_at_; }

    /// Whether a call to it is under way; there is at most one.
    bool busy() const { return busy_; }
    void begin_call(const share_call& call, instant now);
    void end_call(const share_reply& reply, instant now);
    void fail_call(instant now);
    void note_life(const share_life& life, bool leaving);

    instant last_call() const { return last_call_; }
    /// What has been asked of it and not yet answered.
    millitokens asked(const resource_id& resource) const;
    /// Whether it may be asked now.
    bool may_ask(const resource_id& resource, instant now) const;
    /// What it likely has, if it gains `rate` up to `depth`.
    millitokens guess(const resource_id& resource, millitokens_per_second rate, millitokens depth,
                      instant now) const;

private:
    struct told_level
    {
        millitokens left;
        instant at;
    };

    domain_id domain_;
    share_peer_options options_;
    std::optional<share_life> life_;
    bool leaving_ = false;
    bool busy_ = false;
    instant last_call_;
    std::optional<instant> failed_at_;
    std::map<resource_id, millitokens> asked_;
    std::map<resource_id, told_level> levels_;
};

} // namespace banyanshunt
