#pragma once

/// \file
/// The encoding of each kind of object. Tickets, snapshots and messages between hosts share it, so
/// that an object has the same form everywhere.

#include <map>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "protocol/json_reader.hpp"
#include "state/objects.hpp"

namespace banyanshunt
{

/// The longest name of an object, in bytes.
inline constexpr std::size_t max_object_name_size = 128;

/// Whether `text` may name an object: 1 to 128 letters, digits, '-', '_', '.' or ':'.
bool is_object_name(const std::string& text);

/// Decode one object's members; errors are recorded with the field's path.
void read_object(json_reader& in, json_errors& errors, model_object& out);
void read_object(json_reader& in, json_errors& errors, adapter_object& out);
void read_object(json_reader& in, json_errors& errors, workspace_object& out);
void read_object(json_reader& in, json_errors& errors, key_object& out);
void read_object(json_reader& in, json_errors& errors, route_object& out);
void read_object(json_reader& in, json_errors& errors, server_object& out);

/// Encode an object so that `read_object` decodes the same one.
nlohmann::json write_object(const model_object& it);
nlohmann::json write_object(const adapter_object& it);
nlohmann::json write_object(const workspace_object& it);
nlohmann::json write_object(const key_object& it);
nlohmann::json write_object(const route_object& it);
nlohmann::json write_object(const server_object& it);

} // namespace banyanshunt
