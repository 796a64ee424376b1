#include "coordination/replica_dispatcher.hpp"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "coordination/wait_estimate.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds come_back(1000);

failure refusal(errc code, std::string detail, std::optional<milliseconds> retry_after)
{
    return {.run = run_state::not_run,
            .code = code,
            .detail = std::move(detail),
            .retry_after = retry_after};
}

} // namespace

replica_dispatcher::replica_dispatcher(const replica_dispatcher_options& options)
    : options_(options), queue_(options.max_waiting), health_(options.health), random_(options.seed)
{
}

void replica_dispatcher::set_replicas(replica_table table)
{
    std::lock_guard lock(mutex_);
    table_ = std::move(table);
    at_report_ = in_flight_;
    serve_waiting(boot_clock().now());
}

// A report is old: it is corrected by what this host has begun and ended since, and the host knows
// at least what it has under way itself.
int replica_dispatcher::load_of(const ready_replica& replica) const
{
    auto count = [&](const std::map<server_id, int>& from)
    {
        auto it = from.find(replica.server);
        return it == from.end() ? 0 : it->second;
    };
    int own = count(in_flight_);
    return std::max(own, replica.load + own - count(at_report_));
}

std::optional<ready_replica> replica_dispatcher::choose(const replica_filter& filter, instant now)
{
    replica_table usable;
    for (const auto& replica : table_.replicas)
    {
        bool may = can_serve(replica, filter) && !leaving_.contains(replica.server) &&
                   health_.usable(replica.server, now);
        if (may)
        {
            usable.replicas.push_back(replica);
            usable.replicas.back().load = load_of(replica);
        }
    }
    return choose_replica(usable, filter, options_.choice, random_);
}

std::optional<failure> replica_dispatcher::refuse_at_door(const dispatch_request& wait,
                                                          instant now) const
{
    wait_inputs facts;
    queue_.for_each([&](const waiting_request& it)
                    { facts.waiting += it.filter.model == wait.filter.model ? 1 : 0; });
    facts.own_waiting = queue_.waiting_count(wait.workspace);
    facts.workspaces = queue_.workspace_count() + (facts.own_waiting == 0 ? 1 : 0);
    for (const auto& replica : table_.replicas)
    {
        bool counts = can_serve(replica, wait.filter) && !leaving_.contains(replica.server);
        facts.slots += counts ? static_cast<std::size_t>(options_.choice.slots) : 0;
    }
    auto held = holds_.find(wait.filter.model);
    if (held != holds_.end())
    {
        facts.hold_time = std::chrono::ceil<milliseconds>(held->second);
    }
    auto expected = estimate_wait(facts);
    if (!expected || now + *expected <= wait.deadline)
    {
        return std::nullopt;
    }
    return refusal(
        errc::deadline,
        fmt::format("{} requests wait ahead, for about {} ms", facts.waiting, expected->count()),
        std::max(come_back, *expected));
}

// Answers the waiting requests that a replica can take now, in fair order.
void replica_dispatcher::serve_waiting(instant now)
{
    std::optional<ready_replica> chosen;
    std::vector<replica_filter> hopeless;
    auto place = [&](const waiting_request& it)
    {
        bool known = std::any_of(hopeless.begin(), hopeless.end(),
                                 [&](const replica_filter& other) {
                                     return other.model == it.filter.model &&
                                            other.adapter == it.filter.adapter;
                                 });
        if (known || it.deadline <= now)
        {
            return false;
        }
        chosen = choose(it.filter, now);
        if (!chosen)
        {
            hopeless.push_back(it.filter);
        }
        return chosen.has_value();
    };
    while (auto next = queue_.take_next(place))
    {
        ++in_flight_[chosen->server];
        health_.record_sent(chosen->server);
        answer(next->number, *chosen);
    }
}

void replica_dispatcher::answer(std::uint64_t number, verdict<ready_replica> with)
{
    auto it = waiters_.find(number);
    if (it != waiters_.end())
    {
        it->second->answer = std::move(with);
        it->second->answered.notify_one();
    }
}

verdict<ready_replica> replica_dispatcher::acquire(const dispatch_request& wait)
{
    std::unique_lock lock(mutex_);
    instant now = boot_clock().now();
    if (auto why = refuse_at_door(wait, now))
    {
        return *why;
    }
    std::uint64_t number = next_number_++;
    waiting_request it{.number = number,
                       .filter = wait.filter,
                       .workspace = wait.workspace,
                       .key = wait.key,
                       .cost = wait.cost,
                       .deadline = wait.deadline};
    if (!queue_.push(it))
    {
        return refusal(errc::queue_full, fmt::format("{} requests wait already", queue_.size()),
                       come_back);
    }
    waiter self;
    self.wait = &wait;
    waiters_.emplace(number, &self);
    serve_waiting(now);
    if (!self.answer && wait.on_wait)
    {
        wait.on_wait();
    }
    while (!self.answer && now < wait.deadline)
    {
        self.answered.wait_for(lock, wait.deadline - now);
        now = boot_clock().now();
    }
    waiters_.erase(number);
    if (!self.answer)
    {
        queue_.remove(number);
        return refusal(errc::deadline, "no replica became ready in time", come_back);
    }
    return *self.answer;
}

void replica_dispatcher::release(const ready_replica& replica, instant since,
                                 server_outcome outcome)
{
    std::lock_guard lock(mutex_);
    instant now = boot_clock().now();
    --in_flight_[replica.server];
    health_.record_outcome(replica.server, outcome, now, random_);
    if (outcome == server_outcome::responded)
    {
        note_hold(replica.model, now - since);
    }
    serve_waiting(now);
}

void replica_dispatcher::note_hold(const model_id& model, std::chrono::nanoseconds held)
{
    constexpr int weight_of_past = 7;
    auto [it, fresh] = holds_.try_emplace(model, held);
    if (!fresh)
    {
        it->second = (it->second * weight_of_past + held) / (weight_of_past + 1);
    }
}

void replica_dispatcher::sweep(const key_predicate& in_force, std::set<server_id> leaving)
{
    std::lock_guard lock(mutex_);
    leaving_ = std::move(leaving);
    auto withdrawn = queue_.extract_if([&](const waiting_request& it)
                                       { return !in_force(it.key, it.workspace); });
    for (const auto& it : withdrawn)
    {
        answer(it.number, refusal(errc::key_refused, "the key was withdrawn", {}));
    }
    auto gone = queue_.extract_if(
        [&](const waiting_request& it)
        {
            const dispatch_request& wait = *waiters_.at(it.number)->wait;
            return wait.caller_disconnected && wait.caller_disconnected();
        });
    for (const auto& it : gone)
    {
        answer(it.number, refusal(errc::cancelled, "the caller went away", {}));
    }
    serve_waiting(boot_clock().now());
}

void replica_dispatcher::reject_unmeetable(const std::map<model_id, instant>& ready_at)
{
    std::lock_guard lock(mutex_);
    auto expected = [&](const waiting_request& it)
    {
        auto ready = ready_at.find(it.filter.model);
        return ready == ready_at.end() ? instant() : ready->second;
    };
    auto hopeless =
        queue_.extract_if([&](const waiting_request& it) { return expected(it) > it.deadline; });
    instant now = boot_clock().now();
    for (const auto& it : hopeless)
    {
        auto left = std::chrono::ceil<milliseconds>(expected(it) - now);
        answer(it.number,
               refusal(errc::deadline,
                       fmt::format("the model is expected to be ready in {} ms", left.count()),
                       std::max(come_back, left)));
    }
}

std::vector<replica_demand> replica_dispatcher::demands() const
{
    std::lock_guard lock(mutex_);
    std::vector<replica_demand> needs;
    queue_.for_each(
        [&](const waiting_request& wait)
        {
            auto it = std::find_if(needs.begin(), needs.end(),
                                   [&](const replica_demand& need) {
                                       return need.model == wait.filter.model &&
                                              need.adapter == wait.filter.adapter;
                                   });
            if (it == needs.end())
            {
                needs.push_back({.model = wait.filter.model,
                                 .adapter = wait.filter.adapter,
                                 .waiting = 1,
                                 .deadline = wait.deadline,
                                 .workspace = wait.workspace});
                return;
            }
            ++it->waiting;
            it->last_deadline = std::max(it->last_deadline, wait.deadline);
            if (wait.deadline < it->deadline)
            {
                it->deadline = wait.deadline;
                it->workspace = wait.workspace;
            }
        });
    return needs;
}

std::size_t replica_dispatcher::waiting() const
{
    std::lock_guard lock(mutex_);
    return queue_.size();
}

int replica_dispatcher::in_flight(const server_id& server) const
{
    std::lock_guard lock(mutex_);
    auto it = in_flight_.find(server);
    return it == in_flight_.end() ? 0 : it->second;
}

} // namespace banyanshunt
