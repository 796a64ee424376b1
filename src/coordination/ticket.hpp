#pragma once

/// \file
/// Defines a ticket: a numbered change that carries the whole new state of each object it touches.

#include <map>
#include <optional>
#include <string>

#include "state/fleet_state.hpp"

namespace banyanshunt
{

/// New values by name; nothing as a value withdraws the object.
template <class Id, class Object>
using object_changes = std::map<Id, std::optional<Object>>;

/// A ticket whose format was found right. Whether it is in order, and what it refers to exists, is
/// decided against the state before it.
struct ticket
{
    ticket_number number;
    /// `content_digest` of the ticket as it was written.
    std::string digest;
    /// Who issued it and why, for people.
    std::string issuer;
    std::string note;
    object_changes<model_id, model_object> models;
    object_changes<adapter_id, adapter_object> adapters;
    object_changes<workspace_id, workspace_object> workspaces;
    object_changes<key_id, key_object> keys;
    object_changes<route_id, route_object> routes;
    object_changes<server_id, server_object> servers;
};

} // namespace banyanshunt
