#pragma once

/// \file
/// The subsystem of an entry host that owns its shares of rates and bursts: it follows the domain's
/// share stream, lends and borrows tokens, and is the token source of admission.

#include <memory>
#include <mutex>

#include "coordination/share_controller.hpp"
#include "coordination/token_source.hpp"
#include "entry/share_settings.hpp"
#include "entry/state_subsystem.hpp"
#include "state/bounded_queue.hpp"
#include "state/periodic_thread.hpp"
#include "transport/share_rpc.hpp"

namespace banyanshunt
{

/// A token source from construction; it grants between `start` and `stop`.
class share_subsystem
{
public:
    share_subsystem(const entry_settings& settings, http_client& http, peer_channels& channels,
                    metrics& counters, state_subsystem& state);
    ~share_subsystem();
    share_subsystem(const share_subsystem&) = delete;
    share_subsystem& operator=(const share_subsystem&) = delete;

    grpc::Service* service() { return service_.service(); }

    void start();
    /// Hands the balance over and resigns the share, if the log is available in time.
    void stop();

    verdict<reservation> reserve(const workspace_id& workspace, millitokens amount, instant now);
    void settle(const reservation& held, millitokens used, instant now);

    /// Whether this host owns a share of its domain, or cannot join because the log is unavailable.
    bool is_ready();

private:
    struct addressed_call
    {
        std::string address;
        outgoing_share_call outgoing;
    };

    milliseconds poll_log();
    verdict<done> read_log();
    verdict<done> restart_from_kept();
    void propose();
    milliseconds plan_calls();
    void send_calls();
    void send_call(const addressed_call& it);
    share_response handle_call(const share_call& call);
    void update_limits(instant now);
    void update_peers();
    bool has_resigned();

    const entry_settings& settings_;
    peer_channels& channels_;
    metrics& counters_;
    state_subsystem& state_;
    http_log_service log_;
    stream_name stream_;
    std::mutex mutex_;
    share_controller controller_;
    fleet_state_ptr limits_state_;
    std::map<host_id, std::string> addresses_;
    instant peers_updated_;
    bool was_member_ = false;
    bool log_unavailable_ = false;
    std::uint64_t next_record_ = 0;
    std::uint64_t record_seed_;
    share_service service_;
    bounded_queue<addressed_call> outbox_;
    std::unique_ptr<periodic_thread> log_thread_;
    std::unique_ptr<periodic_thread> plan_thread_;
    std::vector<std::unique_ptr<periodic_thread>> call_threads_;
};

static_assert(token_source<share_subsystem>);

} // namespace banyanshunt
