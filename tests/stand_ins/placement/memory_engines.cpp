#include "stand_ins/placement/memory_engines.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

failure engine_failure(run_state run, errc code)
{
    return {.run = run, .code = code, .detail = "stand-in engine failed", .retry_after = {}};
}

} // namespace

void memory_engines::add(const std::string& address, mebibytes memory, bool checks_fencing)
{
    engine it;
    it.report.incarnation = incarnation_id(++last_incarnation_);
    it.report.memory_total = memory;
    it.checks_fencing = checks_fencing;
    engines_[address] = std::move(it);
}

bool memory_engines::chance(int thousandths)
{
    constexpr std::uint64_t thousand = 1000;
    return thousandths > 0 && random_() % thousand < static_cast<std::uint64_t>(thousandths);
}

verdict<done> memory_engines::order(const std::string& address, const engine_order& order)
{
    if (!engines_.contains(address))
    {
        return engine_failure(run_state::not_run, errc::unreachable);
    }
    if (chance(options_.faults.lost))
    {
        return engine_failure(run_state::may_have_run, errc::timeout);
    }
    engine& target = engines_.at(address);
    target.stalled = target.stalled || std::exchange(target.stalls_at_order, false);
    if (order_delay_ || target.stalled)
    {
        delayed_.push_back({.address = address,
                            .order = order,
                            .due = clock_.now() + order_delay_.value_or(milliseconds(0))});
        return engine_failure(run_state::may_have_run, errc::timeout);
    }
    if (chance(options_.faults.delayed))
    {
        auto range = static_cast<std::uint64_t>(options_.max_order_delay.count());
        milliseconds delay(static_cast<std::int64_t>(random_() % range));
        delayed_.push_back({.address = address, .order = order, .due = clock_.now() + delay});
        return engine_failure(run_state::may_have_run, errc::timeout);
    }
    bool accepted = apply(address, order);
    if (chance(options_.faults.response_lost))
    {
        return engine_failure(run_state::may_have_run, errc::timeout);
    }
    if (!accepted)
    {
        return engine_failure(run_state::not_run, errc::fenced);
    }
    return done{};
}

bool memory_engines::apply(const std::string& address, const engine_order& order)
{
    auto it = engines_.find(address);
    if (it == engines_.end())
    {
        return false;
    }
    engine& target = it->second;
    bool is_stale = order.fencing < target.report.fencing;
    if (is_stale && target.checks_fencing)
    {
        return false;
    }
    stale_orders_ += is_stale ? 1 : 0;
    ++orders_;
    if (target.last_fencing != fencing_number() && target.last_fencing != order.fencing)
    {
        auto apart = clock_.now() - target.last_order_at;
        closest_holders_ =
            std::min(closest_holders_, std::chrono::duration_cast<milliseconds>(apart));
    }
    target.last_fencing = order.fencing;
    target.last_order_at = clock_.now();
    target.report.fencing = std::max(target.report.fencing, order.fencing);
    const held_replica* held = find_replica(target.report, order.model);
    if (order.kind == order_kind::load_model && !held)
    {
        target.report.memory_used += order.memory;
        overcommits_ += target.report.memory_used > target.report.memory_total ? 1 : 0;
        held_replica replica;
        replica.model = order.model;
        replica.version = order.version;
        replica.memory = order.memory;
        target.report.replicas.push_back(std::move(replica));
        target.loading[order.model] = clock_.now() + options_.load_time;
    }
    if (order.kind == order_kind::unload_model && held)
    {
        target.report.memory_used -= held->memory;
        std::erase_if(target.report.replicas,
                      [&](const held_replica& replica) { return replica.model == order.model; });
        target.loading.erase(order.model);
    }
    return true;
}

verdict<engine_report> memory_engines::read_back(const std::string& address)
{
    auto it = engines_.find(address);
    if (it == engines_.end() || it->second.stalled || chance(options_.faults.report_lost))
    {
        return engine_failure(run_state::not_run, errc::unreachable);
    }
    return it->second.report;
}

void memory_engines::advance()
{
    auto is_due = [&](const delayed_order& it)
    {
        auto target = engines_.find(it.address);
        return it.due <= clock_.now() && (target == engines_.end() || !target->second.stalled);
    };
    std::vector<delayed_order> due;
    std::copy_if(delayed_.begin(), delayed_.end(), std::back_inserter(due), is_due);
    std::erase_if(delayed_, is_due);
    for (const auto& it : due)
    {
        apply(it.address, it.order);
    }
    for (auto& [address, it] : engines_)
    {
        for (auto& replica : it.report.replicas)
        {
            auto loading = it.loading.find(replica.model);
            bool loaded = loading != it.loading.end() && loading->second <= clock_.now();
            replica.phase = loaded ? replica_phase::ready : replica.phase;
        }
    }
}

int memory_engines::replicas_of(const model_id& model) const
{
    int n = 0;
    for (const auto& [address, it] : engines_)
    {
        n += find_replica(it.report, model) ? 1 : 0;
    }
    return n;
}

} // namespace banyanshunt
