#pragma once

/// \file
/// Defines which peers a host exchanges heartbeats with, so that the cost for each host does not
/// grow with the fleet.
///
/// A host goes through the peers of its own domain in a shuffled order, one at a time. Only the
/// domain's relays, which rendezvous chooses, also exchange with the relays of other domains.

#include <string>
#include <vector>

#include "coordination/liveness.hpp"

namespace banyanshunt
{

/// How many hosts of a domain exchange with other domains; two, so that one may fail.
inline constexpr std::size_t relays_in_domain = 2;

struct relay_plan_options
{
    host_id self;
    domain_id domain;
    /// Whether this process may be a relay. One that may not asks other domains only when it knows
    /// no host in its own.
    bool relays = true;
    /// The shortest time between two exchanges that a host begins.
    milliseconds shortest_tick{125};
    /// The time in which a host would like to go through all its peers once.
    milliseconds wanted_round{250};
};

/// Addresses to exchange with in the next round.
struct relay_round
{
    std::vector<std::string> near;
    std::vector<std::string> far;
};

/// Chooses the next round's peers. `seed` shuffles them.
relay_round plan_round(const liveness& peers, const relay_plan_options& options, instant now,
                       std::uint64_t seed);

/// The pause between two exchanges when a round has `n` peers.
milliseconds relay_tick(const relay_plan_options& options, std::size_t n);

} // namespace banyanshunt
