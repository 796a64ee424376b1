#include "soak/config_faults.hpp"

#include <signal.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <thread>

#include <fmt/format.h>

namespace banyanshunt::soak
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using fault = loopback_proxy::fault;

constexpr const char* documented[] = {"sound",      "unnoticed", "compacted", "cut",
                                      "unanswered", "reset",     "refused",   "slow",
                                      "frozen",     "killed",    "stopped",   "starved"};
constexpr const char* undocumented[] = {"late_waits", "stale", "stale_items", "older_copy"};
/// Less than a host waits for an overdue response.
constexpr milliseconds wait_delay = 250ms;
constexpr int pair_percent = 40;
constexpr int close_percent = 40;
/// By the platform documentation, before the history is dropped and the reads that wait are cut.
constexpr milliseconds compaction_time = 1000ms;
constexpr milliseconds staleness = 2500ms;
constexpr milliseconds store_absence = 400ms;
constexpr milliseconds copy_age = 4000ms;
/// A process that has a quarter of a core, which is held up for a part of each period.
constexpr auto starved_run = 25ms;
constexpr auto starved_pause = 75ms;
/// From the start of a process on.
constexpr auto start_time = 2s;

} // namespace

config_faults::config_faults(soak_fleet& fleet, std::uint64_t seed, std::string scenario,
                             std::function<void(const std::string&)> log)
    : fleet_(fleet), random_(seed), scenario_(std::move(scenario)), log_(std::move(log))
{
    auto is_known = [&](const auto& list)
    { return std::ranges::find(list, scenario_) != std::end(list); };
    if (!scenario_.empty() && !is_known(documented) && !is_known(undocumented))
    {
        throw std::invalid_argument("no scenario " + scenario_);
    }
}

milliseconds config_faults::draw_length(int min_ms, int max_ms)
{
    return milliseconds(min_ms + draw(max_ms - min_ms));
}

void config_faults::record_restart(std::size_t host)
{
    auto now = std::chrono::steady_clock::now();
    disturbances_.push_back(
        {.host = host, .from = now, .to = now + start_time, .ends_process = true});
}

void config_faults::compact()
{
    fleet_.store.unnoticed_ms = static_cast<int>(compaction_time.count());
    std::this_thread::sleep_for(compaction_time);
    fleet_.store.drop_history();
    for (auto& it : fleet_.hosts)
    {
        it.store_proxy->reset_all();
    }
    fleet_.store.unnoticed_ms = 0;
}

void config_faults::starve(milliseconds length)
{
    auto until = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < until)
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

config_faults::active_fault config_faults::begin_at_host(const std::string& kind, std::size_t host)
{
    auto& it = fleet_.hosts[host];
    active_fault now{.disturbance = {.host = host}};
    if (kind == "cut")
    {
        it.store_proxy->set_fault(draw(2) == 0 ? fault::drop_requests : fault::drop_responses);
        now.end = [&it] { it.store_proxy->set_fault(fault::none); };
    }
    else if (kind == "unanswered")
    {
        it.store_proxy->blackhole_all();
    }
    else if (kind == "reset")
    {
        it.store_proxy->reset_all();
    }
    else if (kind == "frozen")
    {
        fleet_.pause(it);
        now.end = [this, &it] { fleet_.resume(it); };
    }
    else
    {
        now.disturbance.ends_process = true;
        fleet_.signal(it, kind == "killed" ? SIGKILL : SIGTERM);
    }
    return now;
}

config_faults::active_fault config_faults::begin(const std::string& kind)
{
    active_fault now;
    auto& store = fleet_.store;
    auto set_links = [this](fault to)
    {
        for (auto& it : fleet_.hosts)
        {
            it.store_proxy->set_fault(to);
        }
    };
    log_(kind);
    now.disturbance.from = std::chrono::steady_clock::now();
    if (kind == "sound" || kind == "unnoticed")
    {
        now.excuses = false;
    }
    else if (kind == "late_waits")
    {
        now.excuses = false;
        store.wait_delay_ms = static_cast<int>(wait_delay.count());
    }
    else if (kind == "starved")
    {
        // A share of the processor is what a machine has; it is no fault of it.
        now.excuses = false;
        starve(draw_length(2000, 5000));
    }
    else if (kind == "compacted")
    {
        compact();
    }
    else if (kind == "refused")
    {
        now.disturbance.stops_store = true;
        store.forced_status = draw(2) == 0 ? 503 : 429;
        now.end = [&store] { store.forced_status = 0; };
    }
    else if (kind == "slow")
    {
        now.disturbance.stops_store = true;
        set_links(fault::delay);
        now.end = [set_links] { set_links(fault::none); };
    }
    else if (kind == "stale")
    {
        store.stale_ms = static_cast<int>(staleness.count());
        now.end = [&store] { store.stale_ms = 0; };
    }
    else if (kind == "stale_items")
    {
        store.stale_items_ms = static_cast<int>(staleness.count());
        compact();
        now.end = [&store] { store.stale_items_ms = 0; };
    }
    else if (kind == "older_copy")
    {
        now.disturbance.stops_store = true;
        store.forced_status = 503;
        std::this_thread::sleep_for(store_absence);
        store.return_older(copy_age);
        store.forced_status = 0;
    }
    else
    {
        auto host = static_cast<std::size_t>(draw(static_cast<int>(fleet_.hosts.size())));
        auto at_host = begin_at_host(kind, host);
        at_host.disturbance.from = now.disturbance.from;
        return at_host;
    }
    return now;
}

void config_faults::step()
{
    std::vector<active_fault> active;
    for (int left = draw(100) < pair_percent ? 2 : 1; left > 0; --left)
    {
        active.push_back(begin(scenario_.empty()
                                   ? documented[draw(static_cast<int>(std::size(documented)))]
                                   : scenario_));
    }
    std::this_thread::sleep_for(draw_length(300, 4000));
    for (auto& it : active)
    {
        it.end();
        it.disturbance.to = std::chrono::steady_clock::now();
        if (it.excuses)
        {
            disturbances_.push_back(it.disturbance);
        }
    }
    // Half of the faults follow each other so closely that nothing is judged between them.
    std::this_thread::sleep_for(draw(100) < close_percent ? draw_length(50, 1000)
                                                          : draw_length(3000, 6000));
}

} // namespace banyanshunt::soak
