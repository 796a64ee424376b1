#pragma once

/// \file
/// What the hosts of this host's failure domain report, forwarded to the other domains in a few
/// datagrams while this host is one of the domain's reporters.

#include <deque>
#include <map>
#include <vector>

#include "peers.pb.h"
#include "serve/peer_list.hpp"

namespace banyanshunt
{

class domain_reports
{
public:
    explicit domain_reports(host_context& context) : context_(context) {}

    /// Keeps a report or placements that this host sent, or received from a host of its domain.
    /// `address` is the sender's.
    void keep(const peers::peer_message& message, const std::string& address);
    /// Forgets what is older than `reports` and `placements`.
    void expire(milliseconds reports, milliseconds placements);
    /// The messages to send to other domains now, if any, with which this host reports for itself
    /// and for its domain. Call it once per period.
    std::vector<peers::peer_message> take_due(const peers::peer_message& own_report,
                                              const peer_list& peers);

private:
    struct kept_message
    {
        peers::peer_message message;
        instant at;
    };
    std::vector<peers::peer_message> bundle(const peer_list& peers) const;

    host_context& context_;
    /// The newest report of each host, and the newest placement of each server.
    std::map<host_id, kept_message> reports_;
    std::map<server_id, kept_message> placements_;
    int periods_ = 0;
};

} // namespace banyanshunt
