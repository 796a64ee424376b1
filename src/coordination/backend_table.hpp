#pragma once

/// \file
/// The table of backend servers as one entry host sees them, and the choice of a server for a
/// request.
///
/// The choice is made for a load pattern in which many hosts send at once to servers whose load
/// they know only from their own requests and from recent reports of peers. It counts both, avoids
/// servers that fail, and never sends a request to a server that does not hold its model.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/load_spread.hpp"
#include "coordination/server_limits.hpp"
#include "coordination/server_notices.hpp"
#include "coordination/server_pace.hpp"
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

/// The target of a request whose caller names this model and adapter. Only an engine has targets:
/// a plain service takes any name as a field of its own.
model_target target_of(const engine_spec* engine, const model_id& model, const adapter_id& adapter);

/// A model on a server, as reported by the host that owns the server's engine.
struct held_model
{
    instant ready_at;
    /// Its adapters, each with the time from which it can serve.
    std::map<adapter_id, instant> adapters = {};
    /// About to be unloaded.
    bool unloading = false;
    /// Loading from the weight store.
    bool from_store = false;

    friend bool operator==(const held_model&, const held_model&) = default;
};

/// The host that gives orders to a server's engine.
struct engine_owner
{
    host_id host;
    incarnation_id incarnation;
    fencing_number fencing;
    /// A new owner first waits until the last order of the previous one is long past.
    instant may_order_at;
    instant reported_at;
};

/// What a server holds, as reported by the host that owns its engine.
struct server_placement
{
    host_id owner;
    incarnation_id owner_incarnation;
    fencing_number fencing;
    std::int64_t start_time_ms = 0;
    std::map<model_id, held_model> models;
    /// When it could begin to load another model.
    instant next_load_at;
    /// It could load another adapter now: a slot is free, or an idle adapter can be evicted.
    bool adapter_room = true;
    instant reported_at;
};

/// Whether both describe the same state of the server at `now`, so that `b` need not be sent.
bool equivalent_reports(const server_placement& a, const server_placement& b, instant now);

/// How a request ended at a server, for the server's health.
enum class backend_outcome
{
    responded,
    /// Refused in a well-formed response: the server is full.
    full,
    /// Does not hold the model or adapter.
    not_held,
    /// The server's own error, a malformed response or a lost connection.
    failed,
    /// Abandoned for reasons that say nothing about the server.
    abandoned,
};

struct backend_table_options
{
    domain_id own_domain;
    host_id own_host = {};
    /// A host that was not heard for this long gives no orders that this host could ask for.
    milliseconds owner_ttl{1500};
    /// How long an engine without a known owner gets no orders: its next owner has yet to be
    /// assigned and then waits out the lease of the previous one.
    milliseconds takeover_time{4500};
    /// Reports of peers older than this no longer count.
    milliseconds peer_load_ttl{2500};
    /// A placement not received again within this time is replaced by the server's own entry.
    milliseconds placement_ttl{6000};
    /// Concurrent loads from the weight store over the fleet. The platform documentation states
    /// that 2 to 4 run at full speed; beyond that each only slows the others.
    int max_store_loads = 2;
    /// First backoff, after the second failure in a row; doubles with each further one.
    milliseconds initial_backoff{150};
    milliseconds max_backoff{4000};
};

struct server_criteria
{
    service_id service;
    model_target target;
    /// Servers that the request was already sent to.
    std::set<server_id> tried;
    /// The server for which the request holds a permit that is valid now, if any.
    server_id permitted = {};
    /// Requests like it that other hosts have probably sent since their loads were reported; with 0
    /// the server of the least cost is chosen.
    double unseen = 0;
    /// For the choice among several servers; in [0, 1).
    double draw = 0;
};

/// Where a request can go.
struct server_choice
{
    enum class action_kind
    {
        /// Send it to `server` now.
        send,
        /// `server` states a limit: send it there with a permit. `expected_wait` is how long until
        /// one may be free.
        permit,
        /// `server` should load the adapter or model first.
        load,
        /// `server` could serve it, and wants no requests for `expected_wait`; no other could
        /// sooner.
        pause,
        /// All servers that could serve it are full.
        full,
        /// No server could serve it.
        none,
    };
    action_kind action = action_kind::none;
    server_id server = {};
    /// For `load`: how long until it should be ready, and whether it is loading already.
    milliseconds expected_wait{0};
    bool loading = false;
    /// For `permit`: another server could take the request now, so that waiting for a permit would
    /// only waste it.
    bool has_alternative = false;
};

class backend_table
{
public:
    explicit backend_table(backend_table_options options) : options_(std::move(options)) {}

    const backend_table_options& options() const { return options_; }

    struct record
    {
        backend_entry entry;
        /// The entry's offset in the log; 0 if it is not known.
        log_offset offset;
        /// When the log showed that this incarnation is the server's newest, if it did.
        instant newest_at = instant::min();
        std::optional<server_placement> placement;
        std::optional<engine_owner> owner;
        /// Own requests in flight, in total and by target.
        int running = 0;
        std::map<model_target, int> running_by_target;
        /// When own requests were last seen running there by a report.
        instant last_running_at;
        /// Own requests since the last report to the host that owns the server's engine.
        std::map<model_target, int> requests_since_report;
        struct peer_load
        {
            int running = 0;
            instant at;
        };
        /// Also loads of 0, so that older reports do not replace them.
        std::map<host_id, peer_load> peer_loads;
        /// The sum over `peer_loads`.
        int peer_running = 0;
        /// Consecutive failures, and a moving failure ratio.
        int failures = 0;
        double failure_ratio = 0;
        instant avoid_until;
        /// When the last byte was received.
        instant received_at;
        /// Targets that the server recently reported as not held. With each report in a row the
        /// pause before the next request for the target doubles.
        struct denial
        {
            instant until;
            milliseconds backoff{0};
        };
        std::map<model_target, denial> denied;
        /// Removed from the registry; kept while requests run there.
        bool removed = false;
    };

    /// Applies a server's entry; returns false for one older than the known one. The log's order
    /// tells which is newer, `offset`, where it is known for both. Otherwise the entry's start time
    /// and sequence do, which another writer, or a clock that was wrong, can put ahead.
    bool apply_entry(const backend_entry& entry, instant now, log_offset offset = {});
    /// Forgets the offsets of entries, before a complete read of the registry. Its entries are the
    /// newest; they are applied with `complete_read_offset`.
    void forget_offsets();
    static constexpr log_offset complete_read_offset{1};
    /// The log repeated the entry that is known: its incarnation is the newest.
    void confirm_newest(const server_id& server, instant now);
    /// Sets the failure domains whose servers get no requests; returns whether that changed.
    bool set_evacuated(std::set<domain_id> domains);
    const std::set<domain_id>& evacuated() const { return evacuated_; }
    void remove(const server_id& server);
    /// Applies a placement and the owner that it names.
    void apply_placement(const server_id& server, server_placement placement);
    void apply_owner(const server_id& server, const engine_owner& owner);
    /// Forgets the owner of a server's engine, when this host ceases to be it.
    void remove_owner(const server_id& server);
    /// A message of a host arrived. Its earlier incarnations give no more orders.
    void record_heard(const host_id& host, incarnation_id incarnation, instant now);
    /// Applies what a host reported `at` a time, unless a later report of it was applied.
    void apply_peer_load(const host_id& host, const server_id& server, int running, instant at);
    /// Forgets the loads that a host reported earlier, before its complete report of this time is
    /// applied. Returns false if a later complete one was applied already.
    bool begin_complete_report(const host_id& host, instant at);

    void record_sent(const server_id& server, const model_target& target);
    void record_ended(const server_id& server, const model_target& target, backend_outcome outcome,
                      instant now);
    /// Resets the request counts of one server; targets with running requests stay listed.
    void reset_request_counts(const server_id& server);
    /// Raises how long reports of peers count, as these are sent less often; never lowers it.
    void extend_ttls(milliseconds reports, milliseconds placements)
    {
        options_.peer_load_ttl = std::max(reports, options_.peer_load_ttl);
        options_.owner_ttl = std::max(reports, options_.owner_ttl);
        options_.placement_ttl = std::max(placements, options_.placement_ttl);
    }
    void record_received(const server_id& server, instant now);

    /// Chooses a server for a request from what is known at `now`.
    server_choice choose(const server_criteria& need, const engine_spec* engine, instant now) const;

    /// Chooses where to load another replica of the request's model, if all servers that hold it
    /// are busy and none is about to hold it.
    std::optional<server_choice> choose_extra_replica(const server_criteria& need,
                                                      const engine_spec& engine, instant now) const;

    const record* find(const server_id& server) const;
    /// Whether the incarnation of the server that started at `start_time_ms` may get new requests:
    /// it is registered, does not leave, and wants requests now.
    bool accepts(const server_id& server, std::int64_t start_time_ms, instant now) const;
    /// Whether it is about to end, or has ended, by any source.
    bool leaves(const record& it) const
    {
        return it.removed || it.entry.draining ||
               notices_.leaving(it.entry.id, it.entry.start_time_ms, it.newest_at);
    }
    /// Whether its failure domain is being evacuated.
    bool is_evacuated(const record& it) const { return evacuated_.contains(it.entry.domain); }
    /// Whether it may get new requests and loads at all: it neither leaves nor is evacuated.
    bool in_use(const record& it) const { return !leaves(it) && !is_evacuated(it); }
    /// How long the server still wants no requests from this host.
    nanoseconds pause_left(const record& it, instant now) const
    {
        return notices_.pause_left(it.entry.id, it.entry.start_time_ms, now);
    }
    const std::map<server_id, record>& servers() const { return servers_; }
    std::map<server_id, record>& servers() { return servers_; }
    /// How many named targets of own requests are kept, over all servers.
    std::size_t count_targets() const;
    const server_limits& limits() const { return limits_; }
    server_limits& limits() { return limits_; }
    const server_pace& pace() const { return pace_; }
    server_pace& pace() { return pace_; }
    const server_notices& notices() const { return notices_; }
    server_notices& notices() { return notices_; }
    void expire_notices(instant now)
    {
        notices_.expire([&](const server_id& server) { return servers_.contains(server); }, now);
    }
    /// Requests at the server: own ones and those that peers reported.
    static int load(const record& it) { return it.running + it.peer_running; }
    /// Drops reports of peers older than `peer_load_ttl`.
    void expire_peer_loads(instant now);
    /// How long until the server can serve the target, by the newest source: 0 if it holds the
    /// target, nothing if the target is not even loading.
    std::optional<nanoseconds> time_until_ready(const record& it, const model_target& target,
                                                instant now) const;
    bool holds(const record& it, const model_target& target, instant now) const
    {
        return time_until_ready(it, target, now) == nanoseconds(0);
    }
    /// Whether a server other than `server` is about to hold the target's model, or holds it with
    /// room for more requests and adapters. One that no host orders cannot load an adapter.
    bool available_elsewhere(const server_id& server, const model_target& target,
                             instant now) const;
    /// How long until a host can order the server's engine; 0 if one can now.
    milliseconds owner_wait(const record& it, instant now) const;
    /// How many servers other than `server` can serve the model.
    int count_other_replicas(const server_id& server, const model_id& model, instant now) const;
    /// Loads from the weight store in flight, by the received placements.
    int active_store_loads(instant now) const;

private:
    /// Beyond this fraction of its slots a server's first events are delayed ever more often.
    static constexpr double busy_ratio = 0.5;

    struct candidate
    {
        const record* it;
        double cost;
    };
    bool usable(const record& it, const server_criteria& need) const;
    /// Chooses among servers that can serve the request at once, `cheapest` among them.
    candidate choose_held(const std::vector<candidate>& held, const candidate& cheapest,
                          const server_criteria& need, instant now) const;
    /// As `choose`, among servers that want requests now.
    server_choice choose_unpaused(const server_criteria& need, const engine_spec* engine,
                                  instant now) const;
    /// The server that could serve the request the soonest of those that want none now.
    std::optional<server_choice> choose_paused(const server_criteria& need,
                                               const engine_spec* engine, instant now) const;
    bool placement_counts(const record& it, instant now) const;
    double cost(const record& it, instant now) const;
    /// How long until the server can get an order: from its owner, which knows whether the server
    /// wants any, and with a permit.
    milliseconds order_wait(const record& it, instant now) const;
    /// Whether the server has enough free slots for its responses to begin on time.
    static bool has_room(const record& it) { return load(it) < busy_ratio * it.entry.slots; }
    /// With `local_only`, only where the checkpoint is in memory or on disk.
    std::optional<server_choice> choose_load(const server_criteria& need, const engine_spec& engine,
                                             bool local_only, instant now) const;

    struct heard_host
    {
        incarnation_id incarnation;
        instant at;
    };

    backend_table_options options_;
    std::map<server_id, record> servers_;
    std::set<domain_id> evacuated_;
    std::map<host_id, heard_host> heard_hosts_;
    /// When the newest complete report of each host was sent.
    std::map<host_id, instant> complete_reports_;
    server_limits limits_;
    server_notices notices_;
    server_pace pace_;
};

} // namespace banyanshunt
