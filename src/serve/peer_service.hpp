#pragma once

/// \file
/// Exchanges datagrams with the other entry hosts: reports of own load, placements of the engines
/// that a host owns, load requests, and loans of a workspace's tokens. Any datagram may be lost;
/// what matters is sent repeatedly.

#include <map>
#include <memory>

#include "coordination/refusal_budget.hpp"
#include "serve/domain_reports.hpp"
#include "serve/host_context.hpp"
#include "serve/limit_manager.hpp"
#include "serve/notice_manager.hpp"
#include "serve/order_controller.hpp"
#include "serve/peer_list.hpp"
#include "serve/quarantine_manager.hpp"
#include "serve/share_manager.hpp"
#include "serve/state_watcher.hpp"
#include "serve/view_sync.hpp"

namespace banyanshunt
{

class peer_service : public resource_provider
{
public:
    peer_service(host_context& context, state_watcher& watcher);
    ~peer_service() override;

    void start();
    /// Gives up ownership of engines, for a planned stop.
    task<void> leave();

    load_request_route request_load(const server_id& server, const model_target& unit,
                                    milliseconds waited) override;
    task<bool> acquire_tokens(workspace_id workspace, millitokens amount) override
    {
        return shares_.acquire(std::move(workspace), amount);
    }
    task<permit_response> acquire_permit(server_id server, milliseconds max_wait) override
    {
        return limits_.acquire(std::move(server), max_wait);
    }

private:
    task<void> receive();
    task<void> report_loop();
    task<void> register_loop();
    void handle_message(const peers::peer_message& message, const asio::ip::udp::endpoint& from);
    void relay(peers::peer_message message, const asio::ip::udp::endpoint& from);
    /// Whether the host is known, or another one can be.
    bool has_place_for(const host_id& host) const;
    /// Counts and logs what was refused of a host's datagram or entry.
    void refuse_item(const host_id& from, const char* kind);
    void handle_report(const host_id& from, const peers::peer_message& message, instant sent_at);
    /// Handles a message that another host of its sender's domain forwards.
    void handle_bundled(const peers::peer_message& bundle, const peers::peer_message& message,
                        const asio::ip::udp::endpoint& from);
    void apply_host_record(const platform::keyed_record& record);
    void report_to(const host_id& host, const peer& to, instant now);
    void report_to_domains(instant now);
    void publish_placement(const server_id& server, const server_placement& placement);
    void publish_pending_owner(const server_id& server, const engine_owner& owner);
    void publish_release(int partition, const peer_release& release);
    void ask_numbers(const std::vector<host_id>& hosts, survey_round round);
    /// Answers a question for the numbers of owners, and applies the answer to an own one.
    void handle_numbers(const host_id& from, const peer& sender,
                        const peers::peer_message& message);
    void send_to_all(peers::peer_message message, std::size_t relays);
    /// Sends to `relays` hosts of each other domain, which relay the message to the rest of theirs.
    void send_to_domains(peers::peer_message message, std::size_t relays);
    load_request_route send_load_request(const server_id& server, const model_target& unit,
                                         milliseconds waited);
    void record_own_use();
    bool in_same_domain(const peer& it) const { return it.domain == context_.settings.domain; }
    milliseconds same_domain_period() const;
    milliseconds cross_domain_period() const;

    host_context& context_;
    peer_list peers_;
    share_manager shares_;
    limit_manager limits_;
    notice_manager notices_;
    quarantine_manager quarantine_;
    view_sync views_;
    order_controller orders_;
    domain_reports domain_reports_;
    instant started_;
    topic_reader hosts_;
    refusal_budget refusals_;
    /// Whether the list of hosts was read once.
    bool hosts_read_ = false;
    /// Whether hosts were added or updated since shares were last updated.
    bool hosts_changed_ = false;
    std::vector<char> buffer_;
};

} // namespace banyanshunt
