#pragma once

/// \file
/// Defines the duty that talks to the other entry hosts, in datagrams over the ports between them:
/// reports of own load, placements of the engines that a host orders, wishes for loads, and loans
/// of a workspace's tokens. Any datagram may be lost; what matters is told again.

#include <map>
#include <memory>

#include "serve/host_context.hpp"
#include "serve/order_controller.hpp"
#include "serve/peer_list.hpp"
#include "serve/share_manager.hpp"
#include "serve/topic_reader.hpp"
#include "serve/view_sync.hpp"

namespace banyanshunt
{

class peer_service : public resource_provider
{
public:
    peer_service(host_context& core, state_watcher& follower);
    ~peer_service() override;

    void start();
    /// Gives up duties, for a planned stop.
    task<void> leave();

    void request_load(const server_id& server, const model_target& unit,
                      milliseconds waited) override;
    task<bool> acquire_tokens(workspace_id workspace, millitokens amount) override
    {
        return shares_.acquire(std::move(workspace), amount);
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

    host_context& core_;
    peer_list peers_;
    share_manager shares_;
    view_sync views_;
    order_controller orders_;
    instant started_;
    topic_reader hosts_;
    /// The list of hosts was read once.
    bool listed_ = false;
    /// Hosts were heard of since shares were matched.
    bool hosts_changed_ = false;
    std::vector<char> buffer_;
};

} // namespace banyanshunt
