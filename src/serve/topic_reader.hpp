#pragma once

/// \file
/// Defines the duty that follows keyed topics of the platform's log: the configuration, the server
/// registry and the list of entry hosts. Each topic is read once in whole, then record by record by
/// calls that wait. An answer proves what was in force when its call was sent.

#include <deque>
#include <functional>
#include <map>

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
    /// How old what is known may grow before this host reads itself though another reads for it.
    milliseconds max_shared_age{0};
    /// The pause between two calls, which bounds calls while records come fast.
    std::function<milliseconds()> gap = [] { return milliseconds(0); };
};

/// A part of a topic as one host has read it.
struct topic_view
{
    /// Everything before this offset has been read.
    log_offset end;
    /// When the call was made that confirmed it.
    instant confirmed_at;
    /// Whether `record_threshold` is all that changed anything between the offset asked for and
    /// `outcome`.
    bool complete = false;
    std::vector<platform::keyed_record> records;
};

/// Follows one topic until the host stops. While another host reads for this one, it takes over
/// what that host has read and makes no calls of its own, unless what it has grows old.
class topic_reader
{
public:
    /// What the reader hands on; all run on the loop.
    struct handlers
    {
        /// The newest record of every key: keys that are not in it are gone.
        std::function<void(const std::vector<platform::keyed_record>&)> snapshot;
        /// Returns whether the record changed anything: others need not be told of one that did
        /// not.
        std::function<bool(const platform::keyed_record&)> record;
        /// The store answered again after it was away for longer than entries last.
        std::function<void()> recovered = [] {};
        /// Everything up to a call sent at this moment has been handed on.
        std::function<void(instant asked)> confirmed;
    };

    topic_reader(host_context& core, topic_reader_options options, handlers given);

    task<void> run();

    /// Where this host's reading stands; nothing before the first answer.
    std::optional<log_offset> position() const { return next_; }
    /// What this host has read from `from` on.
    topic_view view_from(log_offset from) const;
    /// Takes over what another host has read.
    void apply(const topic_view& view);

private:
    /// Whether hosts of a domain share what they read of this topic.
    bool is_shared() const { return options_.max_shared_age > milliseconds(0); }
    bool reads_for_others() const;
    bool others_suffice() const;
    void hand_on(const std::vector<platform::keyed_record>& records);
    task<bool> read_whole();
    task<bool> read_on();
    void note_answer(instant confirmed);

    host_context& core_;
    topic_reader_options options_;
    handlers handlers_;
    http_connection link_;
    std::optional<log_offset> next_;
    bool reached_ = true;
    std::optional<instant> answered_at_;
    instant confirmed_at_;
    /// Another host has read on, but what lies between is not to be had from it.
    bool behind_ = false;
    /// Records read of late that changed something, all of those from `recent_from_` on.
    std::deque<platform::keyed_record> recent_;
    log_offset recent_from_;
    std::size_t recent_bytes_ = 0;
};

/// Keeps the configuration and the server table of a host up to date.
class state_watcher
{
public:
    explicit state_watcher(host_context& core);
    task<void> run_config() { return config_.run(); }
    task<void> run_servers() { return servers_.run(); }
    topic_reader& config() { return config_; }
    topic_reader& servers() { return servers_; }

private:
    bool take_config(const platform::keyed_record& record);
    bool take_server(const platform::keyed_record& record);
    void take_all_servers(const std::vector<platform::keyed_record>& records);
    bool remove_server(const server_id& server);
    task<void> remove_later(server_id server);

    host_context& core_;
    topic_reader config_;
    topic_reader servers_;
    /// Removals before this moment may be of servers that only lost sight of the store.
    instant doubtful_until_;
    std::map<server_id, std::uint64_t> doubtful_;
    std::uint64_t next_doubt_ = 0;
};

} // namespace banyanshunt
