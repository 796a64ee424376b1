#pragma once

/// \file
/// A group of placers in one process: the product's `domain_placer`s over a shared log and
/// in-memory engines, under one test clock. Each of them can be partitioned from the log, paused or
/// replaced.

#include "placer/domain_placer.hpp"
#include "stand_ins/placement/flaky_log.hpp"
#include "stand_ins/placement/memory_engines.hpp"

namespace banyanshunt
{

struct placer_group_options
{
    int domains = 2;
    int placers_in_domain = 2;
    int servers_in_domain = 2;
    int models = 4;
    int replicas = 1;
    /// Every second server checks fencing numbers, or all do, or none does.
    enum class fencing
    {
        mixed,
        all,
        none,
    } fencing_checks = fencing::mixed;
    link_faults links = {};
    order_faults orders = {};
    /// Lets every successor act at once; a fault injected to test the checks.
    bool skip_takeover_delay = false;
    /// The longest time for which the placers take an order to be under way; nothing for the
    /// default. The engines' random delays are below 2 s.
    std::optional<milliseconds> assumed_order_delay = milliseconds(2000);
    milliseconds renew_interval{600'000};
    std::uint64_t seed = 1;
};

/// One placer process.
struct placer_member
{
    placer_member(const placer_group_options& options, memory_log& log, memory_engines& engines,
                  const test_clock& clock, int domain, int index, incarnation_id incarnation);

    std::string name;
    domain_id domain;
    flaky_log link;
    domain_placer<flaky_log, memory_engines, test_clock> placer;
    instant paused_until;
    domain_step_result last_step;
    /// The other placers take it for dead, although it runs.
    bool unlisted = false;
};

class placer_group
{
public:
    explicit placer_group(const placer_group_options& options);

    /// Advances the clock by `by` and runs one step of every member that is not paused.
    void step(milliseconds by = milliseconds(100));
    void run_steps(int n);

    /// Ends a member's process; a later `start` starts a new incarnation under its name.
    void stop(int domain, int index);
    void start(int domain, int index);
    void pause(int domain, int index, milliseconds length);
    /// Returns null while the member is stopped.
    placer_member* member(int domain, int index);

    /// Adds a demand that every member receives.
    void add_demand(const model_id& model);
    void clear_demand() { demands_.clear(); }
    void set_state(fleet_state_ptr state) { state_ = std::move(state); }
    const fleet_state& state() const { return *state_; }

    /// The number of replicas held now beyond the decided ones, over all models.
    int excess() const;

    test_clock clock;
    memory_log log;
    memory_engines engines;

private:
    std::string key(int domain, int index) const;

    placer_group_options options_;
    fleet_state_ptr state_;
    std::map<std::string, std::unique_ptr<placer_member>> members_;
    std::vector<replica_demand> demands_;
    std::int64_t next_incarnation_ = 1;
};

} // namespace banyanshunt
