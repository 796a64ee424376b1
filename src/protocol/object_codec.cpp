#include "protocol/object_codec.hpp"

#include <algorithm>
#include <cctype>

#include <nlohmann/json.hpp>

namespace banyanshunt
{
namespace
{

constexpr std::size_t max_name_bytes = max_object_name_size;
constexpr std::int64_t max_memory_mib = 16 * 1024 * 1024;
constexpr std::int64_t max_token_count = 1'000'000'000'000;
constexpr std::int64_t max_replica_count = 10'000;
constexpr std::int64_t max_staleness_s = 30 * 24 * 3600;

} // namespace

using nlohmann::json;

bool is_object_name(const std::string& text)
{
    auto allowed = [](unsigned char c)
    { return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':'; };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

void read_object(json_reader& in, json_errors&, model_object& out)
{
    out = {
        .version = version_id(in.text("version", max_name_bytes)),
        .memory = mebibytes(in.integer("memory_mib", 1, max_memory_mib)),
        .max_replicas = static_cast<int>(in.integer("replicas", 0, max_replica_count)),
        .max_tokens = in.integer("max_tokens", 1, max_token_count, 4096),
    };
}

void read_object(json_reader& in, json_errors&, adapter_object& out)
{
    out = {
        .base = model_id(in.text("base", max_name_bytes)),
        .memory = mebibytes(in.integer("memory_mib", 1, max_memory_mib)),
    };
}

void read_object(json_reader& in, json_errors&, workspace_object& out)
{
    out.rate =
        millitokens_per_second(tokens(in.integer("tokens_per_second", 0, max_token_count)).count());
    out.burst = tokens(in.integer("burst_tokens", 0, max_token_count));
    if (in.has("refuse_when_stale_s"))
    {
        out.staleness.refuse_after = seconds(in.integer("refuse_when_stale_s", 1, max_staleness_s));
    }
}

void read_object(json_reader& in, json_errors& errors, key_object& out)
{
    out = {
        .workspace = workspace_id(in.text("workspace", max_name_bytes)),
        .salt = in.text("salt", max_name_bytes),
        .hash = in.text("hash", max_name_bytes),
    };
    constexpr std::size_t sha256_hex_digits = 64;
    bool hex = out.hash.size() == sha256_hex_digits &&
               out.hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!hex)
    {
        errors.report(in.path_of("hash"), "must be 64 lower-case hexadecimal digits");
    }
}

void read_object(json_reader& in, json_errors& errors, route_object& out)
{
    out = {
        .prefix = in.text("prefix", max_name_bytes),
        .open = in.boolean("open", false),
        .repeatable = in.boolean("repeatable", false),
        .servers = {},
        .cost_tokens = in.integer("cost_tokens", 0, max_token_count, 1),
    };
    if (!out.prefix.starts_with('/') || out.prefix.starts_with("/v1/"))
    {
        errors.report(in.path_of("prefix"), "must begin with \"/\" and not with \"/v1/\"");
    }
    for (auto& name : in.text_list("servers"))
    {
        out.servers.emplace_back(std::move(name));
    }
}

void read_object(json_reader& in, json_errors&, server_object& out)
{
    bool engine = in.one_of("kind", {"engine", "service"}) == "engine";
    out.kind = engine ? server_kind::engine : server_kind::service;
    out.domain = domain_id(in.text("domain", max_name_bytes));
    out.address = in.text("address", max_name_bytes);
    out.memory = mebibytes(in.integer("memory_mib", 0, max_memory_mib, 0));
    out.checks_fencing = in.boolean("checks_fencing", false);
    out.leaving = in.boolean("leaving", false);
}

json write_object(const model_object& it)
{
    return {{"version", it.version.str()},
            {"memory_mib", it.memory.count()},
            {"replicas", it.max_replicas},
            {"max_tokens", it.max_tokens}};
}

json write_object(const adapter_object& it)
{
    return {{"base", it.base.str()}, {"memory_mib", it.memory.count()}};
}

json write_object(const workspace_object& it)
{
    json out = {{"tokens_per_second", it.rate.count() / millitokens_per_token},
                {"burst_tokens", it.burst.count() / millitokens_per_token}};
    if (it.staleness.refuse_after)
    {
        out["refuse_when_stale_s"] = it.staleness.refuse_after->count();
    }
    return out;
}

json write_object(const key_object& it)
{
    return {{"workspace", it.workspace.str()}, {"salt", it.salt}, {"hash", it.hash}};
}

json write_object(const route_object& it)
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

json write_object(const server_object& it)
{
    return {{"kind", it.kind == server_kind::engine ? "engine" : "service"},
            {"domain", it.domain.str()},
            {"address", it.address},
            {"memory_mib", it.memory.count()},
            {"checks_fencing", it.checks_fencing},
            {"leaving", it.leaving}};
}

} // namespace banyanshunt
