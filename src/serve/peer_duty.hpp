#pragma once

/// \file
/// Defines the duty that talks to the other entry hosts, in datagrams over the ports between them:
/// reports of own load, placements of the engines that a host orders, wishes for loads, and loans
/// of a workspace's tokens. Any datagram may be lost; what matters is told again.

#include <map>
#include <memory>

#include <boost/asio/ip/udp.hpp>

#include "serve/host_core.hpp"
#include "serve/order_duty.hpp"
#include "serve/store_reader.hpp"

namespace banyanshunt
{

namespace peers
{
class peer_message;
}

class peer_duty : public request_helper
{
public:
    explicit peer_duty(host_core& core);
    ~peer_duty() override;

    void start();
    /// Gives up duties, for a planned stop.
    task<void> leave();

    void wish(const server_id& server, const engine_unit& unit, milliseconds waited) override;
    task<bool> take_tokens(workspace_id workspace, millitokens amount) override;

private:
    struct peer
    {
        asio::ip::udp::endpoint address;
        domain_id domain;
        incarnation life;
        instant heard_at;
        instant listed_at;
        /// When it is due its next report.
        instant report_at;
        /// What it could lend of each workspace, by its last report.
        std::map<workspace_id, millitokens> spare;
    };

    task<void> receive();
    task<void> report_loop();
    task<void> register_loop();
    void take(const peers::peer_message& message, const asio::ip::udp::endpoint& from);
    void take_report(const host_id& from, peer& sender, const peers::peer_message& message);
    void take_loans(const host_id& from, peer& sender, const peers::peer_message& message);
    void take_host(const platform::keyed_record& record);
    void send(const peer& to, peers::peer_message& message);
    peers::peer_message new_message() const;
    void report_to(const host_id& host, peer& to, instant now);
    void tell_placement(const server_id& server, const server_placement& placement);
    void match_shares();
    std::size_t count_hosts(instant now) const;
    std::size_t ask_peers(const workspace_id& workspace, millitokens missing);

    host_core& core_;
    order_duty orders_;
    topic_reader hosts_;
    asio::ip::udp::socket socket_;
    std::map<host_id, peer> peers_;
    /// Since when this host may hold a share; nothing before the others can know of it.
    std::optional<instant> shares_from_;
    /// The list of hosts was read once.
    bool listed_ = false;
    std::vector<char> buffer_;
};

} // namespace banyanshunt
