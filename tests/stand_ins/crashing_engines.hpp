#pragma once

/// \file
/// Model engines that end when they begin to answer a request with a certain part in its prompt,
/// and come back at another address under another id.

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/prepared_platform.hpp"
#include "stand_ins/raw_server.hpp"

namespace banyanshunt
{

struct crashing_engines_options
{
    std::string service = "models";
    std::string model = "m0";
    int count = 2;
    /// From an engine's end until it has registered again.
    milliseconds restart_time{200};
    /// From the arrival of a request until its response begins.
    milliseconds first_event{50};
    /// Some responses end with their connection, and some break off in the middle of their head.
    bool odd_responses = false;
};

class crashing_engines
{
public:
    using time = std::chrono::steady_clock::time_point;

    struct arrival
    {
        std::string id;
        std::vector<std::string> parts;
        time at;
    };

    /// `entry` is a registry entry of an engine of the service, which each one's is made from.
    crashing_engines(store_stand_in& store, std::string entry,
                     const crashing_engines_options& options);
    ~crashing_engines();
    crashing_engines(const crashing_engines&) = delete;
    crashing_engines& operator=(const crashing_engines&) = delete;

    /// The events of a whole response.
    static std::string whole_response();
    /// Requests with the part end their engine from now on, or no longer.
    void set_deadly(const std::string& part, bool deadly = true);
    /// Ends all engines at once, for a reason of their own.
    void end_all();
    /// Announces that all engines leave.
    void announce_leaving();
    /// Closes the connections of all engines, which go on.
    void reset_connections();

    std::vector<arrival> arrivals() const;
    /// When engines ended.
    std::vector<time> ends() const;

private:
    struct engine;

    std::unique_ptr<engine> start();
    void announce(engine& it, bool draining = false);
    raw_response respond(engine& it, const std::string& text);
    raw_response make_response(const engine& it, const std::string& id);
    void end(engine& it);
    bool is_deadly(const std::vector<std::string>& parts) const;
    void restart_ended();

    store_stand_in& store_;
    std::string entry_;
    crashing_engines_options options_;
    mutable std::mutex mutex_;
    std::condition_variable ended_;
    bool closing_ = false;
    int started_ = 0;
    std::atomic<int> resets_ = 0;
    std::atomic<std::size_t> responses_ = 0;
    std::set<std::string> deadly_;
    std::vector<arrival> arrivals_;
    std::vector<time> ends_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::thread restarts_;
};

} // namespace banyanshunt
