#pragma once

/// \file
/// Acts on what servers say of themselves in their responses, and spreads to all hosts which of
/// them leave. Any datagram may be lost: a host that missed the first one learns it from the next
/// reports, or from the server's own response.

#include <functional>

#include "serve/peer_list.hpp"

namespace banyanshunt
{

namespace peers
{
class leaving_notice;
} // namespace peers

class notice_manager
{
public:
    using broadcast = std::function<void(peers::peer_message message)>;

    notice_manager(host_context& context, const peer_list& peers, broadcast send_to_all);

    /// Tells all hosts that a server leaves, as its response to this host showed.
    void announce(const server_id& server);
    void handle_message(const peers::peer_message& message, instant sent_at);
    /// Adds the servers that have said recently in responses to this host that they leave. What
    /// peers told is not told again, so that an error does not live on in the fleet.
    void fill_report(peers::peer_message& message) const;

private:
    void write(const server_id& server, const leaving_notice& from,
               peers::leaving_notice& to) const;

    host_context& context_;
    const peer_list& peers_;
    broadcast send_to_all_;
};

} // namespace banyanshunt
