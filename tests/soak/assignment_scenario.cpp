#include "soak/assignment_scenario.hpp"

#include <signal.h>

#include <algorithm>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "coordination/rendezvous.hpp"

namespace banyanshunt::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int moved_partition = 0;
constexpr int rounds = 6;
constexpr int joins_per_lease = 4;
/// A host's call to the store times out after 1 s.
constexpr std::chrono::milliseconds max_join_delay = 900ms;
/// How long before the holder's next join is carried out the partition moves back.
constexpr auto return_margin = 100ms;
constexpr auto max_join_wait = 4s;
constexpr auto min_step_interval = 6s;
constexpr int step_interval_leases = 4;
constexpr auto store_absence = 400ms;
constexpr auto copy_age = 8s;
/// The partitions of the fleet's store.
constexpr std::uint64_t partitions = 6;
constexpr auto read_staleness = 2500ms;
constexpr auto leave_delay = 3s;
/// In leases: how long two machines run under one name, and how long a host gets no responses.
constexpr int overlap_leases = 8;
constexpr double response_loss_leases = 1.5;
/// Longer than hosts expect orders to be under way.
constexpr auto order_hold = 2500ms;
constexpr int held_orders_per_engine = 4;
constexpr auto order_hold_lead = 1s;

} // namespace

assignment_scenario::assignment_scenario(soak_fleet& fleet, std::string what,
                                         std::function<void(const std::string&)> log)
    : fleet_(fleet), what_(std::move(what)), log_(std::move(log))
{
    static const std::set<std::string> known = {
        "away_and_back",  "other_parts",    "new_topic",   "older_copy",    "other_machine",
        "absent_engines", "second_machine", "stale_reads", "one_way_store", "held_orders"};
    if (!known.contains(what_))
    {
        throw std::invalid_argument("no scenario " + what_);
    }
    fleet_.store.set_call_faults(
        [this](const std::string& path, const std::string& body) -> call_fault
        {
            if (path == "/api/log-leave" && what_ == "one_way_store")
            {
                return {.carry_out_delay = leave_delay};
            }
            std::lock_guard lock(mutex_);
            bool concerned = path == "/api/log-join" && !delayed_member_.empty() &&
                             body.find('"' + delayed_member_ + '"') != std::string::npos;
            if (!concerned)
            {
                return {};
            }
            return {.carry_out_delay = std::exchange(joined_, true) ? join_delay() : 0ms};
        });
}

assignment_scenario::~assignment_scenario()
{
    fleet_.store.set_call_faults(nullptr);
}

// Late enough for another member to claim what is listed for it meanwhile, and within a membership.
std::chrono::milliseconds assignment_scenario::join_delay() const
{
    return std::min(fleet_.lease() / 2, max_join_delay);
}

void assignment_scenario::move_away_and_back()
{
    auto absence = fleet_.lease() / joins_per_lease + join_delay() - return_margin;
    auto& group = fleet_.store.group();
    auto holder = group.holder_of(moved_partition);
    auto members = group.members();
    std::erase(members, holder);
    if (members.empty())
    {
        return;
    }
    const auto& other = members.front();
    log_(fmt::format("partition {} from {} to {} and back, {} times", moved_partition, holder,
                     other, rounds));
    for (int n = 0; n < rounds; ++n)
    {
        {
            std::lock_guard lock(mutex_);
            delayed_member_ = holder;
            joined_ = false;
        }
        auto has_joined = [&]
        {
            std::lock_guard lock(mutex_);
            return joined_;
        };
        for (auto until = std::chrono::steady_clock::now() + max_join_wait;
             !has_joined() && std::chrono::steady_clock::now() < until;)
        {
            std::this_thread::sleep_for(2ms);
        }
        std::this_thread::sleep_for(5ms);
        group.move(moved_partition, other);
        std::this_thread::sleep_for(absence);
        group.move(moved_partition, holder);
        {
            std::lock_guard lock(mutex_);
            delayed_member_.clear();
        }
        std::this_thread::sleep_for(fleet_.lease() / joins_per_lease);
    }
}

void assignment_scenario::move_while_engines_are_absent()
{
    std::vector<std::size_t> engines;
    for (auto n = soak_fleet::first_engine; n < fleet_.backends.size(); ++n)
    {
        if (rendezvous_weight("partition", soak_fleet::server_name(n)) % partitions ==
            moved_partition)
        {
            engines.push_back(n);
        }
    }
    log_(fmt::format("{} engines of partition {} leave the registry", engines.size(),
                     moved_partition));
    for (auto n : engines)
    {
        fleet_.store.put("keyed.servers", soak_fleet::server_name(n), "");
    }
    std::this_thread::sleep_for(fleet_.lease() / joins_per_lease);
    move_away_and_back();
    log_("the engines are back, restarted");
    for (auto n : engines)
    {
        fleet_.restart(n);
    }
    std::this_thread::sleep_for(fleet_.lease());
    move_away_and_back();
}

void assignment_scenario::run_second_machine()
{
    auto& it = fleet_.hosts[steps_++ % fleet_.hosts.size()];
    log_("a second machine under the name " + it.name);
    fleet_.begin_replacement(it);
    std::this_thread::sleep_for(overlap_leases * fleet_.lease());
    log_("the first machine under the name " + it.name + " ends");
    fleet_.end_replacement(it);
}

void assignment_scenario::move_while_reads_are_stale()
{
    log_(fmt::format("reads stale for {} ms", read_staleness.count()));
    fleet_.store.stale_ms = static_cast<int>(read_staleness.count());
    move_away_and_back();
    log_("rebalance");
    fleet_.store.group().rebalance();
    std::this_thread::sleep_for(fleet_.lease());
    fleet_.store.stale_ms = 0;
}

void assignment_scenario::lose_store_responses()
{
    auto& it = fleet_.hosts[steps_ % fleet_.hosts.size()];
    auto& other = fleet_.hosts[(steps_ + 1) % fleet_.hosts.size()];
    ++steps_;
    log_(
        fmt::format("{} gets no responses of the store, {} stops, rebalance", it.name, other.name));
    it.store_proxy->set_fault(loopback_proxy::fault::drop_responses);
    fleet_.signal(other, SIGTERM);
    fleet_.store.group().rebalance();
    std::this_thread::sleep_for(std::chrono::duration_cast<std::chrono::milliseconds>(
        response_loss_leases * fleet_.lease()));
    it.store_proxy->set_fault(loopback_proxy::fault::none);
    it.store_proxy->reset_all();
}

void assignment_scenario::hold_orders_of_killed_hosts()
{
    auto& it = fleet_.hosts[steps_++ % fleet_.hosts.size()];
    log_(fmt::format("orders held for {} ms, kill {}, rebalance", order_hold.count(), it.name));
    for (auto n = soak_fleet::first_engine; n < fleet_.backends.size(); ++n)
    {
        fleet_.backend_proxies[n]->hold_requests("POST /api/order", order_hold,
                                                 held_orders_per_engine);
    }
    std::this_thread::sleep_for(order_hold_lead);
    fleet_.signal(it, SIGKILL);
    fleet_.store.group().rebalance();
}

void assignment_scenario::step()
{
    auto next = std::chrono::steady_clock::now() + min_step_interval +
                step_interval_leases * fleet_.lease();
    if (what_ == "away_and_back")
    {
        move_away_and_back();
    }
    else if (what_ == "new_topic")
    {
        log_("the assignment topic begins anew, rebalance");
        fleet_.store.begin_anew("shunt-duties");
        fleet_.store.group().rebalance();
    }
    else if (what_ == "older_copy")
    {
        log_(fmt::format("the store is away for {} ms and returns {} ms older, rebalance",
                         store_absence.count(), copy_age.count()));
        fleet_.store.forced_status = 503;
        std::this_thread::sleep_for(store_absence);
        fleet_.store.return_older(copy_age);
        fleet_.store.group().rebalance();
        fleet_.store.forced_status = 0;
    }
    else if (what_ == "other_machine")
    {
        auto& it = fleet_.hosts[steps_++ % fleet_.hosts.size()];
        log_("replace " + it.name);
        replaced_[it.name].push_back(std::chrono::steady_clock::now());
        fleet_.replace(it);
    }
    else if (what_ == "absent_engines")
    {
        move_while_engines_are_absent();
    }
    else if (what_ == "second_machine")
    {
        run_second_machine();
    }
    else if (what_ == "stale_reads")
    {
        move_while_reads_are_stale();
    }
    else if (what_ == "one_way_store")
    {
        lose_store_responses();
    }
    else if (what_ == "held_orders")
    {
        hold_orders_of_killed_hosts();
    }
    std::this_thread::sleep_until(next);
}

} // namespace banyanshunt::soak
