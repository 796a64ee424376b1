#pragma once

/// \file
/// Defines the table of backend servers as one entry host sees them, and the choice of a server for
/// a request.
///
/// The choice answers the pattern in which many hosts send at once to servers whose load they know
/// only from what they sent themselves and from what peers told a moment ago: it counts both, turns
/// away from servers whose answers fail, and never uses a model that a server does not hold.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "state/backend_entry.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// A model, or one adapter of it. Both empty for requests to plain services.
struct model_target
{
    model_id model;
    adapter_id adapter;

    friend bool operator==(const model_target&, const model_target&) = default;
    friend auto operator<=>(const model_target&, const model_target&) = default;
};

/// A model on a server, by the host that gives the server its orders.
struct held_model
{
    instant ready_at;
    /// Its adapters, each with the time from which it can serve.
    std::map<adapter_id, instant> adapters = {};
    /// About to be unloaded.
    bool unloading = false;
    /// On its way from the weight store.
    bool from_store = false;

    friend bool operator==(const held_model&, const held_model&) = default;
};

/// What a server holds, by the host that gives it its orders.
struct server_placement
{
    host_id owner;
    fencing_number fencing;
    std::int64_t start_time_ms = 0;
    std::map<model_id, held_model> models;
    /// When it could begin to load another model.
    instant next_load_at;
    /// It could load another adapter now: a place is free, or an idle adapter can make way.
    bool adapter_room = true;
    instant reported_at;
};

/// Whether both say the same of the server at `now`, so that the second need not be told.
bool equivalent_reports(const server_placement& a, const server_placement& b, instant now);

/// How a request ended at a server, for the server's health.
enum class backend_outcome
{
    responded,
    /// Refused in good order: it is full.
    full,
    /// Does not hold the model or adapter.
    not_held,
    /// An error of its own, a broken answer or a lost connection.
    failed,
    /// Given up for reasons that say nothing of the server.
    abandoned,
};

struct backend_table_options
{
    domain_id own_domain;
    /// Reports of peers older than this no longer count.
    milliseconds peer_load_ttl{2500};
    /// A placement that was not told again for this long gives way to the server's own entry.
    milliseconds placement_ttl{6000};
    /// Loads from the weight store at once over the fleet. The platform's sheets state that 2 to 4
    /// run at full speed; beyond that each only slows the others.
    int max_store_loads = 2;
    /// First pause after a failure; doubles with each in a row.
    milliseconds initial_backoff{150};
    milliseconds max_backoff{4000};
};

struct server_criteria
{
    service_id service;
    model_target target;
    /// Tried already.
    std::set<server_id> tried;
};

/// Where a request can go.
struct server_choice
{
    enum class action_kind
    {
        /// Send it to `server` now.
        send,
        /// `server` should load the adapter or model first.
        load,
        /// All servers that could serve it are full.
        full,
        /// No server could serve it.
        none,
    };
    action_kind action = action_kind::none;
    server_id server = {};
    /// For `fetch_load`: in how long it should be there, and whether it is on its way already.
    milliseconds expected_wait{0};
    bool loading = false;
};

class backend_table
{
public:
    explicit backend_table(backend_table_options options) : options_(std::move(options)) {}

    const backend_table_options& options() const { return options_; }

    struct record
    {
        backend_entry entry;
        std::optional<server_placement> placement;
        /// Own requests in flight, in all and by unit.
        int running = 0;
        std::map<model_target, int> running_by_target;
        /// When own requests were last seen running there by a report.
        instant last_running_at;
        /// Own requests since the last report to the host that gives the server its orders.
        std::map<model_target, int> requests_since_report;
        struct peer_load
        {
            int running = 0;
            instant at;
        };
        std::map<host_id, peer_load> peer_loads;
        /// The sum of what peers told and that still counts.
        int peer_running = 0;
        /// Requests that failed in a row, and a moving part of failures.
        int failures = 0;
        double failure_ratio = 0;
        instant avoid_until;
        /// The last byte received.
        instant received_at;
        /// Units that the server has just said it does not hold; each time in a row the pause
        /// before it is asked again doubles.
        struct denial
        {
            instant until;
            milliseconds backoff{0};
        };
        std::map<model_target, denial> denied;
        /// Gone from the registry; kept while requests run there.
        bool removed = false;
    };

    /// Takes a server's entry; returns false for one older than what is known.
    bool apply_entry(const backend_entry& entry, instant now);
    void remove(const server_id& server);
    void apply_placement(const server_id& server, server_placement placement);
    void apply_peer_load(const host_id& host, const server_id& server, int running, instant now);

    void record_sent(const server_id& server, const model_target& unit);
    void record_ended(const server_id& server, const model_target& unit, backend_outcome outcome,
                      instant now);
    /// Begins to count requests to one server by unit anew; units with running requests stay
    /// listed.
    void reset_request_counts(const server_id& server);
    /// Sets how long what peers told counts, by how often they tell it.
    void extend_ttls(milliseconds reports, milliseconds placements)
    {
        options_.peer_load_ttl = std::max(reports, options_.peer_load_ttl);
        options_.placement_ttl = std::max(placements, options_.placement_ttl);
    }
    void record_received(const server_id& server, instant now);

    /// The server for a request, by what is known at `now`.
    server_choice choose(const server_criteria& need, const engine_spec* engine, instant now) const;

    /// Where to load the request's model once more, if all servers that hold it are busy and none
    /// is about to.
    std::optional<server_choice> choose_extra_replica(const server_criteria& need,
                                                      const engine_spec& engine, instant now) const;

    const record* find(const server_id& server) const;
    const std::map<server_id, record>& servers() const { return servers_; }
    std::map<server_id, record>& servers() { return servers_; }
    /// Requests at the server, own and told.
    static int load(const record& it) { return it.running + it.peer_running; }
    /// Drops what peers told too long ago.
    void expire_peer_loads(instant now);
    /// In how long the server can serve the unit, by the freshest source: 0 if it holds it, nothing
    /// if it is not even on its way.
    std::optional<nanoseconds> time_until_ready(const record& it, const model_target& unit,
                                                instant now) const;
    bool holds(const record& it, const model_target& unit, instant now) const
    {
        return time_until_ready(it, unit, now) == nanoseconds(0);
    }
    /// Whether a server other than `server` is about to hold the model, or holds it with room for
    /// more requests and adapters.
    bool available_elsewhere(const server_id& server, const model_id& model, instant now) const;
    /// How many servers other than `server` can serve the model.
    int count_other_replicas(const server_id& server, const model_id& model, instant now) const;
    /// Loads from the weight store that are under way by what is told.
    int active_store_loads(instant now) const;

private:
    /// Beyond this part of its places a server's first events come late ever more often.
    static constexpr double busy_part = 0.5;

    struct candidate
    {
        const record* it;
        double cost;
    };
    bool usable(const record& it, const server_criteria& need) const;
    bool placement_counts(const record& it, instant now) const;
    double cost(const record& it, instant now) const;
    /// Whether the server has places enough left that its answers begin on time.
    static bool has_room(const record& it) { return load(it) < busy_part * it.entry.slots; }
    /// With `at_hand`, only where the checkpoint is in memory or on disk.
    std::optional<server_choice> choose_load(const server_criteria& need, const engine_spec& engine,
                                             bool at_hand, instant now) const;

    backend_table_options options_;
    std::map<server_id, record> servers_;
};

} // namespace banyanshunt
