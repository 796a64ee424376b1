#pragma once

/// \file
/// Defines a group of placers in one process: the product's own `domain_placer`s over a shared log
/// and engines in memory, under one test clock. Any of them can be cut off, paused or replaced.

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
    /// Makes every successor act at once; a planted fault for tests.
    bool skip_takeover_delay = false;
    std::uint64_t seed = 1;
};

/// One process that runs a placer.
struct placer_member
{
    placer_member(const placer_group_options& options, memory_log& log, memory_engines& engines,
                  const test_clock& clock, int domain, int place, incarnation_id life);

    std::string name;
    domain_id domain;
    flaky_log link;
    domain_placer<flaky_log, memory_engines, test_clock> placer;
    instant paused_until;
};

class placer_group
{
public:
    explicit placer_group(const placer_group_options& options);

    /// Moves the clock by `by` and lets every member that is not paused do a round.
    void step(milliseconds by = milliseconds(100));
    void run_steps(int n);

    /// Ends a member's process; a later `start` brings a new one up under its name.
    void stop(int domain, int place);
    void start(int domain, int place);
    void pause(int domain, int place, milliseconds length);
    /// Null while it is stopped.
    placer_member* member(int domain, int place);

    /// What every member hears that its requests need.
    void add_demand(const model_id& model);
    void clear_demand() { needs_.clear(); }
    void set_state(fleet_state_ptr state) { state_ = std::move(state); }
    const fleet_state& state() const { return *state_; }

    /// How many more replicas than decided are held now, over all models.
    int excess() const;

    test_clock clock;
    memory_log log;
    memory_engines engines;

private:
    std::string key(int domain, int place) const;

    placer_group_options options_;
    fleet_state_ptr state_;
    std::map<std::string, std::unique_ptr<placer_member>> members_;
    std::vector<replica_demand> needs_;
    std::int64_t next_life_ = 1;
};

} // namespace banyanshunt
