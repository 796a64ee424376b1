#pragma once

/// \file
/// Chooses the hosts of a failure domain that tell the other domains what all of its hosts report.
///
/// It is made for fleets of hundreds of hosts: if each reported to every other domain itself, the
/// datagrams that one host receives and relays would grow with the fleet. The reporters have every
/// host's report anyway, and forward many in one datagram. Pure: it uses neither time nor sockets.

#include <vector>

#include "state/ids.hpp"

namespace banyanshunt
{

enum class reporter_role
{
    /// Reports for itself alone, as the domain has few hosts.
    self,
    /// Another host of the domain forwards its reports.
    none,
    /// Reports for all hosts of its domain.
    domain,
};

/// The number of reporters of a domain, which send by turns: either may be gone without the others
/// knowing it yet.
inline constexpr std::size_t reporters_per_domain = 2;

/// Returns the role of `own` beside the other live hosts of its domain.
reporter_role choose_reporter_role(const domain_id& domain, const host_id& own,
                                   const std::vector<host_id>& live_peers);

} // namespace banyanshunt
