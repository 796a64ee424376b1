#include "protocol/ticket_codec.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "protocol/json_reader.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr std::int64_t ticket_format = 1;
constexpr std::size_t longest_name = 128;
constexpr std::size_t longest_note = 4096;
constexpr std::int64_t most_memory_mib = 16 * 1024 * 1024;
constexpr std::int64_t most_tokens = 1'000'000'000'000;
constexpr std::int64_t most_replicas = 10'000;
constexpr std::int64_t most_staleness_s = 30 * 24 * 3600;

bool is_name(const std::string& text)
{
    auto allowed = [](unsigned char c)
    { return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':'; };
    return !text.empty() && text.size() <= longest_name &&
           std::all_of(text.begin(), text.end(), allowed);
}

model_object read_model(json_reader& in, json_errors&)
{
    return {
        .version = version_id(in.text("version", longest_name)),
        .memory = mebibytes(in.integer("memory_mib", 1, most_memory_mib)),
        .replicas = static_cast<int>(in.integer("replicas", 0, most_replicas)),
        .max_tokens = in.integer("max_tokens", 1, most_tokens, 4096),
    };
}

adapter_object read_adapter(json_reader& in, json_errors&)
{
    return {
        .base = model_id(in.text("base", longest_name)),
        .memory = mebibytes(in.integer("memory_mib", 1, most_memory_mib)),
    };
}

workspace_object read_workspace(json_reader& in, json_errors&)
{
    workspace_object it;
    it.rate =
        millitokens_per_second(tokens(in.integer("tokens_per_second", 0, most_tokens)).count());
    it.burst = tokens(in.integer("burst_tokens", 0, most_tokens));
    if (in.has("refuse_when_stale_s"))
    {
        it.staleness.refuse_after = seconds(in.integer("refuse_when_stale_s", 1, most_staleness_s));
    }
    return it;
}

key_object read_key(json_reader& in, json_errors& errors)
{
    key_object it{
        .workspace = workspace_id(in.text("workspace", longest_name)),
        .salt = in.text("salt", longest_name),
        .hash = in.text("hash", longest_name),
    };
    constexpr std::size_t sha256_hex_digits = 64;
    bool hex = it.hash.size() == sha256_hex_digits &&
               it.hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!hex)
    {
        errors.note(in.path_of("hash"), "must be 64 lower-case hexadecimal digits");
    }
    return it;
}

route_object read_route(json_reader& in, json_errors& errors)
{
    route_object it{
        .prefix = in.text("prefix", longest_name),
        .open = in.boolean("open", false),
        .repeatable = in.boolean("repeatable", false),
        .servers = {},
        .cost_tokens = in.integer("cost_tokens", 0, most_tokens, 1),
    };
    if (!it.prefix.starts_with('/') || it.prefix.starts_with("/v1/"))
    {
        errors.note(in.path_of("prefix"), "must begin with \"/\" and not with \"/v1/\"");
    }
    for (auto& name : in.texts("servers"))
    {
        it.servers.emplace_back(std::move(name));
    }
    return it;
}

server_object read_server(json_reader& in, json_errors&)
{
    server_object it;
    bool engine = in.word("kind", {"engine", "service"}) == "engine";
    it.kind = engine ? server_kind::engine : server_kind::service;
    it.domain = domain_id(in.text("domain", longest_name));
    it.address = in.text("address", longest_name);
    it.memory = mebibytes(in.integer("memory_mib", 0, most_memory_mib, 0));
    it.checks_fencing = in.boolean("checks_fencing", false);
    it.leaving = in.boolean("leaving", false);
    return it;
}

// Reads one member of the ticket that maps names to objects or to null.
template <class Id, class Object>
object_changes<Id, Object> read_changes(json_reader& in, const std::string& kind,
                                        json_errors& errors,
                                        Object (*read)(json_reader&, json_errors&))
{
    object_changes<Id, Object> changes;
    const json* member = in.member(kind);
    if (!member)
    {
        return changes;
    }
    if (!member->is_object())
    {
        errors.note(kind, "must be an object of names");
        return changes;
    }
    for (const auto& item : member->items())
    {
        std::string path = kind + "." + item.key();
        if (!is_name(item.key()))
        {
            errors.note(path, "a name has 1 to 128 letters, digits, '-', '_', '.' or ':'");
            continue;
        }
        if (item.value().is_null())
        {
            changes[Id(item.key())] = std::nullopt;
            continue;
        }
        json_reader object(item.value(), path, errors);
        changes[Id(item.key())] = read(object, errors);
        object.refuse_others();
    }
    return changes;
}

json write(const model_object& it)
{
    return {{"version", it.version.str()},
            {"memory_mib", it.memory.count()},
            {"replicas", it.replicas},
            {"max_tokens", it.max_tokens}};
}

json write(const adapter_object& it)
{
    return {{"base", it.base.str()}, {"memory_mib", it.memory.count()}};
}

json write(const workspace_object& it)
{
    json out = {{"tokens_per_second", it.rate.count() / millitokens_in_token},
                {"burst_tokens", it.burst.count() / millitokens_in_token}};
    if (it.staleness.refuse_after)
    {
        out["refuse_when_stale_s"] = it.staleness.refuse_after->count();
    }
    return out;
}

json write(const key_object& it)
{
    return {{"workspace", it.workspace.str()}, {"salt", it.salt}, {"hash", it.hash}};
}

json write(const route_object& it)
{
    json servers = json::array();
    for (const auto& server : it.servers)
    {
        servers.push_back(server.str());
    }
    return {{"prefix", it.prefix},
            {"open", it.open},
            {"repeatable", it.repeatable},
            {"servers", servers},
            {"cost_tokens", it.cost_tokens}};
}

json write(const server_object& it)
{
    return {{"kind", it.kind == server_kind::engine ? "engine" : "service"},
            {"domain", it.domain.str()},
            {"address", it.address},
            {"memory_mib", it.memory.count()},
            {"checks_fencing", it.checks_fencing},
            {"leaving", it.leaving}};
}

template <class Id, class Object>
void write_changes(json& out, const char* kind, const object_changes<Id, Object>& changes)
{
    for (const auto& [id, value] : changes)
    {
        out[kind][id.str()] = value ? write(*value) : json(nullptr);
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
    it.issuer = in.text("issuer", longest_name, "");
    it.note = in.text("note", longest_note, "");
    it.models = read_changes<model_id>(in, "models", errors, read_model);
    it.adapters = read_changes<adapter_id>(in, "adapters", errors, read_adapter);
    it.workspaces = read_changes<workspace_id>(in, "workspaces", errors, read_workspace);
    it.keys = read_changes<key_id>(in, "keys", errors, read_key);
    it.routes = read_changes<route_id>(in, "routes", errors, read_route);
    it.servers = read_changes<server_id>(in, "servers", errors, read_server);
    in.refuse_others();
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
