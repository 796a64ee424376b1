#pragma once

/// \file
/// A ticket: a numbered change that carries the complete new value of each object that it changes.

#include <map>
#include <optional>
#include <string>

#include "state/fleet_state.hpp"

namespace banyanshunt
{

/// New values by name; an empty value withdraws the object.
template <class Id, class Object>
using object_changes = std::map<Id, std::optional<Object>>;

/// A ticket whose format is valid. Whether its number is in order and the objects that it refers to
/// exist is checked later against the state before it; see `accept_ticket`.
struct ticket
{
    ticket_number number;
    /// `content_digest` of the ticket as it was written.
    std::string digest;
    /// Who issued it and why, for human readers.
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
