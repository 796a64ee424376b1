#pragma once

/// \file
/// Follows keyed topics of the platform's log: the configuration, the server registry and the list
/// of entry hosts. Each topic is read completely once, then record by record with long-poll calls.
/// A response proves what was in effect when its call was sent.

#include <deque>
#include <functional>
#include <map>

#include "coordination/refusal_budget.hpp"
#include "coordination/view_requests.hpp"
#include "coordination/view_source.hpp"
#include "platform/store.hpp"
#include "serve/host_context.hpp"
#include "transport/loop/http_connection.hpp"

namespace banyanshunt
{

struct topic_reader_options
{
    std::string topic;
    /// How long a call waits for a record.
    milliseconds wait{1000};
    /// Greatest age of shared data before this host reads the topic itself although another host
    /// reads for it; 0 if the topic is not shared.
    milliseconds max_shared_age{0};
    /// The age beyond which decisions by the data are not allowed; a response is due earlier, and
    /// an overdue one is requested again on another connection. 0 if there is no such bound.
    milliseconds max_age{0};
    /// Shortest time between two calls, which bounds the call rate while records arrive fast.
    std::function<milliseconds()> gap = [] { return milliseconds(0); };
};

/// The records of a topic that one host has read, from some offset on.
struct topic_view
{
    /// Everything before this offset has been read.
    log_offset end;
    /// When the call that confirmed it was made.
    instant confirmed_at;
    /// Whether `records` holds all changes between the requested offset and `end`.
    bool complete = false;
    std::vector<platform::keyed_record> records;
};

/// Follows one topic until the host stops. While another host reads for this one, it takes over
/// what that host has read and makes no calls of its own, unless its data grows old.
class topic_reader
{
public:
    /// Callbacks of the reader; all run on the event loop.
    struct handlers
    {
        /// The newest record of every key: keys without a record were dropped.
        std::function<void(const std::vector<platform::keyed_record>&)> snapshot;
        /// Returns whether the record changed anything; only records that did are shared with other
        /// hosts.
        std::function<bool(const platform::keyed_record&)> record;
        /// The store responded again after an outage longer than the lifetime of entries.
        std::function<void()> recovered = [] {};
        /// All records up to a call sent at this time have been delivered.
        std::function<void(instant sent_at)> confirmed;
        /// A call sent at this time got no usable response.
        std::function<void(instant sent_at)> failed = [](instant) {};
    };

    topic_reader(host_context& context, topic_reader_options options, handlers initial_handlers);

    task<void> run();

    /// The next offset to read; empty before the first response.
    std::optional<log_offset> position() const { return next_; }
    /// Whether the store answered the last call.
    store_contact contact() const
    {
        return store_reachable_ ? store_contact::kept : store_contact::lost;
    }
    /// Returns what this host has read from `from` on.
    topic_view view_from(log_offset from) const;
    /// Applies what another host has read.
    void apply(const topic_view& view);
    /// Makes the next call at once, and has it answered at once.
    void refresh();
    /// Reads what has been added, beside a call that waits; does nothing while it does so already.
    task<void> read_now();

private:
    /// Whether hosts of a domain share what they read of this topic.
    bool is_shared() const { return options_.max_shared_age > milliseconds(0); }
    bool reads_for_others() const;
    /// Pauses between two calls; ends early for `refresh`.
    task<void> rest(nanoseconds length);
    /// How long the next call may wait for a record.
    milliseconds next_wait() const;
    /// How long the next call may take beyond its wait.
    milliseconds response_timeout() const;
    void record_contact(bool reachable);
    bool shared_view_is_fresh() const;
    /// Hands over records. After an exception the whole topic is read again, as the records behind
    /// the one that caused it were not handed over.
    void deliver(const std::vector<platform::keyed_record>& records);
    void deliver_record(const platform::keyed_record& record);
    task<bool> read_all();
    task<bool> read_next();
    /// Applies the response to a call sent at `sent_at` that read from `from` on. If the topic does
    /// not retain that position, or the response does not move on from it, there is no position
    /// afterwards.
    bool accept_records(const std::string& body, log_offset from, instant sent_at);
    /// Reads the topic completely after its position turned out to be none.
    task<bool> read_all_again();
    void set_position(log_offset next);
    /// Counts a refused view of a peer, after which this host reads the topic itself.
    void refuse_view(const char* why, const topic_view& view);
    /// Says so if the call was the first after an outage; before what it read is delivered.
    void record_regained(instant sent_at);
    /// Everything up to a call sent at this time has been read.
    void record_response(instant confirmed);
    void log_unanswered_call(instant sent_at, milliseconds wait);

    host_context& context_;
    topic_reader_options options_;
    handlers handlers_;
    http_connection store_;
    asio::steady_timer rest_timer_;
    bool refresh_requested_ = false;
    bool reading_now_ = false;
    /// Whether the call in flight was requested by `refresh`.
    bool refreshing_ = false;
    /// How long the store took for the last call that did not wait, or less.
    milliseconds latency_{0};
    std::optional<log_offset> next_;
    /// When `next_` became known.
    instant position_at_;
    /// The last response ended before the topic's end.
    bool has_more_ = false;
    /// When another complete read may begin.
    instant reread_at_;
    refusal_budget view_refusals_;
    bool store_reachable_ = true;
    std::optional<instant> responded_at_;
    instant confirmed_at_;
    /// Another host has read further, but it no longer has the records in between; or what it says
    /// to have read cannot be.
    bool missed_records_ = false;
    /// Records read recently that changed something, complete from `recent_from_` on.
    std::deque<platform::keyed_record> recent_;
    log_offset recent_from_;
    std::size_t recent_bytes_ = 0;
};

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
