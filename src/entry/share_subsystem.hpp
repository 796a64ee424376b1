#pragma once

/// \file
/// Defines the part of an entry host that owns its shares of rates and bursts: it follows the
/// domain's share stream, lends and borrows, and is the token source of admission.

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
    /// Hands the balance over and gives up the share, as far as the log allows in time.
    void stop();

    verdict<reservation> reserve(const workspace_id& workspace, millitokens amount, instant now);
    void settle(const reservation& held, millitokens used, instant now);

    /// Whether this host owns a share of its domain, or the log is silent, so that it cannot join.
    bool is_ready();

private:
    struct errand_to
    {
        std::string address;
        outgoing_share_call errand;
    };

    milliseconds follow_log();
    verdict<done> read_log();
    verdict<done> begin_late();
    void propose();
    milliseconds plan_calls();
    void make_calls();
    void make_call(const errand_to& it);
    share_response answer(const share_call& call);
    void take_state(instant now);
    void take_peers();
    bool has_resigned();

    const entry_settings& settings_;
    peer_channels& channels_;
    metrics& counters_;
    state_subsystem& state_;
    http_log_service log_;
    stream_name stream_;
    std::mutex mutex_;
    share_controller host_;
    fleet_state_ptr limits_from_;
    std::map<host_id, std::string> addresses_;
    instant peers_taken_;
    bool was_member_ = false;
    bool log_silent_ = false;
    std::uint64_t next_record_ = 0;
    std::uint64_t record_seed_;
    share_service service_;
    bounded_queue<errand_to> outbox_;
    std::unique_ptr<periodic_thread> log_duty_;
    std::unique_ptr<periodic_thread> plan_duty_;
    std::vector<std::unique_ptr<periodic_thread>> callers_;
};

static_assert(token_source<share_subsystem>);

} // namespace banyanshunt
