#pragma once

/// \file
/// The other entry hosts known to this one, and the datagrams sent to them.

#include <map>

#include <boost/asio/ip/udp.hpp>

#include "coordination/order_membership.hpp"
#include "coordination/share_messages.hpp"
#include "serve/host_context.hpp"

namespace banyanshunt
{

namespace peers
{
class peer_message;
}

struct peer
{
    asio::ip::udp::endpoint address;
    domain_id domain;
    incarnation_id incarnation;
    instant received_at;
    instant listed_at;
    /// It was asked to stop, as its last datagram says.
    bool stopping = false;
    /// What it could lend of each workspace: its last report, less what was requested from it
    /// since.
    std::map<workspace_id, millitokens> lendable;
};

class peer_list
{
public:
    explicit peer_list(host_context& context) : socket(context.executor), context_(context) {}

    /// Opens the socket on this host's peer port; logs a failure to do so.
    void open();
    /// The IP address and port of this host's own socket.
    std::string own_address() const;
    /// Returns a message with this host as its sender.
    peers::peer_message new_message() const;
    /// Sends a datagram; a failed send counts as a lost datagram.
    void send(const peer& to, const peers::peer_message& message);
    /// Entry hosts that are listed or from which data was received recently, including this one.
    std::size_t count_hosts(instant now) const;
    /// The same hosts, with which of them are live.
    std::vector<known_host> known_hosts(instant now) const;
    /// Whether data was received from the host as recently as its reports are sent.
    bool in_touch(const peer& it, instant now) const;
    /// Entry hosts in touch, including this one.
    std::size_t count_in_touch(instant now) const;

    asio::ip::udp::socket socket;
    std::map<host_id, peer> all;

private:
    host_context& context_;
};

} // namespace banyanshunt
