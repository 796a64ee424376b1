#pragma once

/// \file
/// Selects the peers that a host exchanges heartbeats with, so that the cost per host does not grow
/// with the fleet.
///
/// A host contacts the peers of its own domain in a shuffled order, one at a time. Only the
/// domain's relays, chosen by rendezvous hashing, also exchange with the relays of other domains.

#include <string>
#include <vector>

#include "coordination/peer_table.hpp"

namespace banyanshunt
{

/// The number of hosts of a domain that exchange with other domains; two, so that one may fail.
inline constexpr std::size_t relays_per_domain = 2;

struct relay_plan_options
{
    host_id self;
    domain_id domain;
    /// Whether this process may be a relay. A process that may not be one contacts other domains
    /// only when it knows no host in its own.
    bool may_relay = true;
    /// The shortest time between the starts of two exchanges by one host.
    milliseconds min_exchange_interval{125};
    /// The target time in which a host contacts each of its peers once.
    milliseconds target_round_time{250};
};

/// Addresses of the peers to contact in the next round.
struct relay_round
{
    std::vector<std::string> same_domain;
    std::vector<std::string> cross_domain;
};

/// Chooses the next round's peers; `seed` determines their order and the random choices.
relay_round plan_round(const peer_table& peers, const relay_plan_options& options, instant now,
                       std::uint64_t seed);

/// The pause between two exchanges when a round has `n` peers.
milliseconds relay_interval(const relay_plan_options& options, std::size_t n);

} // namespace banyanshunt
