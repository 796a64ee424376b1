#pragma once

/// \file
/// Defines the duty that talks to the other entry hosts, in datagrams over the ports between them:
/// reports of own load, placements of the engines that a host orders, wishes for loads, and loans
/// of a workspace's tokens. Any datagram may be lost; what matters is told again.

#include <map>
#include <memory>

#include "serve/host_core.hpp"
#include "serve/order_duty.hpp"
#include "serve/peer_list.hpp"
#include "serve/share_duty.hpp"
#include "serve/store_reader.hpp"
#include "serve/view_duty.hpp"

namespace banyanshunt
{

class peer_duty : public request_helper
{
public:
    peer_duty(host_core& core, state_follower_duty& follower);
    ~peer_duty() override;

    void start();
    /// Gives up duties, for a planned stop.
    task<void> leave();

    void wish(const server_id& server, const engine_unit& unit, milliseconds waited) override;
    task<bool> take_tokens(workspace_id workspace, millitokens amount) override
    {
        return shares_.take(std::move(workspace), amount);
    }

private:
    task<void> receive();
    task<void> report_loop();
    task<void> register_loop();
    void take(const peers::peer_message& message, const asio::ip::udp::endpoint& from);
    void pass_on(peers::peer_message message, const asio::ip::udp::endpoint& from);
    void take_report(const host_id& from, const peers::peer_message& message);
    void take_host(const platform::keyed_record& record);
    void report_to(const host_id& host, const peer& to, instant now);
    void report_to_domains(instant now);
    void tell_placement(const server_id& server, const server_placement& placement);
    /// Sends to a few hosts of each other domain, which pass it on to the rest of theirs.
    void send_to_domains(peers::peer_message message);
    void note_own_use();
    bool is_near(const peer& it) const { return it.domain == core_.settings.domain; }
    milliseconds near_period() const;
    milliseconds far_period() const;

    host_core& core_;
    peer_list peers_;
    share_duty shares_;
    view_duty views_;
    order_duty orders_;
    instant started_;
    topic_reader hosts_;
    /// The list of hosts was read once.
    bool listed_ = false;
    /// Hosts were heard of since shares were matched.
    bool hosts_changed_ = false;
    std::vector<char> buffer_;
};

} // namespace banyanshunt
