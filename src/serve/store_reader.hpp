#pragma once

/// \file
/// Defines the duty that follows keyed topics of the platform's log: the configuration, the server
/// registry and the list of entry hosts. Each topic is read once in whole, then record by record by
/// calls that wait. An answer proves what was in force when its call was sent.

#include <functional>
#include <map>

#include "platform/store.hpp"
#include "serve/host_core.hpp"
#include "transport/loop/call_link.hpp"

namespace banyanshunt
{

struct topic_reader_options
{
    std::string topic;
    /// How long a call waits for a record.
    milliseconds wait{1000};
    /// The pause between two calls, which bounds calls while records come fast.
    std::function<milliseconds()> gap = [] { return milliseconds(0); };
};

/// Follows one topic until the host stops.
class topic_reader
{
public:
    /// What the reader hands on; all run on the loop.
    struct handlers
    {
        /// The newest record of every key: keys that are not in it are gone.
        std::function<void(const std::vector<platform::keyed_record>&)> whole;
        std::function<void(const platform::keyed_record&)> record;
        /// The store answered again after it was away for longer than entries last.
        std::function<void()> regained = [] {};
        /// Everything up to a call sent at this moment has been handed on.
        std::function<void(instant asked)> confirmed;
    };

    topic_reader(host_core& core, topic_reader_options options, handlers given);

    task<void> run();

private:
    task<bool> read_whole();
    task<bool> read_on();
    void note_answer();

    host_core& core_;
    topic_reader_options options_;
    handlers handlers_;
    call_link link_;
    std::optional<log_offset> next_;
    bool reached_ = true;
    std::optional<instant> answered_at_;
};

/// Keeps the configuration and the server table of a host up to date.
class state_follower_duty
{
public:
    explicit state_follower_duty(host_core& core);
    task<void> run_config() { return config_.run(); }
    task<void> run_servers() { return servers_.run(); }

private:
    void take_config(const platform::keyed_record& record);
    void take_server(const platform::keyed_record& record);
    void take_all_servers(const std::vector<platform::keyed_record>& records);
    void remove_server(const server_id& server);
    task<void> remove_later(server_id server);

    host_core& core_;
    topic_reader config_;
    topic_reader servers_;
    /// Removals before this moment may be of servers that only lost sight of the store.
    instant doubtful_until_;
    std::map<server_id, std::uint64_t> doubtful_;
    std::uint64_t next_doubt_ = 0;
};

} // namespace banyanshunt
