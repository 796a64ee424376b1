#pragma once

/// \file
/// Spreads what servers state of their limits to all hosts, and acquires and grants permits for
/// requests to such servers. Any datagram may be lost: a host that missed a statement learns it
/// from the server's next response or from the next report, and a lost permit is not used.

#include <functional>

#include "coordination/permit_requests.hpp"
#include "coordination/permit_schedule.hpp"
#include "serve/peer_list.hpp"

namespace banyanshunt
{

namespace peers
{
class limit_statement;
} // namespace peers

class limit_manager
{
public:
    using broadcast = std::function<void(peers::peer_message message)>;

    limit_manager(host_context& context, peer_list& peers, broadcast send_to_all);

    /// Acts on a change of a server's limit that a response to this host showed.
    void announce(const server_id& server, limit_change change);
    /// Acts on a server's entry that calls it cold, which all hosts read.
    void begin_cold(const server_id& server) { act_on(server, limit_change::began); }
    /// Acquires a permit for one request to a server that states a limit.
    task<permit_response> acquire(server_id server, milliseconds max_wait);
    void handle_message(peer& sender, const peers::peer_message& message, instant sent_at);
    /// Determines the servers for which this host grants permits; call it before reports are
    /// filled.
    void update_granted();
    /// Adds the limits of these servers.
    void fill_report(peers::peer_message& message) const;

private:
    host_id granter(const server_id& server) const;
    bool grants(const server_id& server) const;
    permit_grant grant(const server_id& server, milliseconds max_wait);
    void write(const server_id& server, peers::limit_statement& to) const;
    void apply(const peers::limit_statement& from, instant sent_at);
    void apply_cold(const server_id& server, const peers::limit_statement& from, instant sent_at);
    /// Charges what the sender sent before it knew the limit.
    void charge_sent(const server_id& server, const peers::limit_statement& from);
    /// Start time of the incarnation that is limited.
    std::int64_t start_time(const server_id& server) const;
    /// Charges what this host sent before it knew the limit.
    void charge_own_sends(const server_id& server);
    void act_on(const server_id& server, limit_change change);

    host_context& context_;
    peer_list& peers_;
    broadcast send_to_all_;
    instant started_;
    permit_ledger ledger_;
    std::vector<server_id> granted_;
    permit_requests requests_;
};

} // namespace banyanshunt
