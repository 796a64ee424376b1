#include "stand_ins/placement/placer_group.hpp"

#include <fmt/format.h>

namespace banyanshunt
{
namespace
{

template <class Id, class Object>
void put(state_table<Id, Object>& table, Id id, Object object)
{
    table[std::move(id)] = std::make_shared<const state_entry<Object>>(state_entry<Object>{
        .ticket = ticket_number(1), .offset = log_offset(0), .value = std::move(object)});
}

domain_id domain_name(int domain)
{
    return domain_id(fmt::format("domain-{}", domain));
}

bool checks_fencing(placer_group_options::fencing checks, int server)
{
    using fencing = placer_group_options::fencing;
    return checks == fencing::all || (checks == fencing::mixed && server % 2 == 0);
}

fleet_state_ptr first_state(const placer_group_options& options)
{
    auto state = std::make_shared<fleet_state>();
    for (int n = 0; n < options.domains * options.servers_in_domain; ++n)
    {
        put(state->servers, server_id(fmt::format("server-{}", n)),
            server_object{.kind = server_kind::engine,
                          .domain = domain_name(n % options.domains),
                          .address = fmt::format("engine-{}", n),
                          .memory = mebibytes(40),
                          .checks_fencing =
                              checks_fencing(options.fencing_checks, n / options.domains),
                          .leaving = false});
    }
    for (int n = 0; n < options.models; ++n)
    {
        put(state->models, model_id(fmt::format("model-{}", n)),
            model_object{.version = version_id("v1"),
                         .memory = mebibytes(15),
                         .max_replicas = options.replicas,
                         .max_tokens = 100});
    }
    state->next_offset = log_offset(1);
    return state;
}

domain_placer_options placer_options(const placer_group_options& options, const std::string& name,
                                     int domain, incarnation_id incarnation)
{
    domain_placer_options it;
    it.lease = {.holder = host_id(name),
                .incarnation = incarnation,
                .domain = domain_name(domain),
                .max_order_delay =
                    options.assumed_order_delay.value_or(lease_manager_options().max_order_delay),
                .renew_interval = options.renew_interval};
    if (options.skip_takeover_delay)
    {
        it.lease.terms = {};
    }
    it.slots.writer = host_id(name);
    it.planner.spread_after = milliseconds(500);
    return it;
}

} // namespace

placer_member::placer_member(const placer_group_options& options, memory_log& log,
                             memory_engines& engines, const test_clock& clock, int domain_index,
                             int index, incarnation_id incarnation)
    : name(fmt::format("d{}p{}", domain_index, index)), domain(domain_name(domain_index)),
      link(log, clock, options.links,
           options.seed * 1000 + static_cast<std::uint64_t>(incarnation.count())),
      placer(link, engines, clock, placer_options(options, name, domain_index, incarnation))
{
    placer.set_share({.milliloads_per_second = 3000, .max_loads = 2, .max_adapters = 4});
}

placer_group::placer_group(const placer_group_options& options)
    : engines(clock, {.faults = options.orders, .seed = options.seed}), options_(options),
      state_(first_state(options))
{
    for (const auto& [id, entry] : state_->servers)
    {
        engines.add(entry->value->address, entry->value->memory, entry->value->checks_fencing);
    }
    for (int domain = 0; domain < options.domains; ++domain)
    {
        for (int index = 0; index < options.placers_in_domain; ++index)
        {
            start(domain, index);
        }
    }
}

std::string placer_group::key(int domain, int index) const
{
    return fmt::format("d{}p{}", domain, index);
}

void placer_group::start(int domain, int index)
{
    members_[key(domain, index)] = std::make_unique<placer_member>(
        options_, log, engines, clock, domain, index, incarnation_id(next_incarnation_++));
}

void placer_group::stop(int domain, int index)
{
    members_.erase(key(domain, index));
}

void placer_group::pause(int domain, int index, milliseconds length)
{
    if (placer_member* it = member(domain, index))
    {
        it->paused_until = clock.now() + length;
    }
}

placer_member* placer_group::member(int domain, int index)
{
    auto it = members_.find(key(domain, index));
    return it == members_.end() ? nullptr : it->second.get();
}

void placer_group::add_demand(const model_id& model)
{
    demands_.push_back({.model = model,
                        .adapter = {},
                        .waiting = 1,
                        .deadline = clock.now() + std::chrono::hours(1),
                        .workspace = workspace_id("w")});
}

void placer_group::step(milliseconds by)
{
    clock.advance(by);
    engines.advance();
    for (auto& [name, it] : members_)
    {
        it->link.apply_delayed();
        if (it->paused_until > clock.now())
        {
            continue;
        }
        domain_view view{.state = state_, .placers = {}, .removed = {}, .demands = demands_};
        for (const auto& [other_name, other] : members_)
        {
            // The other placers take a paused process for dead and take over.
            bool alive =
                other->paused_until <= clock.now() && (!other->unlisted || other.get() == it.get());
            if (other->domain == it->domain && alive)
            {
                view.placers.push_back(other->name);
            }
        }
        it->last_step = it->placer.step(view);
    }
}

void placer_group::run_steps(int n)
{
    for (int count = 0; count < n; ++count)
    {
        step();
    }
}

int placer_group::excess() const
{
    int sum = 0;
    for (const auto& [id, entry] : state_->models)
    {
        int decided = entry->value ? entry->value->max_replicas : 0;
        sum += std::max(engines.replicas_of(id) - decided, 0);
    }
    return sum;
}

} // namespace banyanshunt
