#pragma once

/// \file
/// Defines the duty of giving orders to model engines. Engines are dealt to entry hosts by the
/// platform's groups, so that each has one host that orders it; a host orders only while its
/// membership surely lasts, and a new one waits until the last order of the one before is long
/// past.

#include <map>
#include <memory>

#include "coordination/engine_controller.hpp"
#include "serve/host_context.hpp"
#include "transport/loop/http_connection.hpp"

namespace banyanshunt
{

class order_controller
{
public:
    /// Tells the other hosts of a change at a server.
    using publisher = std::function<void(const server_id&, const server_placement&)>;

    order_controller(host_context& core, publisher tell);

    void start();
    /// Gives the duty up, for a planned stop.
    task<void> leave();

    bool owns(const server_id& server) const { return duties_.contains(server); }
    void request_load(const server_id& server, const model_target& unit, milliseconds waited);
    void record_use(const host_id& host, const server_id& server, const model_target& unit,
                    int running, int asked);
    /// Tells the placements of all engines that this host orders.
    void publish_all();

private:
    struct held_partition
    {
        fencing_number fence;
        /// Of the record by which this host took the duty.
        log_offset claim;
        instant may_order_at;
        /// The log says that this host's turn has begun.
        bool turn_told = false;
    };
    struct held_duty
    {
        engine_controller duty;
        int partition;
        asio::steady_timer poke;
        bool ended = false;
        bool told = false;
        /// What the other hosts were told last.
        server_placement last_told;
    };

    task<void> keep_membership();
    task<bool> join();
    task<void> claim(int partition);
    task<void> tell_turns();
    /// Whether the partition has been listed for so long that it will stay.
    bool settled(int partition, instant now);
    void match_servers();
    task<void> run_server(server_id server, std::shared_ptr<held_duty> held);
    task<void> ask_report(server_id server, std::shared_ptr<held_duty> held);
    task<void> give_order(server_id server, std::shared_ptr<held_duty> held, engine_order order);
    milliseconds lease() const;
    bool may_order(int partition, instant now) const;
    bool take_store_load(const engine_spec& engine);
    const engine_spec* engine_of(const server_id& server) const;
    int partition_of(const server_id& server) const;
    /// Tells the other hosts what the server holds, if it differs from what they were told.
    void tell(const server_id& server, held_duty& held, bool again = false);

    host_context& core_;
    publisher tell_;
    std::string member_;
    http_connection link_;
    std::int64_t generation_ = 0;
    bool member_now_ = false;
    bool leaving_ = false;
    /// Until when the membership surely lasts.
    instant held_until_;
    std::map<int, held_partition> partitions_;
    /// Listed for this host and not held yet, with the moment when they were first listed.
    std::map<int, instant> listed_since_;
    std::map<server_id, std::shared_ptr<held_duty>> duties_;
    double store_loads_ = 0;
    instant store_loads_at_;
};

} // namespace banyanshunt
