#pragma once

/// \file
/// An operator's view of the entry hosts. Each host is queried for its status at its admin address,
/// and so are the peers that it names, so that one address leads to all hosts.

#include <map>
#include <string>
#include <vector>

#include "protocol/admin_codec.hpp"
#include "transport/http_client.hpp"

namespace banyanshunt
{

/// What an operator knows of one entry host.
struct host_report
{
    host_id host;
    domain_id domain;
    std::string admin_address;
    /// Whether some host reports that the platform's list names this host.
    bool listed = false;
    bool leaving = false;
    /// Whether this host itself responded to the query.
    bool responded = false;
    /// The last ticket that this host has applied, as reported by itself or else by a peer.
    ticket_number last_ticket;
    std::optional<milliseconds> view_age;

    /// Whether this host itself reported that ticket `number` is applied.
    bool confirms(ticket_number number) const { return responded && last_ticket >= number; }
};

/// Queries the hosts at the given admin addresses, and all hosts that they name.
std::map<host_id, host_report> query_hosts(http_client& http,
                                           const std::vector<std::string>& admin_addresses,
                                           milliseconds timeout);

/// The hosts that are not leaving and have not confirmed that ticket `number` is applied.
std::vector<host_report> unconfirmed(const std::map<host_id, host_report>& hosts,
                                     ticket_number number);

} // namespace banyanshunt
