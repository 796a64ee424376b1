#pragma once

/// \file
/// Applies what a host reads of the platform's topics: the configuration, evacuations of failure
/// domains and the server registry.

#include <map>
#include <vector>

#include "coordination/refusal_budget.hpp"
#include "coordination/view_requests.hpp"
#include "serve/topic_reader.hpp"

namespace banyanshunt
{

/// Keeps the configuration and the server table of a host up to date.
class state_watcher
{
public:
    explicit state_watcher(host_context& context);
    /// Spawns the readers of both topics.
    void start();
    task<void> run_config() { return config_.run(); }
    task<void> run_servers() { return servers_.run(); }
    topic_reader& config() { return config_; }
    topic_reader& servers() { return servers_; }
    const topic_reader& config() const { return config_; }
    /// Bounds on the age of a shared view of the configuration.
    shared_view_bounds config_bounds() const;

private:
    /// A call sent at this time confirmed what was read of the configuration.
    void record_config_call(instant sent_at);
    void record_list_call(instant sent_at, bool confirmed);
    bool apply_operator_record(const platform::keyed_record& record);
    bool apply_config(const platform::keyed_record& record);
    /// Begins or ends the evacuation of a failure domain. One that the settings do not name changes
    /// nothing.
    bool apply_evacuation(const platform::keyed_record& record);
    void apply_operator_snapshot(const std::vector<platform::keyed_record>& records);
    /// Limits a server that its entry calls cold, if its service states what such a server takes.
    void apply_cold(const backend_entry& entry);
    /// Applies a server's record. One that cannot be read names no server to use and changes
    /// nothing: a server that is known stays in use by its last readable entry, so that another
    /// writer cannot take servers out of use. Its leaving is still learned, by a readable entry, by
    /// its key being dropped, or from its responses; and a server that took over its address
    /// refuses requests that expect another id.
    bool apply_server(const platform::keyed_record& record, log_offset offset);
    /// Counts a refused record; returns whether it may be logged.
    bool log_refusal(const char* topic);
    void apply_server_snapshot(const std::vector<platform::keyed_record>& records);
    bool remove_server(const server_id& server);
    task<void> remove_later(server_id server, instant at);
    void drop_server(const server_id& server);

    host_context& context_;
    topic_reader config_;
    topic_reader servers_;
    /// Removals before this time may be of running servers that only lost contact with the store;
    /// an entry that has not come back by then is gone.
    instant defer_removals_until_;
    std::map<server_id, std::uint64_t> deferred_removals_;
    std::uint64_t next_deferral_ = 0;
    refusal_budget refusals_;
};

} // namespace banyanshunt
