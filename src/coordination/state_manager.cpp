#include "coordination/state_manager.hpp"

#include <utility>

namespace banyanshunt
{

state_manager::state_manager(const state_manager_options& options)
    : options_(options),
      // A placer has the name of the entry host that it runs on, which is one of its peers.
      peers_({.self = options.role == entry_role ? options.host : host_id(),
              .domain = options.domain,
              .peer_timeout = options.peer_timeout})
{
}

void state_manager::set_addresses(const std::string& peer, const std::string& admin)
{
    std::lock_guard lock(mutex_);
    peer_address_ = peer;
    admin_address_ = admin;
}

void state_manager::begin_leaving()
{
    std::lock_guard lock(mutex_);
    leaving_ = true;
}

heartbeat state_manager::own_heartbeat(instant now) const
{
    std::lock_guard lock(mutex_);
    // The age is read before the state: if the state advances in between, it is only newer than its
    // age says.
    auto age = age_.at(now);
    auto state = cell_.get();
    return {.host = options_.host,
            .role = options_.role,
            .incarnation = options_.incarnation,
            .domain = options_.domain,
            .peer_address = peer_address_,
            .admin_address = admin_address_,
            .leaving = leaving_,
            .next_offset = state->next_offset,
            .last_ticket = state->last_ticket,
            .view_age = age};
}

exchange_response state_manager::handle_heartbeat(const heartbeat& from, instant now)
{
    {
        std::lock_guard lock(mutex_);
        peers_.handle_heartbeat(from, now);
        if (from.next_offset > cell_.get()->next_offset)
        {
            newer_peer_ = from.peer_address;
        }
    }
    exchange_response it{.responder = own_heartbeat(now), .delta = {}};
    auto state = cell_.get();
    if (state->next_offset > from.next_offset)
    {
        it.delta = changes_since(*state, from.next_offset);
    }
    return it;
}

std::string state_manager::pop_newer_peer()
{
    std::lock_guard lock(mutex_);
    return std::exchange(newer_peer_, "");
}

bool state_manager::handle_response(const exchange_response& response, instant requested,
                                    instant now)
{
    bool advanced = false;
    if (response.delta)
    {
        if (auto next = apply_delta(*cell_.get(), *response.delta))
        {
            advanced = cell_.advance(std::make_shared<const fleet_state>(std::move(*next)));
        }
    }
    std::lock_guard lock(mutex_);
    peers_.handle_heartbeat(response.responder, now);
    if (response.responder.view_age && cell_.get()->next_offset >= response.responder.next_offset)
    {
        age_.confirmed_by_peer(requested, *response.responder.view_age);
    }
    return advanced;
}

void state_manager::confirm_log_end(log_offset end, instant requested)
{
    std::lock_guard lock(mutex_);
    if (cell_.get()->next_offset >= end)
    {
        age_.confirmed_by_log(requested);
    }
}

void state_manager::handle_host_list(const std::vector<listed_host>& list, instant now)
{
    std::lock_guard lock(mutex_);
    peers_.handle_host_list(list, now);
}

std::optional<milliseconds> state_manager::age(instant now) const
{
    std::lock_guard lock(mutex_);
    return age_.at(now);
}

peer_table state_manager::peers() const
{
    std::lock_guard lock(mutex_);
    return peers_;
}

} // namespace banyanshunt
