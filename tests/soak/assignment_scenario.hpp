#pragma once

/// \file
/// Faults directed at the assignment of engines to entry hosts: single ones for states that last,
/// and series of changes of owner.

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

/// How many hosts are killed before the store is away, and how many others while it is.
enum class killed_hosts
{
    none,
    one,
    half,
};

struct assignment_scenario_options
{
    /// In older_copy: by how much the store that returns is older.
    std::chrono::milliseconds copy_age{8000};
    /// In older_copy.
    killed_hosts killed = killed_hosts::none;
};

class assignment_scenario
{
public:
    /// `what` is one of away_and_back, other_parts, new_topic, older_copy, other_machine,
    /// absent_engines, second_machine, stale_reads, one_way_store and held_orders, or a series:
    /// killed, restarted, frozen, cut_off, store_troubled, dealt_anew, starved, killed_at_order, or
    /// all_series for these in turn.
    assignment_scenario(soak_fleet& fleet, std::string what,
                        const assignment_scenario_options& options,
                        std::function<void(const std::string&)> log);
    ~assignment_scenario();

    /// Injects the fault once and waits until the next one is due.
    void step();
    /// When each host was replaced by another machine.
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> replaced() const
    {
        return replaced_;
    }
    /// When each host was resumed.
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> resumed() const
    {
        return resumed_;
    }

private:
    /// One partition moves to another member between two joins of its holder, and back.
    void move_away_and_back();
    /// The same while the partition's engines are missing in the registry, and after their restart.
    void move_while_engines_are_absent();
    /// The store returns with an older copy of itself, and deals all partitions anew.
    void return_older();
    /// Another machine starts under the name of a host before that one ends.
    void run_second_machine();
    void move_while_reads_are_stale();
    /// One host's calls to the store are carried out without a response, and another host's call to
    /// leave the group is carried out after its restart.
    void lose_store_responses();
    void hold_orders_of_killed_hosts();
    std::chrono::milliseconds join_delay() const;
    call_fault decide(const std::string& path, const std::string& body);
    void step_series();
    void kill_hosts();
    /// Kills hosts as soon as an order of theirs arrives that an engine will carry out late.
    void kill_at_late_orders();
    void restart_in_turn();
    void freeze_half();
    void cut_half_off();
    void trouble_store();
    void deal_anew();
    void starve_hosts();
    /// Restarts hosts that end until then.
    void wait_until(std::chrono::steady_clock::time_point until);
    void wait_for(std::chrono::milliseconds length);

    soak_fleet& fleet_;
    const std::string what_;
    const assignment_scenario_options options_;
    const std::function<void(const std::string&)> log_;
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> replaced_;
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> resumed_;
    std::size_t steps_ = 0;
    /// Guards the members below, which calls to the store use.
    std::mutex mutex_;
    std::string delayed_member_;
    bool joined_ = false;
    bool store_is_troubled_ = false;
    int troubled_calls_ = 0;
};

} // namespace banyanshunt::soak
