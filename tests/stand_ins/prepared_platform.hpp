#pragma once

/// \file
/// Small stand-ins for the prepared platform's log service and for a backend server, which follow
/// the published protocol of the platform. Tests switch their faults on and off.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "stand_ins/odd_responses.hpp"
#include "tools/order_rule.hpp"

namespace banyanshunt
{

/// The members of a consumer group and the partitions assigned to each.
class group_stand_in
{
public:
    explicit group_stand_in(int partitions) : partitions_(partitions) {}

    /// Adds a member or renews its membership, and returns the response body. `generation` is the
    /// last one that the member received.
    std::string join(const std::string& member, std::chrono::milliseconds ttl,
                     std::int64_t generation);
    void leave(const std::string& member);
    /// Assigns every partition anew at once, without a call of any member.
    void rebalance();
    /// Assigns every partition at once to its holder before the last `rebalance`, if that is still
    /// a member.
    void undo_rebalance();
    /// Assigns one partition at once.
    void move(int partition, const std::string& member);
    std::vector<std::string> members();
    /// The member that a partition is listed for; empty if there is none.
    std::string holder_of(int partition);
    /// Ends all memberships at once.
    void lapse();

private:
    /// A partition that is to move stays with its holder, unlisted, until the holder joins with
    /// the generation that moved it, leaves or lapses.
    struct assigned_partition
    {
        std::string holder;
        std::string next_holder;
        std::int64_t moved_in = 0;
    };

    void assign_partitions();
    void assign_at_once(int partition, const std::string& member);

    int partitions_;
    std::mutex mutex_;
    std::int64_t generation_ = 0;
    std::map<std::string, std::chrono::steady_clock::time_point> members_;
    std::map<int, assigned_partition> assigned_;
    std::map<int, std::string> holders_before_;
};

/// How a read that did not notice a record ends.
enum class missed_read_end
{
    /// With the record, once it has waited as long as it may.
    answered,
    /// Its response is lost.
    lost,
};

/// How one call to the log service goes.
struct call_fault
{
    /// How much later it is carried out.
    std::chrono::milliseconds carry_out_delay{0};
    /// How much later it is responded to.
    std::chrono::milliseconds response_delay{0};
    /// If nonzero, it is refused with this status.
    int refused_with = 0;
    /// It is carried out, and its response is lost.
    bool response_lost = false;
};

/// The log service: keyed topics with one partition each, appends, and one group.
class store_stand_in
{
public:
    explicit store_stand_in(int partitions = 1);
    ~store_stand_in();

    int port() const { return port_; }
    /// Writes a record as operators or servers do; without a value, deletes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// The same, but the read of the topic that arrived last does not notice it while it waits.
    void put_unnoticed(const std::string& topic, const std::string& key, const std::string& value,
                       missed_read_end end);
    /// Deletes the records of a topic before an offset; the newest of each key is retained.
    void expire(const std::string& topic, std::size_t before);
    /// Deletes the records of all topics; the newest of each key is retained.
    void drop_history();
    /// Forgets all partitions of a topic, so that their offsets begin with 0 again.
    void begin_anew(const std::string& topic);
    /// Forgets the records of the last `age` in all topics, so that their offsets are given out
    /// again. Operators and servers write again what they wrote since; hosts do not.
    void return_older(std::chrono::milliseconds age);
    /// How long records are retained; 0 for always.
    std::atomic<int> keep_ms = 0;
    /// Reads respond with the records that were there this long ago.
    std::atomic<int> stale_ms = 0;
    /// Reads that wait, or arrive while it is being appended, notice what an operator or server
    /// writes from now on only after this time; reads that arrive afterwards get it at once.
    std::atomic<int> unnoticed_ms = 0;
    /// The newest records of a topic are those of this long ago, beside its end of now.
    std::atomic<int> stale_items_ms = 0;
    /// A read that waited as long as it may is responded to this much later.
    std::atomic<int> wait_delay_ms = 0;
    /// The values of all records of a topic; of a partition, its name is "TOPIC/PARTITION".
    std::vector<std::string> values(const std::string& topic) const;
    /// The calls received to read a topic from an offset on.
    int reads(const std::string& topic) const;
    /// The calls received for the newest records of a topic.
    int newest_calls(const std::string& topic) const;
    /// While nonzero, every call gets this status.
    std::atomic<int> forced_status = 0;
    /// Decides on each append and each call to the group, by its path and body, and on each read of
    /// a topic that is not keyed, by its path and the topic with its partition.
    using fault_source =
        std::function<call_fault(const std::string& path, const std::string& body)>;
    void set_call_faults(fault_source faults);
    group_stand_in& group() { return group_; }
    /// How long a call to leave a group takes, and how many have arrived.
    std::atomic<int> leave_delay_ms = 0;
    std::atomic<int> leave_calls = 0;

private:
    struct server;
    struct entry
    {
        std::string key;
        std::string value;
        std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now();
        /// The read that does not notice it while it waits; 0 for none.
        int missed_by = 0;
        /// How long it goes unnoticed by reads that arrived while it was being appended, or before.
        std::chrono::milliseconds unnoticed{0};

        std::chrono::steady_clock::time_point appended_at() const
        {
            constexpr std::chrono::milliseconds append_time{50};
            return unnoticed.count() > 0 ? at + append_time : at;
        }
    };
    /// The response to a read; nothing if the records are no longer retained.
    std::optional<std::string> read(const std::string& topic, std::size_t from, std::size_t max_kb,
                                    int wait_ms);
    std::string newest(const std::string& topic, const std::string& after);
    /// The first record that was added after a time.
    static std::size_t first_after(const std::vector<entry>& entries,
                                   std::chrono::steady_clock::time_point at);
    call_fault fault_of(const std::string& path, const std::string& body);

    group_stand_in group_;
    std::mutex fault_mutex_;
    fault_source call_faults_;
    mutable std::mutex mutex_;
    std::condition_variable records_added_;
    std::map<std::string, int> reads_;
    std::map<std::string, int> newest_calls_;
    std::map<std::string, std::size_t> first_retained_;
    /// Whether reads may begin behind the end, as the log was longer before.
    bool returned_older_ = false;
    std::set<std::pair<std::string, int>> lost_reads_;
    bool closing_ = false;
    std::map<std::string, std::vector<entry>> topics_;
    std::unique_ptr<server> server_;
    int port_ = 0;
};

/// What a backend server received of one request.
struct served_request
{
    std::string id;
    std::string path;
    std::string body;
    std::string workspace;
    std::string last_event_id;
    bool has_key = false;
    /// When it arrived.
    std::chrono::steady_clock::time_point at = {};
};

/// A response of a backend server, and what it stated of the server.
struct given_response
{
    /// Id of the request; empty for orders and calls for a report.
    std::string id;
    std::chrono::steady_clock::time_point at;
    /// When the request arrived; long before if the server was silent.
    std::chrono::steady_clock::time_point arrived_at;
    /// The incarnation that gave it.
    int start_time_ms = 0;
    int status = 0;
    bool leaving = false;
    /// For how long the server wants no requests; 0 if the response did not say so.
    std::chrono::milliseconds pause{0};
};

/// A model engine, or a plain service if it has no model.
class backend_stand_in
{
public:
    enum class fault
    {
        none,
        /// Reports that it is full and did not run the request.
        full,
        /// Runs the request and closes the connection without a response.
        lose_response,
        /// Closes the connection in the middle of a stream's third event.
        break_stream,
        /// Runs the request and responds with its own error, without the request's id.
        own_error,
    };

    backend_stand_in(std::string id, const std::set<std::string>& models);
    ~backend_stand_in();

    /// Its entry in the registry.
    std::string registry_entry(const std::string& service, bool draining = false) const;
    std::vector<served_request> served() const;
    /// When requests, orders and calls for a report arrived, also those that it refused.
    std::vector<std::chrono::steady_clock::time_point> arrivals() const;
    std::vector<given_response> responses() const;
    int orders() const { return orders_; }
    /// The errors in the orders that it carried out: more models than fit.
    std::vector<std::string> order_errors() const;
    /// All orders, in the order of their arrival.
    std::vector<received_order> received_orders() const;
    int port() const { return port_; }
    /// The address to announce if callers reach the server through a proxy.
    std::string announced_address;
    std::size_t max_models = 100;
    std::atomic<fault> active_fault = fault::none;
    /// The requests a second that all its responses state as its limit; negative for none.
    std::atomic<double> stated_limit = -1;
    /// Events of a stream, and the pause in front of each; read when a run begins.
    std::atomic<int> events_in_stream = 5;
    std::atomic<int> event_pause_ms = 0;
    /// How long a run of a plain request takes before its response begins.
    std::atomic<int> run_ms = 0;
    /// The same for paths that begin with "/read/slow".
    std::atomic<int> slow_run_ms = 0;
    /// Length of the response to a plain request, in bytes; 0 for a short one. It is sent in
    /// pieces, `piece_pause_ms` apart.
    std::atomic<int> body_bytes = 0;
    std::atomic<int> piece_pause_ms = 0;
    /// What its responses state as Server-Leaving, and its responses with status 503 as
    /// Retry-After; null for nothing. Only in responses to paths that begin with `notice_path`.
    std::atomic<const char*> stated_leaving = nullptr;
    std::atomic<const char*> stated_retry_after = nullptr;
    std::atomic<const char*> notice_path = "";
    /// Sends nothing for this long, whatever it is in the middle of, and then goes on.
    void fall_silent(std::chrono::milliseconds length);
    /// Whether a copy of each refusal or plain answer follows it on its connection, whose id it
    /// states, and how much later it comes.
    std::atomic<copied_id> copied_refusal = copied_id::no_copy;
    std::atomic<copied_id> copied_answer = copied_id::no_copy;
    std::atomic<int> copy_delay_ms = 0;
    /// Reports for every second request that it is full and did not run it.
    std::atomic<bool> refuses_every_second = false;
    /// How many of the next streams break as by `fault::break_stream`, and how those that come to
    /// be resumed go on.
    std::atomic<int> streams_to_break = 0;
    std::atomic<odd_resumption> resumption = odd_resumption::sound;
    /// Refuses orders with status 503.
    std::atomic<bool> refuses_orders = false;
    /// The share of the orders, in percent, that get no response and are carried out later, if the
    /// count of orders that they expect holds then; and how much later, in milliseconds.
    std::atomic<int> late_order_percent = 0;
    std::atomic<int> min_order_delay_ms = 2000;
    std::atomic<int> max_order_delay_ms = 12000;
    /// Start time that its entry states; a later one is a restart under the same id.
    std::atomic<int> start_time_ms = 1;
    /// How many responses stated that it leaves.
    int leaving_responses() const { return leaving_responses_; }

private:
    struct server;

    /// Whether it refuses a request that it could run; called once for each.
    bool refuses(const httplib::Request& call);
    /// Waits until the server is no longer silent.
    void await_silence_end() const;
    /// Returns the response to an order, after its delay if it is drawn to be late.
    int receive_order(const std::string& body, std::chrono::steady_clock::time_point arrived_at);
    int carry_out(const std::string& body);
    /// Whether it can serve requests for a model, or for an adapter behind a slash.
    bool holds(const std::string& target) const;
    /// The models and adapters as its reports and its entry state them.
    nlohmann::json held_models() const;
    std::chrono::milliseconds draw_order_delay();

    std::string id_;
    mutable std::mutex mutex_;
    /// The models that it holds, each with its adapters.
    std::map<std::string, std::set<std::string>> models_;
    std::vector<served_request> served_;
    std::vector<std::chrono::steady_clock::time_point> arrivals_;
    std::vector<given_response> responses_;
    std::vector<std::string> order_errors_;
    std::vector<received_order> received_orders_;
    std::atomic<int> orders_ = 0;
    std::mt19937 order_random_;
    std::condition_variable stopping_;
    bool stopped_ = false;
    int refusable_ = 0;
    std::set<std::string> resumed_;
    std::atomic<int> leaving_responses_ = 0;
    std::atomic<std::chrono::steady_clock::time_point> silent_until_{};
    std::unique_ptr<server> server_;
    int port_ = 0;
};

} // namespace banyanshunt
