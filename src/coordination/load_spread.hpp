#pragma once

/// \file
/// The choice among servers by many hosts that choose at the same moment, each by loads that are a
/// little old.
///
/// Made for a load pattern in which a server that looked the least loaded in the last reports gets
/// the requests of all hosts until the next ones, and servers are overrun in turns while others
/// idle. Each host takes into account how many requests the others probably send meanwhile, and
/// chooses each server as often as all of them together should. Pure: the draw is an argument.

#include <cstddef>
#include <vector>

namespace banyanshunt
{

struct spread_candidate
{
    /// What a request more costs there, in fractions of a full server.
    double cost = 0;
    /// By how many requests its cost grows by 1.
    double capacity = 1;
};

/// The index of the server to send to. `unseen` requests have probably been sent to these servers
/// by others since their loads were reported; they and this one are to fill the servers to one
/// level of cost, and each server is chosen in proportion to what it gets of them. With 0 that is
/// the server of the least cost. `draw` is in [0, 1). Precondition: `candidates` is not empty.
std::size_t choose_spread(const std::vector<spread_candidate>& candidates, double unseen,
                          double draw);

} // namespace banyanshunt
