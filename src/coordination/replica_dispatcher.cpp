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

constexpr milliseconds min_retry_after(1000);

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
    in_flight_at_report_ = in_flight_;
    serve_waiting(boot_clock().now());
}

// The last report is outdated: corrects it by the requests that this host has started and ended
// since. The load is at least the number of requests that this host has in flight itself.
int replica_dispatcher::load_of(const ready_replica& replica) const
{
    auto count = [&](const std::map<server_id, int>& from)
    {
        auto it = from.find(replica.server);
        return it == from.end() ? 0 : it->second;
    };
    int own = count(in_flight_);
    return std::max(own, replica.load + own - count(in_flight_at_report_));
}

std::optional<ready_replica> replica_dispatcher::choose(const replica_filter& filter, instant now)
{
    replica_table usable;
    for (const auto& replica : table_.replicas)
    {
        bool eligible = can_serve(replica, filter) && !draining_.contains(replica.server) &&
                        health_.usable(replica.server, now);
        if (eligible)
        {
            usable.replicas.push_back(replica);
            usable.replicas.back().load = load_of(replica);
        }
    }
    return choose_replica(usable, filter, options_.choice, random_);
}

std::optional<failure> replica_dispatcher::refuse_on_arrival(const dispatch_request& request,
                                                             instant now) const
{
    wait_inputs inputs;
    queue_.for_each([&](const waiting_request& it)
                    { inputs.waiting += it.filter.model == request.filter.model ? 1 : 0; });
    inputs.own_waiting = queue_.waiting_count(request.workspace);
    inputs.workspaces = queue_.workspace_count() + (inputs.own_waiting == 0 ? 1 : 0);
    for (const auto& replica : table_.replicas)
    {
        bool counts = can_serve(replica, request.filter) && !draining_.contains(replica.server);
        inputs.slots += counts ? static_cast<std::size_t>(options_.choice.slots) : 0;
    }
    auto held = hold_times_.find(request.filter.model);
    if (held != hold_times_.end())
    {
        inputs.hold_time = std::chrono::ceil<milliseconds>(held->second);
    }
    auto expected = estimate_wait(inputs);
    if (!expected || now + *expected <= request.deadline)
    {
        return std::nullopt;
    }
    return refusal(
        errc::deadline,
        fmt::format(
            "{} requests are waiting ahead; the estimated wait of {} ms ends after the deadline",
            inputs.waiting, expected->count()),
        std::max(min_retry_after, *expected));
}

// Assigns replicas to the waiting requests that can be served now, in fair order.
void replica_dispatcher::serve_waiting(instant now)
{
    std::optional<ready_replica> chosen;
    std::vector<replica_filter> unserved;
    auto permit = [&](const waiting_request& it)
    {
        bool known = std::any_of(unserved.begin(), unserved.end(),
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
            unserved.push_back(it.filter);
        }
        return chosen.has_value();
    };
    while (auto next = queue_.take_next(permit))
    {
        ++in_flight_[chosen->server];
        health_.record_sent(chosen->server);
        complete(next->number, *chosen);
    }
}

void replica_dispatcher::complete(std::uint64_t number, verdict<ready_replica> result)
{
    auto it = waiters_.find(number);
    if (it != waiters_.end())
    {
        it->second->result = std::move(result);
        it->second->completed.notify_one();
    }
}

verdict<ready_replica> replica_dispatcher::acquire(const dispatch_request& request)
{
    std::unique_lock lock(mutex_);
    instant now = boot_clock().now();
    if (auto rejection = refuse_on_arrival(request, now))
    {
        return *rejection;
    }
    std::uint64_t number = next_number_++;
    waiting_request it{.number = number,
                       .filter = request.filter,
                       .workspace = request.workspace,
                       .key = request.key,
                       .cost = request.cost,
                       .deadline = request.deadline};
    if (!queue_.push(it))
    {
        return refusal(errc::queue_full,
                       fmt::format("the queue is full: {} requests are waiting", queue_.size()),
                       min_retry_after);
    }
    waiter self;
    self.request = &request;
    waiters_.emplace(number, &self);
    serve_waiting(now);
    if (!self.result && request.on_wait)
    {
        request.on_wait();
    }
    while (!self.result && now < request.deadline)
    {
        self.completed.wait_for(lock, request.deadline - now);
        now = boot_clock().now();
    }
    waiters_.erase(number);
    if (!self.result)
    {
        queue_.remove(number);
        return refusal(errc::deadline, "no replica became ready before the deadline",
                       min_retry_after);
    }
    return *self.result;
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
        record_hold_time(replica.model, now - since);
    }
    serve_waiting(now);
}

void replica_dispatcher::record_hold_time(const model_id& model, std::chrono::nanoseconds held)
{
    constexpr int weight_of_past = 7;
    auto [it, is_new] = hold_times_.try_emplace(model, held);
    if (!is_new)
    {
        it->second = (it->second * weight_of_past + held) / (weight_of_past + 1);
    }
}

void replica_dispatcher::sweep(const key_predicate& key_valid, std::set<server_id> draining)
{
    std::lock_guard lock(mutex_);
    draining_ = std::move(draining);
    auto withdrawn = queue_.extract_if([&](const waiting_request& it)
                                       { return !key_valid(it.key, it.workspace); });
    for (const auto& it : withdrawn)
    {
        complete(it.number, refusal(errc::key_refused, "the key was withdrawn", {}));
    }
    auto disconnected = queue_.extract_if(
        [&](const waiting_request& it)
        {
            const dispatch_request& request = *waiters_.at(it.number)->request;
            return request.caller_disconnected && request.caller_disconnected();
        });
    for (const auto& it : disconnected)
    {
        complete(it.number, refusal(errc::cancelled, "the caller went away", {}));
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
    auto unmeetable =
        queue_.extract_if([&](const waiting_request& it) { return expected(it) > it.deadline; });
    instant now = boot_clock().now();
    for (const auto& it : unmeetable)
    {
        auto left = std::chrono::ceil<milliseconds>(expected(it) - now);
        complete(it.number,
                 refusal(errc::deadline,
                         fmt::format("the model is expected to be ready in {} ms", left.count()),
                         std::max(min_retry_after, left)));
    }
}

std::vector<replica_demand> replica_dispatcher::demands() const
{
    std::lock_guard lock(mutex_);
    std::vector<replica_demand> needs;
    queue_.for_each(
        [&](const waiting_request& request)
        {
            auto it = std::find_if(needs.begin(), needs.end(),
                                   [&](const replica_demand& need) {
                                       return need.model == request.filter.model &&
                                              need.adapter == request.filter.adapter;
                                   });
            if (it == needs.end())
            {
                needs.push_back({.model = request.filter.model,
                                 .adapter = request.filter.adapter,
                                 .waiting = 1,
                                 .deadline = request.deadline,
                                 .workspace = request.workspace});
                return;
            }
            ++it->waiting;
            it->last_deadline = std::max(it->last_deadline, request.deadline);
            if (request.deadline < it->deadline)
            {
                it->deadline = request.deadline;
                it->workspace = request.workspace;
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
