#include "soak/order_faults.hpp"

#include <signal.h>

#include <iterator>

#include <fmt/format.h>

namespace banyanshunt::soak
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

enum class fault_kind
{
    rebalance,
    rebalance_twice,
    lapse,
    freeze_host,
    freeze_host_in_call,
    trouble_store,
    kill_host,
    stop_host,
    freeze_engine,
    freeze_engine_at_order,
    hold_order,
    compact,
    lose_appends,
    rebalance_and_back,
};

/// Drawn with equal probability; kinds that need a second event to matter occur twice.
constexpr fault_kind drawn_kinds[] = {
    fault_kind::rebalance,
    fault_kind::rebalance_twice,
    fault_kind::lapse,
    fault_kind::freeze_host,
    fault_kind::freeze_host_in_call,
    fault_kind::freeze_host_in_call,
    fault_kind::trouble_store,
    fault_kind::trouble_store,
    fault_kind::kill_host,
    fault_kind::stop_host,
    fault_kind::freeze_engine,
    fault_kind::freeze_engine_at_order,
    fault_kind::hold_order,
    fault_kind::compact,
    fault_kind::compact,
    fault_kind::lose_appends,
    fault_kind::lose_appends,
    fault_kind::rebalance_and_back,
};
constexpr fault_kind store_kinds[] = {
    fault_kind::rebalance,          fault_kind::rebalance_twice, fault_kind::lapse,
    fault_kind::trouble_store,      fault_kind::trouble_store,   fault_kind::kill_host,
    fault_kind::stop_host,          fault_kind::compact,         fault_kind::compact,
    fault_kind::lose_appends,       fault_kind::lose_appends,    fault_kind::rebalance_and_back,
    fault_kind::rebalance_and_back,
};

constexpr const char* order_request = "POST /api/order";
constexpr const char* frozen_calls[] = {"/api/log-append", "/api/log-join"};
/// In leases.
constexpr double max_rebalance_interval = 0.5;
/// Hosts stall for up to several leases.
constexpr milliseconds min_host_freeze = 200ms;
constexpr milliseconds max_host_freeze = 4200ms;
/// Engines may be silent for longer than the wait of a new owner.
constexpr milliseconds min_engine_freeze = 300ms;
constexpr milliseconds max_engine_freeze = 6300ms;
constexpr milliseconds min_order_hold = 300ms;
constexpr milliseconds max_order_hold = 6300ms;

constexpr int refused_status = 429;
/// The share of a troubled store's calls that have each fault.
constexpr int refused_percent = 70;
constexpr int late_percent = 30;
constexpr int slow_percent = 60;
constexpr milliseconds min_call_delay = 50ms;
constexpr milliseconds max_carry_out_delay = 4000ms;
/// Below the hosts' timeout of a call, so that late responses are used.
constexpr milliseconds max_response_delay = 950ms;

constexpr int max_staleness = 2;
/// Two for each partition of the group, as a host that gets no response claims again.
constexpr int max_lost_appends = 12;
constexpr milliseconds max_append_delay = 2500ms;
/// Hosts claim what is listed for longer than this.
constexpr milliseconds min_absence = 350ms;
/// In leases: within a membership.
constexpr double max_absence = 0.85;

template <class Random>
milliseconds uniform_length(Random& random, milliseconds min, milliseconds max)
{
    return milliseconds(
        std::uniform_int_distribution<milliseconds::rep>(min.count(), max.count())(random));
}

} // namespace

order_faults::order_faults(soak_fleet& fleet, std::uint64_t seed, order_fault_scope scope,
                           std::function<void(const std::string&)> log)
    : fleet_(fleet), scope_(scope), log_(std::move(log)), random_(seed), call_random_(seed)
{
    fleet_.store.set_call_faults([this](const std::string& path, const std::string& body)
                                 { return decide(path, body); });
}

order_faults::~order_faults()
{
    fleet_.store.set_call_faults(nullptr);
}

int order_faults::draw(int bound)
{
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
}

milliseconds order_faults::draw_length(milliseconds min, milliseconds max)
{
    return uniform_length(random_, min, max);
}

milliseconds order_faults::leases(double n) const
{
    return std::chrono::duration_cast<milliseconds>(n * fleet_.lease());
}

// The bodies of all calls name the host that makes them.
soak_fleet::host* order_faults::find_caller(const std::string& body)
{
    soak_fleet::host* caller = nullptr;
    for (auto& it : fleet_.hosts)
    {
        caller = body.find(it.name) != std::string::npos ? &it : caller;
    }
    return caller;
}

call_fault order_faults::decide(const std::string& path, const std::string& body)
{
    auto* caller = find_caller(body);
    if (!caller)
    {
        return {};
    }
    std::unique_lock lock(mutex_);
    if (call_freeze_ && call_freeze_->path == path)
    {
        auto length = call_freeze_->length;
        call_freeze_.reset();
        lock.unlock();
        freeze(*caller, length);
        return {};
    }
    if (path == "/api/log-append" && append_trouble_.left > 0)
    {
        --append_trouble_.left;
        return {.carry_out_delay = append_trouble_.carry_out_delay, .response_lost = true};
    }
    if (store_trouble_.caller && store_trouble_.caller != caller)
    {
        return {};
    }
    auto chance = [&](int percent)
    { return std::uniform_int_distribution<int>(0, 99)(call_random_) < percent; };
    call_fault fault;
    if (chance(store_trouble_.refused_percent))
    {
        fault.refused_with = refused_status;
    }
    if (chance(store_trouble_.late_percent))
    {
        fault.carry_out_delay = uniform_length(call_random_, min_call_delay, max_carry_out_delay);
    }
    if (chance(store_trouble_.slow_percent))
    {
        fault.response_delay = uniform_length(call_random_, min_call_delay, max_response_delay);
    }
    return fault;
}

void order_faults::trouble_store(const soak_fleet::host& it)
{
    store_trouble now{.caller = draw(2) == 0 ? &it : nullptr,
                      .refused_percent = draw(3) == 0 ? refused_percent : 0,
                      .late_percent = draw(2) == 0 ? late_percent : 0,
                      .slow_percent = draw(2) == 0 ? slow_percent : 0};
    log_(fmt::format("store for {}: {} % refused, {} % late, {} % slow",
                     now.caller ? now.caller->name : "all", now.refused_percent, now.late_percent,
                     now.slow_percent));
    std::lock_guard lock(mutex_);
    store_trouble_ = now;
}

void order_faults::compact_store()
{
    auto staleness = draw(2) == 0 ? draw_length(0ms, leases(max_staleness)) : 0ms;
    log_(fmt::format("reads stale for {} ms, history dropped, rebalance", staleness.count()));
    fleet_.store.stale_ms = static_cast<int>(staleness.count());
    std::this_thread::sleep_for(staleness);
    fleet_.store.drop_history();
    fleet_.store.group().rebalance();
    fleet_.store.stale_ms = 0;
}

void order_faults::lose_appends()
{
    append_trouble next{.left = 1 + draw(max_lost_appends),
                        .carry_out_delay =
                            draw(2) == 0 ? draw_length(min_call_delay, max_append_delay) : 0ms};
    log_(fmt::format("rebalance, {} appends without a response, carried out after {} ms", next.left,
                     next.carry_out_delay.count()));
    {
        std::lock_guard lock(mutex_);
        append_trouble_ = next;
    }
    fleet_.store.group().rebalance();
}

void order_faults::rebalance_and_back()
{
    auto absence = draw_length(min_absence, leases(max_absence));
    log_(fmt::format("rebalance and back after {} ms", absence.count()));
    fleet_.store.group().rebalance();
    std::this_thread::sleep_for(absence);
    fleet_.store.group().undo_rebalance();
}

void order_faults::freeze(soak_fleet::host& it, milliseconds length)
{
    if (!fleet_.pause(it))
    {
        return;
    }
    log_(fmt::format("freeze {} for {} ms", it.name, length.count()));
    std::lock_guard lock(mutex_);
    thaws_.emplace_back(
        [this, &it, length]
        {
            std::this_thread::sleep_for(length);
            resume(it);
        });
}

void order_faults::resume(soak_fleet::host& it)
{
    if (auto at = fleet_.resume(it))
    {
        log_("resumed " + it.name);
        std::lock_guard lock(mutex_);
        history_.resumed[it.name].push_back(*at);
    }
}

void order_faults::inject()
{
    auto& it = fleet_.hosts[static_cast<std::size_t>(draw(static_cast<int>(fleet_.hosts.size())))];
    auto engines = fleet_.backends.size() - soak_fleet::first_engine;
    auto n = soak_fleet::first_engine + static_cast<std::size_t>(draw(static_cast<int>(engines)));
    auto& engine_proxy = *fleet_.backend_proxies[n];
    auto engine = soak_fleet::server_name(n);
    auto kind = scope_ == order_fault_scope::store
                    ? store_kinds[draw(static_cast<int>(std::size(store_kinds)))]
                    : drawn_kinds[draw(static_cast<int>(std::size(drawn_kinds)))];
    switch (kind)
    {
    case fault_kind::rebalance:
        log_("rebalance");
        fleet_.store.group().rebalance();
        break;
    case fault_kind::rebalance_twice:
        log_("rebalance twice");
        fleet_.store.group().rebalance();
        std::this_thread::sleep_for(draw_length(0ms, leases(max_rebalance_interval)));
        fleet_.store.group().rebalance();
        break;
    case fault_kind::lapse:
        log_("memberships lapse");
        fleet_.store.group().lapse();
        break;
    case fault_kind::freeze_host:
        freeze(it, draw_length(min_host_freeze, max_host_freeze));
        break;
    case fault_kind::freeze_host_in_call:
    {
        call_freeze next{.path = frozen_calls[draw(static_cast<int>(std::size(frozen_calls)))],
                         .length = draw_length(min_host_freeze, max_host_freeze)};
        log_(fmt::format("freeze the caller of the next {}", next.path));
        std::lock_guard lock(mutex_);
        call_freeze_ = next;
        break;
    }
    case fault_kind::trouble_store:
        trouble_store(it);
        break;
    case fault_kind::compact:
        compact_store();
        break;
    case fault_kind::lose_appends:
        lose_appends();
        break;
    case fault_kind::rebalance_and_back:
        rebalance_and_back();
        break;
    case fault_kind::kill_host:
        log_("kill " + it.name);
        fleet_.signal(it, SIGKILL);
        break;
    case fault_kind::stop_host:
        log_("stop " + it.name);
        fleet_.signal(it, SIGTERM);
        break;
    case fault_kind::freeze_engine:
    {
        auto length = draw_length(min_engine_freeze, max_engine_freeze);
        log_(fmt::format("freeze {} for {} ms", engine, length.count()));
        engine_proxy.freeze(length);
        break;
    }
    case fault_kind::freeze_engine_at_order:
    {
        auto length = draw_length(min_engine_freeze, max_engine_freeze);
        log_(fmt::format("freeze {} for {} ms at its next order", engine, length.count()));
        engine_proxy.freeze_at(order_request, length);
        break;
    }
    case fault_kind::hold_order:
    {
        auto length = draw_length(min_order_hold, max_order_hold);
        log_(fmt::format("hold the next order of {} for {} ms", engine, length.count()));
        engine_proxy.hold_requests(order_request, length, 1);
        break;
    }
    }
}

void order_faults::restore_store()
{
    std::lock_guard lock(mutex_);
    store_trouble_ = {};
    append_trouble_ = {};
    call_freeze_.reset();
}

void order_faults::heal()
{
    restore_store();
    for (auto& it : fleet_.backend_proxies)
    {
        it->freeze_at("", 0ms);
        it->hold_requests("", 0ms);
    }
    for (auto& it : fleet_.hosts)
    {
        resume(it);
    }
}

order_disturbances order_faults::history() const
{
    std::lock_guard lock(mutex_);
    auto history = history_;
    for (std::size_t n = 0; n < fleet_.backend_proxies.size(); ++n)
    {
        history.restored_links[n] = fleet_.backend_proxies[n]->hold_ends();
    }
    return history;
}

} // namespace banyanshunt::soak
