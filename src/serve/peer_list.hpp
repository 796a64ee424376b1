#pragma once

/// \file
/// Defines the other entry hosts as this one knows them, and the datagrams that go to them.

#include <map>

#include <boost/asio/ip/udp.hpp>

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
    /// What it could lend of each workspace, by its last report and what was asked of it since.
    std::map<workspace_id, millitokens> lendable;
};

class peer_list
{
public:
    explicit peer_list(host_context& core) : socket(core.executor), core_(core) {}

    /// Opens the socket on this host's peer port; says so in the log if it cannot.
    void open();
    /// A message with this host as its sender.
    peers::peer_message new_message() const;
    /// Sends a datagram; one that cannot go out is lost like any other.
    void send(const peer& to, const peers::peer_message& message);
    /// Entry hosts that are listed or were heard of late, this one included.
    std::size_t count_hosts(instant now) const;

    asio::ip::udp::socket socket;
    std::map<host_id, peer> all;

private:
    host_context& core_;
};

} // namespace banyanshunt
