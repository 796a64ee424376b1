#include "coordination/ticket_acceptance.hpp"

#include <fmt/format.h>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

failure refuse(errc code, std::string detail)
{
    return {
        .run = run_state::not_run, .code = code, .detail = std::move(detail), .retry_after = {}};
}

template <class Id, class Object>
void apply_changes(state_table<Id, Object>& table, const object_changes<Id, Object>& changes,
                   ticket_number number, log_offset offset)
{
    for (const auto& [id, value] : changes)
    {
        table[id] = std::make_shared<const state_entry<Object>>(
            state_entry<Object>{.ticket = number, .offset = offset, .value = value});
    }
}

fleet_state apply(const fleet_state& before, const ticket& it, log_offset offset)
{
    fleet_state after = before;
    apply_changes(after.models, it.models, it.number, offset);
    apply_changes(after.adapters, it.adapters, it.number, offset);
    apply_changes(after.workspaces, it.workspaces, it.number, offset);
    apply_changes(after.keys, it.keys, it.number, offset);
    apply_changes(after.routes, it.routes, it.number, offset);
    apply_changes(after.servers, it.servers, it.number, offset);
    after.accepted[it.number] = {.offset = offset, .digest = it.digest};
    prune_accepted_tickets(after);
    after.next_offset = offset + log_offset(1);
    after.last_ticket = it.number;
    return after;
}

// Returns an error text that names the first reference to a missing object, or nothing.
std::optional<std::string> dangling_reference(const fleet_state& state)
{
    for (const auto& [id, entry] : state.adapters)
    {
        if (entry->value && !find_object(state.models, entry->value->base))
        {
            return fmt::format("adapters.{}.base: no model is named \"{}\"", id.str(),
                               entry->value->base.str());
        }
    }
    for (const auto& [id, entry] : state.keys)
    {
        if (entry->value && !find_object(state.workspaces, entry->value->workspace))
        {
            return fmt::format("keys.{}.workspace: no workspace is named \"{}\"", id.str(),
                               entry->value->workspace.str());
        }
    }
    for (const auto& [id, entry] : state.routes)
    {
        if (!entry->value)
        {
            continue;
        }
        for (const auto& server : entry->value->servers)
        {
            if (!find_object(state.servers, server))
            {
                return fmt::format("routes.{}.servers: no server is named \"{}\"", id.str(),
                                   server.str());
            }
        }
    }
    return std::nullopt;
}

// Of two tickets with the same number the first is valid. One with the same bytes is a harmless
// duplicate.
verdict<accepted_state> accept_duplicate(const fleet_state& before, const ticket& it,
                                         const accepted_ticket& earlier, log_offset offset)
{
    if (earlier.digest != it.digest)
    {
        return refuse(errc::ticket_out_of_order,
                      fmt::format("ticket: number {} was taken by another ticket, at offset {}",
                                  it.number.count(), earlier.offset.count()));
    }
    accepted_state same{.state = before, .duplicate = true};
    same.state.next_offset = offset + log_offset(1);
    return same;
}

} // namespace

verdict<accepted_state> accept_ticket(const fleet_state& before, const ticket& it,
                                      log_offset offset)
{
    check_invariant(offset >= before.next_offset, "a ticket was applied twice");
    auto earlier = before.accepted.find(it.number);
    if (earlier != before.accepted.end())
    {
        return accept_duplicate(before, it, earlier->second, offset);
    }
    if (it.number <= before.last_ticket)
    {
        return refuse(errc::ticket_out_of_order,
                      fmt::format("ticket: number {} is not above the last accepted one, {}",
                                  it.number.count(), before.last_ticket.count()));
    }
    fleet_state after = apply(before, it, offset);
    if (auto dangling = dangling_reference(after))
    {
        return refuse(errc::ticket_malformed, *dangling);
    }
    return accepted_state{.state = std::move(after), .duplicate = false};
}

} // namespace banyanshunt
