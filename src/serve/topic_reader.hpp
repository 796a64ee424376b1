#pragma once

/// \file
/// Follows keyed topics of the platform's log. Each topic is read completely once, then record by
/// record with long-poll calls. A response proves what was in effect when its call was sent.

#include <functional>

#include "coordination/complete_read.hpp"
#include "coordination/refusal_budget.hpp"
#include "coordination/view_source.hpp"
#include "platform/store.hpp"
#include "serve/host_context.hpp"
#include "serve/topic_view.hpp"
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
    /// How long a complete read whose records do not reach the end that it states is repeated, if
    /// the records in between were dropped; then they are taken for drops of keys.
    milliseconds gap_patience{0};
    /// Shortest time between two calls, which bounds the call rate while records arrive fast.
    std::function<milliseconds()> gap = [] { return milliseconds(0); };
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

    /// Time allowed beyond its wait for a call on a kept connection, which can become unresponsive
    /// without an error: a few round trips and one retransmission. A store that was slower lately
    /// gets some multiple of that.
    static constexpr milliseconds min_response_timeout{300};
    /// The time that a call takes which does not wait, unless the store is slow.
    static constexpr milliseconds usual_response_time{100};

    topic_reader(host_context& context, topic_reader_options options, handlers initial_handlers);

    task<void> run();

    /// The next offset to read; empty before the first response.
    std::optional<log_offset> position() const { return next_; }
    /// Whether the store answered the last call.
    store_contact contact() const
    {
        return store_reachable_ ? store_contact::kept : store_contact::lost;
    }
    /// Where the records come from that are being handed over.
    record_source source() const { return source_; }
    /// Returns what this host has read from `from` on.
    topic_view view_from(log_offset from) const;
    /// Applies what another host has read.
    void apply(const topic_view& view);
    /// Makes the next call at once, and has it answered at once.
    void refresh();
    /// Reads what has been added, beside a call that waits; does nothing while it does so already.
    task<void> read_now();
    /// The same for the newest record of every key.
    task<void> read_completely();

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
    task<bool> read_all(http_connection& store);
    task<bool> read_next();
    /// Applies the response to a call sent at `sent_at` that read from `from` on. If the topic does
    /// not retain that position, or the response does not move on from it, there is no position
    /// afterwards.
    bool accept_records(const std::string& body, log_offset from, instant sent_at);
    /// Reads the topic completely after its position turned out to be none, once the next complete
    /// read may begin.
    task<bool> read_all_again();
    /// Makes a call beside the one that waits: a read from `from` on, or a complete one.
    task<void> read_beside(std::optional<log_offset> from);
    void set_position(log_offset next);
    /// Counts a refused view of a peer, after which this host reads the topic itself.
    void refuse_view(const char* why, const topic_view& view);
    /// Says so if the call was the first after an outage; before what it read is delivered.
    void record_regained(instant sent_at);
    /// Everything up to a call sent at this time has been read.
    void record_response(instant confirmed);
    /// Says so if records came that a read did not notice while it waited.
    void record_missed(log_offset from, milliseconds wait, milliseconds took);
    void log_unanswered_call(const http_connection& store, instant sent_at, milliseconds wait);

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
    complete_read_gap gap_;
    record_source source_ = record_source::waiting_read;
    /// The last read waited and ended without a record.
    bool ended_empty_ = false;
    /// The last response ended before the topic's end.
    bool has_more_ = false;
    /// When another complete read may begin.
    instant reread_at_;
    /// When the store had last dropped what follows this host's position.
    instant expired_at_;
    /// When this host's position last turned out to be none of the topic's.
    instant refused_at_;
    refusal_budget view_refusals_;
    bool store_reachable_ = true;
    std::optional<instant> responded_at_;
    instant confirmed_at_;
    /// Another host has read further, but it no longer has the records in between; or what it says
    /// to have read cannot be.
    bool missed_records_ = false;
    /// Records read recently that changed something, complete from `recent_from_` on.
    recent_records recent_;
};

} // namespace banyanshunt
