#include "stand_ins/placement/memory_engines.hpp"

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

failure refused(run_state run, errc code)
{
    return {.run = run, .code = code, .detail = "no", .retry_after = {}};
}

} // namespace

void memory_engines::add(const std::string& address, mebibytes memory, bool checks_fencing)
{
    engine it;
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
        return refused(run_state::not_run, errc::unreachable);
    }
    if (chance(options_.faults.lost))
    {
        return refused(run_state::may_have_run, errc::timeout);
    }
    if (chance(options_.faults.delayed))
    {
        auto range = static_cast<std::uint64_t>(options_.max_order_delay.count());
        milliseconds delay(static_cast<std::int64_t>(random_() % range));
        late_.push_back({.address = address, .order = order, .at = clock_.now() + delay});
        return refused(run_state::may_have_run, errc::timeout);
    }
    bool taken = apply(address, order);
    if (chance(options_.faults.response_lost))
    {
        return refused(run_state::may_have_run, errc::timeout);
    }
    if (!taken)
    {
        return refused(run_state::not_run, errc::fenced);
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
    engine& to = it->second;
    bool old = order.fencing < to.report.fencing;
    if (old && to.checks_fencing)
    {
        return false;
    }
    stale_orders_ += old ? 1 : 0;
    ++orders_;
    to.report.fencing = std::max(to.report.fencing, order.fencing);
    const held_replica* held = find_replica(to.report, order.model);
    if (order.kind == order_kind::load_model && !held)
    {
        to.report.memory_used += order.memory;
        overcommits_ += to.report.memory_used > to.report.memory_total ? 1 : 0;
        held_replica replica;
        replica.model = order.model;
        replica.version = order.version;
        replica.memory = order.memory;
        to.report.replicas.push_back(std::move(replica));
        to.loading[order.model] = clock_.now() + options_.load_time;
    }
    if (order.kind == order_kind::unload_model && held)
    {
        to.report.memory_used -= held->memory;
        std::erase_if(to.report.replicas,
                      [&](const held_replica& replica) { return replica.model == order.model; });
        to.loading.erase(order.model);
    }
    return true;
}

verdict<engine_report> memory_engines::read_back(const std::string& address)
{
    auto it = engines_.find(address);
    if (it == engines_.end() || chance(options_.faults.report_lost))
    {
        return refused(run_state::not_run, errc::unreachable);
    }
    return it->second.report;
}

void memory_engines::advance()
{
    std::vector<late_order> due;
    for (const auto& it : late_)
    {
        if (it.at <= clock_.now())
        {
            due.push_back(it);
        }
    }
    std::erase_if(late_, [&](const late_order& it) { return it.at <= clock_.now(); });
    for (const auto& it : due)
    {
        apply(it.address, it.order);
    }
    for (auto& [address, it] : engines_)
    {
        for (auto& replica : it.report.replicas)
        {
            auto loading = it.loading.find(replica.model);
            bool over = loading != it.loading.end() && loading->second <= clock_.now();
            replica.phase = over ? replica_phase::ready : replica.phase;
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
