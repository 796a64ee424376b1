#pragma once

/// \file
/// The fleet state that results from applying tickets: tables of objects, each with the ticket and
/// the log offset that set it.
///
/// Two tables merge object by object, and the entry with the higher offset is kept. So a merge is
/// idempotent and independent of order, and hosts can serve from the same tables that they relay to
/// each other and write into snapshots.

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "state/objects.hpp"

namespace banyanshunt
{

/// The newest value of one object, or its withdrawal.
template <class Object>
struct state_entry
{
    ticket_number ticket;
    log_offset offset;
    /// Nothing if the ticket withdrew the object. Such entries are kept, because otherwise a merge
    /// could restore an older value.
    std::optional<Object> value;
    friend bool operator==(const state_entry&, const state_entry&) = default;
};

/// All objects of one kind by name, each an immutable node shared between tables.
template <class Id, class Object>
using state_table = std::map<Id, std::shared_ptr<const state_entry<Object>>>;

/// An accepted ticket, kept so that an operator's retry of it is recognized.
struct accepted_ticket
{
    log_offset offset;
    /// `content_digest` of the record's data.
    std::string digest;
    friend bool operator==(const accepted_ticket&, const accepted_ticket&) = default;
};

/// The number of accepted tickets that are kept. A retry of an older ticket is refused as out of
/// order, so it changes nothing either.
inline constexpr std::size_t max_retained_tickets = 512;

/// The complete state after a prefix of the ticket stream has been applied.
struct fleet_state
{
    state_table<model_id, model_object> models;
    state_table<adapter_id, adapter_object> adapters;
    state_table<workspace_id, workspace_object> workspaces;
    state_table<key_id, key_object> keys;
    state_table<route_id, route_object> routes;
    state_table<server_id, server_object> servers;
    /// The newest accepted tickets by number.
    std::map<ticket_number, accepted_ticket> accepted;

    /// The first offset of the ticket stream that this state does not reflect.
    log_offset next_offset;
    /// The highest ticket number accepted so far; 0 before the first.
    ticket_number last_ticket;

    /// Whether any prefix has been applied.
    bool initialized() const { return next_offset.count() > 0; }
};

/// Shared, immutable state. A new ticket results in a new state that shares all unchanged entries.
using fleet_state_ptr = std::shared_ptr<const fleet_state>;

/// Returns the object named `id`, or null if it is unknown or withdrawn.
template <class Id, class Object>
const Object* find_object(const state_table<Id, Object>& table, const Id& id)
{
    auto it = table.find(id);
    if (it == table.end() || !it->second->value)
    {
        return nullptr;
    }
    return &*it->second->value;
}

/// Removes all but the newest `max_retained_tickets` accepted tickets.
void prune_accepted_tickets(fleet_state& state);

/// Whether two states hold equal entries and reflect the same prefix.
bool same_state(const fleet_state& a, const fleet_state& b);

/// Returns the state in which each object has the entry with the higher offset, and the prefix is
/// the longer one. Both states must result from the same ticket stream.
fleet_state merge(const fleet_state& a, const fleet_state& b);

} // namespace banyanshunt
