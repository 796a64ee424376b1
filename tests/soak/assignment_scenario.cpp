#include "soak/assignment_scenario.hpp"

#include <signal.h>

#include <algorithm>
#include <iterator>
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

constexpr const char* series_kinds[] = {"killed",  "restarted",      "frozen",
                                        "cut_off", "store_troubled", "dealt_anew",
                                        "starved", "killed_at_order"};
constexpr int series_interval_leases = 4;
constexpr auto stop_interval = 1500ms;
/// Beyond a membership.
constexpr std::chrono::milliseconds host_freeze = 4500ms;
constexpr auto cut_length = 5s;
constexpr auto store_outage = 4s;
constexpr auto slow_length = 5s;
constexpr auto slow_call = 200ms;
/// Every so many calls to a troubled store lose their response.
constexpr int lost_response_interval = 4;
/// Starved hosts run for a fifth of the time, which excuses none of their orders.
constexpr auto starved_run = 25ms;
constexpr auto starved_pause = 100ms;
constexpr int starved_rounds = 40;
/// Until another host has claimed the partitions of one that was killed.
constexpr int absence_leases = 2;
constexpr int watch_leases = 8;

} // namespace

assignment_scenario::assignment_scenario(soak_fleet& fleet, std::string what,
                                         const assignment_scenario_options& options,
                                         std::function<void(const std::string&)> log)
    : fleet_(fleet), what_(std::move(what)), options_(options), log_(std::move(log))
{
    std::set<std::string> known = {"away_and_back",  "other_parts",   "new_topic",
                                   "older_copy",     "other_machine", "absent_engines",
                                   "second_machine", "stale_reads",   "one_way_store",
                                   "held_orders",    "all_series"};
    known.insert(std::begin(series_kinds), std::end(series_kinds));
    if (!known.contains(what_))
    {
        throw std::invalid_argument("no scenario " + what_);
    }
    fleet_.store.set_call_faults([this](const std::string& path, const std::string& body)
                                 { return decide(path, body); });
}

assignment_scenario::~assignment_scenario()
{
    fleet_.store.set_call_faults(nullptr);
}

call_fault assignment_scenario::decide(const std::string& path, const std::string& body)
{
    if (path == "/api/log-leave" && what_ == "one_way_store")
    {
        return {.carry_out_delay = leave_delay};
    }
    std::lock_guard lock(mutex_);
    if (store_is_troubled_)
    {
        return {.response_delay = slow_call,
                .response_lost = ++troubled_calls_ % lost_response_interval == 0};
    }
    bool concerned = path == "/api/log-join" && !delayed_member_.empty() &&
                     body.find('"' + delayed_member_ + '"') != std::string::npos;
    if (!concerned)
    {
        return {};
    }
    return {.carry_out_delay = std::exchange(joined_, true) ? join_delay() : 0ms};
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

void assignment_scenario::return_older()
{
    auto n = fleet_.hosts.size();
    std::size_t killed = options_.killed == killed_hosts::half  ? n / 2
                         : options_.killed == killed_hosts::one ? 1
                                                                : 0;
    auto kill = [&](std::size_t first)
    {
        for (std::size_t k = 0; k < killed; ++k)
        {
            fleet_.signal(fleet_.hosts[(first + k) % n], SIGKILL);
        }
    };
    if (killed > 0)
    {
        // Their partitions are claimed by others before the log goes back.
        log_(fmt::format("{} hosts killed", killed));
        kill(steps_ * killed);
        wait_for(absence_leases * fleet_.lease());
    }
    log_(fmt::format("the store is away for {} ms and returns {} ms older, {} hosts killed, "
                     "rebalance",
                     store_absence.count(), options_.copy_age.count(), killed));
    fleet_.store.forced_status = 503;
    kill((steps_ + 1) * killed);
    std::this_thread::sleep_for(store_absence);
    fleet_.store.return_older(options_.copy_age);
    fleet_.store.group().rebalance();
    fleet_.store.forced_status = 0;
    ++steps_;
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

void assignment_scenario::wait_until(std::chrono::steady_clock::time_point until)
{
    while (std::chrono::steady_clock::now() < until)
    {
        for (auto& it : fleet_.hosts)
        {
            if (fleet_.reap(it))
            {
                fleet_.start(it);
            }
        }
        std::this_thread::sleep_for(20ms);
    }
}

void assignment_scenario::wait_for(std::chrono::milliseconds length)
{
    wait_until(std::chrono::steady_clock::now() + length);
}

void assignment_scenario::kill_hosts()
{
    auto n = fleet_.hosts.size();
    std::size_t most = 2 * n / 3;
    auto first = steps_ % n;
    log_(fmt::format("kill {}, then the new holder of a partition, then {} hosts at once",
                     fleet_.hosts[first].name, most));
    fleet_.signal(fleet_.hosts[first], SIGKILL);
    wait_for(fleet_.lease());
    fleet_.store.group().rebalance();
    wait_for(fleet_.lease() / 2);
    for (auto& it : fleet_.hosts)
    {
        if (it.name + "@" + it.ip == fleet_.store.group().holder_of(moved_partition))
        {
            log_("kill " + it.name);
            fleet_.signal(it, SIGKILL);
        }
    }
    wait_for(2 * fleet_.lease());
    for (std::size_t k = 0; k < most; ++k)
    {
        fleet_.signal(fleet_.hosts[(first + k) % n], SIGKILL);
    }
}

void assignment_scenario::kill_at_late_orders()
{
    auto half = static_cast<std::ptrdiff_t>(fleet_.hosts.size() / 2);
    auto until = std::chrono::steady_clock::now() + watch_leases * fleet_.lease();
    std::map<std::string, std::chrono::steady_clock::time_point> returns;
    std::map<std::size_t, std::size_t> seen;
    for (std::size_t n = soak_fleet::first_engine; n < fleet_.backends.size(); ++n)
    {
        seen[n] = fleet_.backends[n]->received_orders().size();
    }
    for (auto now = until; (now = std::chrono::steady_clock::now()) < until;)
    {
        auto is_away = [&](const auto& it) { return returns[it.name] > now; };
        for (std::size_t n = soak_fleet::first_engine; n < fleet_.backends.size(); ++n)
        {
            auto orders = fleet_.backends[n]->received_orders();
            for (auto& k = seen[n]; k < orders.size(); ++k)
            {
                auto it =
                    std::ranges::find(fleet_.hosts, orders[k].holder, &soak_fleet::host::name);
                if (orders[k].is_late && it != fleet_.hosts.end() && !is_away(*it) &&
                    std::ranges::count_if(fleet_.hosts, is_away) < half)
                {
                    log_("kill " + it->name);
                    fleet_.signal(*it, SIGKILL);
                    returns[it->name] = now + absence_leases * fleet_.lease();
                }
            }
        }
        for (auto& it : fleet_.hosts)
        {
            if (fleet_.reap(it) && !is_away(it))
            {
                fleet_.start(it);
            }
        }
        std::this_thread::sleep_for(5ms);
    }
}

void assignment_scenario::restart_in_turn()
{
    log_("stop all hosts in turn");
    for (auto& it : fleet_.hosts)
    {
        fleet_.signal(it, SIGTERM);
        wait_for(stop_interval);
    }
}

void assignment_scenario::freeze_half()
{
    log_(fmt::format("freeze half of the hosts for {} ms each, in turn", host_freeze.count()));
    auto length = host_freeze / 3;
    std::size_t half = fleet_.hosts.size() / 2;
    auto host = [&](std::size_t k) -> auto&
    {
        return fleet_.hosts[(steps_ + k) % fleet_.hosts.size()];
    };
    // Each freeze overlaps the two before.
    for (std::size_t k = 0; k < half + 3; ++k)
    {
        if (k >= 3)
        {
            auto& it = host(k - 3);
            if (auto at = fleet_.resume(it))
            {
                resumed_[it.name].push_back(*at);
            }
        }
        if (k < half)
        {
            fleet_.pause(host(k));
        }
        wait_for(length);
    }
}

void assignment_scenario::cut_half_off()
{
    auto half = fleet_.hosts.size() / 2;
    log_("cut half of the hosts off the store");
    auto set_all = [&](bool cut)
    {
        for (std::size_t k = 0; k < half; ++k)
        {
            fleet_.hosts[(steps_ + k) % fleet_.hosts.size()].store_proxy->set_fault(
                !cut         ? loopback_proxy::fault::none
                : k % 2 == 0 ? loopback_proxy::fault::drop_requests
                             : loopback_proxy::fault::drop_responses);
        }
    };
    set_all(true);
    wait_for(cut_length);
    set_all(false);
}

void assignment_scenario::trouble_store()
{
    log_("the store is away, memberships lapse, then it is slow and loses responses");
    fleet_.store.forced_status = 503;
    wait_for(store_outage);
    fleet_.store.group().lapse();
    fleet_.store.forced_status = 0;
    auto set = [&](bool troubled)
    {
        std::lock_guard lock(mutex_);
        store_is_troubled_ = troubled;
    };
    set(true);
    wait_for(slow_length);
    set(false);
}

void assignment_scenario::deal_anew()
{
    log_("history dropped, rebalance");
    fleet_.store.drop_history();
    fleet_.store.group().rebalance();
}

void assignment_scenario::starve_hosts()
{
    log_("hosts starved, rebalance");
    fleet_.store.group().rebalance();
    for (int n = 0; n < starved_rounds; ++n)
    {
        for (auto& it : fleet_.hosts)
        {
            fleet_.pause(it);
        }
        std::this_thread::sleep_for(starved_pause);
        for (auto& it : fleet_.hosts)
        {
            fleet_.resume(it);
        }
        std::this_thread::sleep_for(starved_run);
    }
}

void assignment_scenario::step_series()
{
    auto next = std::chrono::steady_clock::now() + series_interval_leases * fleet_.lease();
    std::string now =
        what_ == "all_series" ? series_kinds[steps_ % std::size(series_kinds)] : what_;
    if (now == "killed")
    {
        kill_hosts();
    }
    else if (now == "restarted")
    {
        restart_in_turn();
    }
    else if (now == "frozen")
    {
        freeze_half();
    }
    else if (now == "cut_off")
    {
        cut_half_off();
    }
    else if (now == "store_troubled")
    {
        trouble_store();
    }
    else if (now == "dealt_anew")
    {
        deal_anew();
    }
    else if (now == "killed_at_order")
    {
        kill_at_late_orders();
    }
    else
    {
        starve_hosts();
    }
    ++steps_;
    wait_until(next);
}

void assignment_scenario::step()
{
    if (what_ == "all_series" || std::ranges::find(series_kinds, what_) != std::end(series_kinds))
    {
        step_series();
        return;
    }
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
        return_older();
        wait_until(next);
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
