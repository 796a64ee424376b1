#include "coordination/state_keeper.hpp"

#include <utility>

namespace banyanshunt
{

state_keeper::state_keeper(const state_keeper_options& options)
    : options_(options),
      // A placer's name is that of the entry host beside it, which is its peer.
      peers_({.self = options.role == entry_role ? options.host : host_id(),
              .domain = options.domain,
              .patience = options.peer_patience})
{
}

void state_keeper::set_addresses(const std::string& peer, const std::string& admin)
{
    std::lock_guard lock(mutex_);
    peer_address_ = peer;
    admin_address_ = admin;
}

void state_keeper::leave()
{
    std::lock_guard lock(mutex_);
    leaving_ = true;
}

heartbeat state_keeper::self(instant now) const
{
    std::lock_guard lock(mutex_);
    // The age is read before the state: a state that moves in between is only newer than its age.
    auto age = age_.at(now);
    auto state = cell_.get();
    return {.host = options_.host,
            .role = options_.role,
            .life = options_.life,
            .domain = options_.domain,
            .peer_address = peer_address_,
            .admin_address = admin_address_,
            .leaving = leaving_,
            .through = state->through,
            .last_ticket = state->last_ticket,
            .view_age = age};
}

exchange_answer state_keeper::answer(const heartbeat& from, instant now)
{
    {
        std::lock_guard lock(mutex_);
        peers_.hear(from, now);
        if (from.through > cell_.get()->through)
        {
            ahead_ = from.peer_address;
        }
    }
    exchange_answer it{.said = self(now), .delta = {}};
    auto state = cell_.get();
    if (state->through > from.through)
    {
        it.delta = changes_since(*state, from.through);
    }
    return it;
}

std::string state_keeper::take_ahead()
{
    std::lock_guard lock(mutex_);
    return std::exchange(ahead_, "");
}

bool state_keeper::take(const exchange_answer& answer, instant asked, instant now)
{
    bool moved = false;
    if (answer.delta)
    {
        if (auto next = apply_delta(*cell_.get(), *answer.delta))
        {
            moved = cell_.advance(std::make_shared<const fleet_state>(std::move(*next)));
        }
    }
    std::lock_guard lock(mutex_);
    peers_.hear(answer.said, now);
    if (answer.said.view_age && cell_.get()->through >= answer.said.through)
    {
        age_.confirmed_by_peer(asked, *answer.said.view_age);
    }
    return moved;
}

void state_keeper::confirm(log_offset end, instant asked)
{
    std::lock_guard lock(mutex_);
    if (cell_.get()->through >= end)
    {
        age_.confirmed_by_log(asked);
    }
}

void state_keeper::take_list(const std::vector<listed_host>& list, instant now)
{
    std::lock_guard lock(mutex_);
    peers_.take_list(list, now);
}

std::optional<milliseconds> state_keeper::age(instant now) const
{
    std::lock_guard lock(mutex_);
    return age_.at(now);
}

liveness state_keeper::peers() const
{
    std::lock_guard lock(mutex_);
    return peers_;
}

} // namespace banyanshunt
