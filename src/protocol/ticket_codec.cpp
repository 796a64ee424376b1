#include "protocol/ticket_codec.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "protocol/object_codec.hpp"
#include "state/content_digest.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr std::int64_t ticket_format = 1;
constexpr std::size_t max_name_bytes = max_object_name_size;
constexpr std::size_t max_note_bytes = 4096;

// Reads one member of the ticket that maps names to objects or to null.
template <class Id, class Object>
object_changes<Id, Object> read_changes(json_reader& in, const std::string& kind,
                                        json_errors& errors)
{
    object_changes<Id, Object> changes;
    const json* member = in.member(kind);
    if (!member)
    {
        return changes;
    }
    if (!member->is_object())
    {
        errors.report(kind, "must be an object of names");
        return changes;
    }
    for (const auto& item : member->items())
    {
        std::string path = kind + "." + item.key();
        if (!is_object_name(item.key()))
        {
            errors.report(path, "a name has 1 to 128 letters, digits, '-', '_', '.' or ':'");
            continue;
        }
        if (item.value().is_null())
        {
            changes[Id(item.key())] = std::nullopt;
            continue;
        }
        json_reader object(item.value(), path, errors);
        read_object(object, errors, changes[Id(item.key())].emplace());
        object.reject_unknown();
    }
    return changes;
}

template <class Id, class Object>
void write_changes(json& out, const char* kind, const object_changes<Id, Object>& changes)
{
    for (const auto& [id, value] : changes)
    {
        out[kind][id.str()] = value ? write_object(*value) : json(nullptr);
    }
}

failure malformed(std::string detail)
{
    return {.run = run_state::not_run,
            .code = errc::ticket_malformed,
            .detail = std::move(detail),
            .retry_after = {}};
}

} // namespace

verdict<ticket> decode_ticket(const std::string& text)
{
    if (text.size() > ticket_size_limit)
    {
        return malformed(fmt::format("the ticket has {} bytes, but at most {} are allowed",
                                     text.size(), ticket_size_limit));
    }
    json_errors errors;
    json document = parse_json(text, errors);
    json_reader in(document, "", errors);
    in.integer("format", ticket_format, ticket_format);
    ticket it;
    it.number = ticket_number(in.integer("ticket", 1, INT64_MAX));
    it.digest = content_digest(text);
    it.issuer = in.text("issuer", max_name_bytes, "");
    it.note = in.text("note", max_note_bytes, "");
    it.models = read_changes<model_id, model_object>(in, "models", errors);
    it.adapters = read_changes<adapter_id, adapter_object>(in, "adapters", errors);
    it.workspaces = read_changes<workspace_id, workspace_object>(in, "workspaces", errors);
    it.keys = read_changes<key_id, key_object>(in, "keys", errors);
    it.routes = read_changes<route_id, route_object>(in, "routes", errors);
    it.servers = read_changes<server_id, server_object>(in, "servers", errors);
    in.reject_unknown();
    if (!errors.empty())
    {
        return malformed(errors.first());
    }
    return it;
}

std::string encode_ticket(const ticket& it)
{
    json out = {{"format", ticket_format}, {"ticket", it.number.count()}};
    if (!it.issuer.empty())
    {
        out["issuer"] = it.issuer;
    }
    if (!it.note.empty())
    {
        out["note"] = it.note;
    }
    write_changes(out, "models", it.models);
    write_changes(out, "adapters", it.adapters);
    write_changes(out, "workspaces", it.workspaces);
    write_changes(out, "keys", it.keys);
    write_changes(out, "routes", it.routes);
    write_changes(out, "servers", it.servers);
    return out.dump();
}

} // namespace banyanshunt
