#include "coordination/config_check.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace banyanshunt
{

namespace
{

using finding_kind = config_finding::finding_kind;
using findings = std::vector<config_finding>;

std::string route_key(const serving_route& route)
{
    return "routes." + route.name.str();
}

std::string service_key(const service_id& service)
{
    return "services." + service.str();
}

std::string workspace_key(const workspace_id& workspace)
{
    return "workspaces." + workspace.str();
}

/// Enough of an API key to find it in the file. Reports are kept and sent to others; a quarter of a
/// key does not help to guess the rest.
std::string abbreviated(const std::string& api_key)
{
    constexpr std::size_t max_shown = 4;
    return api_key.substr(0, std::min(max_shown, api_key.size() / 4)) + "...";
}

bool may_repeat(const serving_route& route)
{
    return route.kind == request_kind::idempotent ||
           (route.kind == request_kind::stream && route.resumable);
}

// Requests' hosts are compared in lower case and without a port, and prefixes at slashes.
void check_route_match(const serving_route& route, findings& found)
{
    auto has_upper_case = [](const std::string& text)
    { return std::any_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; }); };
    if (route.host.empty() || has_upper_case(route.host) ||
        route.host.find(':') != std::string::npos)
    {
        found.push_back({.kind = finding_kind::never_matches,
                         .key = route_key(route) + ".host",
                         .reason = fmt::format("\"{}\" is not a host name in lower case without a "
                                               "port",
                                               route.host)});
    }
    const auto& prefix = route.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
    {
        found.push_back(
            {.kind = finding_kind::never_matches,
             .key = route_key(route) + ".path_prefix",
             .reason = fmt::format("\"{}\" does not begin and end with a slash", prefix)});
    }
}

void check_hidden_routes(const serving_config& config, findings& found)
{
    // As in the index of `serving_config`, the last route of a host and prefix is the one in use.
    std::map<std::pair<std::string, std::string>, const serving_route*> used;
    std::set<route_id> names;
    for (const auto& route : config.routes)
    {
        used[{route.host, route.path_prefix}] = &route;
    }
    for (const auto& route : config.routes)
    {
        const auto* other = used.at({route.host, route.path_prefix});
        if (other != &route)
        {
            found.push_back(
                {.kind = finding_kind::never_matches,
                 .key = route_key(route),
                 .reason = fmt::format("hidden by the later route {} of the same host "
                                       "and path prefix {}{}",
                                       other->name.str(), route.host, route.path_prefix)});
        }
        if (!names.insert(route.name).second)
        {
            found.push_back({.kind = finding_kind::contradiction,
                             .key = route_key(route),
                             .reason = "another route has the same name"});
        }
    }
}

void check_route_limits(const serving_route& route, findings& found)
{
    auto contradicts = [&](const char* field, std::string reason)
    {
        found.push_back({.kind = finding_kind::contradiction,
                         .key = fmt::format("{}.{}", route_key(route), field),
                         .reason = std::move(reason)});
    };
    if (route.timeout < route.objective)
    {
        contradicts("timeout", fmt::format("{} ms is below the objective of {} ms",
                                           route.timeout.count(), route.objective.count()));
    }
    if (route.event_gap > route.timeout)
    {
        contradicts("event_gap", fmt::format("{} ms is above the timeout of {} ms",
                                             route.event_gap.count(), route.timeout.count()));
    }
    if (route.max_attempts > 1 && !may_repeat(route))
    {
        contradicts("max_attempts",
                    fmt::format("{} attempts, but requests of this route may run only once",
                                route.max_attempts));
    }
}

void check_services(const serving_config& config, findings& found)
{
    std::set<service_id> routed;
    for (const auto& route : config.routes)
    {
        for (const auto& it : route.services)
        {
            routed.insert(it.service);
            if (!config.find_service(it.service))
            {
                found.push_back(
                    {.kind = finding_kind::contradiction,
                     .key = route_key(route) + ".services",
                     .reason = fmt::format("there is no service {}", it.service.str())});
            }
        }
    }
    for (const auto& [name, service] : config.services)
    {
        if (!routed.contains(name))
        {
            found.push_back({.kind = finding_kind::never_matches,
                             .key = service_key(name),
                             .reason = "no route leads to this service"});
        }
    }
}

void check_models(const service_spec& service, findings& found)
{
    if (!service.engine)
    {
        return;
    }
    const auto& engine = *service.engine;
    for (const auto& it : engine.models)
    {
        const auto& model = it.second;
        auto never_matches = [&](const char* field, std::string reason)
        {
            found.push_back({.kind = finding_kind::never_matches,
                             .key = fmt::format("{}.models.{}{}", service_key(service.name),
                                                model.id.str(), field),
                             .reason = std::move(reason)});
        };
        if (model.weights_mb > engine.memory_mb)
        {
            never_matches("", fmt::format("{} MB do not fit into an engine's memory of {} MB",
                                          model.weights_mb, engine.memory_mb));
        }
        else if (model.adapters > 0 && engine.adapter_slots == 0)
        {
            never_matches(".adapters", "engines have no adapter slots");
        }
        else if (model.adapters > 0 && model.weights_mb + model.adapter_mb > engine.memory_mb)
        {
            never_matches(".adapters",
                          fmt::format("{} MB and an adapter of {} MB do not fit into an engine's "
                                      "memory of {} MB",
                                      model.weights_mb, model.adapter_mb, engine.memory_mb));
        }
    }
}

void check_workspaces(const serving_config& config, findings& found)
{
    std::set<workspace_id> with_keys;
    for (const auto& [key, owner] : config.key_owner)
    {
        with_keys.insert(owner);
    }
    for (const auto& [name, workspace] : config.workspaces)
    {
        std::int64_t cost = workspace.counts_tokens ? workspace.default_tokens : 1;
        if (workspace.rate <= 0 && workspace.burst > 0)
        {
            found.push_back({.kind = finding_kind::contradiction,
                             .key = workspace_key(name) + ".burst",
                             .reason = fmt::format("{} has no effect, as a rate of 0 is no limit",
                                                   workspace.burst)});
        }
        if (workspace.rate > 0 && workspace.burst < static_cast<double>(cost))
        {
            found.push_back({.kind = finding_kind::contradiction,
                             .key = workspace_key(name) + ".burst",
                             .reason = fmt::format("{} is below the {} that one default request "
                                                   "costs",
                                                   workspace.burst, cost)});
        }
        if (!with_keys.contains(name))
        {
            found.push_back({.kind = finding_kind::never_matches,
                             .key = workspace_key(name),
                             .reason = "no API key belongs to this workspace"});
        }
    }
}

void check_repeated(const serving_config& config, findings& found)
{
    for (const auto& it : config.repeated)
    {
        config_finding repeated{.kind = finding_kind::never_matches,
                                .key = {},
                                .reason = "repeats an earlier entry, which stays in effect"};
        switch (it.kind)
        {
        case repeated_entry::entry_kind::service:
            repeated.key = service_key(service_id(it.name));
            break;
        case repeated_entry::entry_kind::workspace:
            repeated.key = workspace_key(workspace_id(it.name));
            break;
        case repeated_entry::entry_kind::key:
            repeated.key = workspace_key(it.workspace) + ".keys";
            repeated.reason = fmt::format("the key {} belongs to the workspace {}, which lists it "
                                          "first",
                                          abbreviated(it.name), config.key_owner.at(it.name).str());
            break;
        }
        found.push_back(std::move(repeated));
    }
}

void check_limits(const caller_limits& limits, findings& found)
{
    auto contradicts = [&](const char* key, std::string reason)
    {
        found.push_back(
            {.kind = finding_kind::contradiction, .key = key, .reason = std::move(reason)});
    };
    if (limits.header_bytes == 0)
    {
        contradicts("limits.header_bytes", "0 rejects every request");
    }
    if (limits.body_bytes == 0)
    {
        contradicts("limits.body_bytes", "0 rejects every request that has a body");
    }
    if (limits.idle_timeout < limits.header_timeout)
    {
        contradicts("limits.idle_timeout",
                    fmt::format("{} ms is below the header timeout of {} ms",
                                limits.idle_timeout.count(), limits.header_timeout.count()));
    }
}

/// The values of an entry's fields as text, by name. Fields that are not described here are not
/// compared.
using described_fields = std::map<std::string, std::string>;
using described_entries = std::map<std::string, described_fields>;

std::string ms_text(milliseconds it)
{
    return fmt::format("{} ms", it.count());
}

const char* kind_text(request_kind kind)
{
    switch (kind)
    {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::once:
        return "once";
    case request_kind::stream:
        return "stream";
    }
    return "";
}

described_entries describe_routes(const serving_config& config)
{
    described_entries entries;
    for (const auto& route : config.routes)
    {
        std::string services;
        for (const auto& it : route.services)
        {
            services +=
                fmt::format("{}{}:{}", services.empty() ? "" : ",", it.service.str(), it.weight);
        }
        entries[route_key(route)] = {{"host", route.host},
                                     {"path_prefix", route.path_prefix},
                                     {"kind", kind_text(route.kind)},
                                     {"timeout", ms_text(route.timeout)},
                                     {"objective", ms_text(route.objective)},
                                     {"event_gap", ms_text(route.event_gap)},
                                     {"priority", std::to_string(route.priority)},
                                     {"services", services},
                                     {"max_attempts", std::to_string(route.max_attempts)},
                                     {"open_to_all", route.open_to_all ? "yes" : "no"},
                                     {"resumable", route.resumable ? "yes" : "no"}};
    }
    return entries;
}

described_entries describe_services(const serving_config& config)
{
    described_entries entries;
    for (const auto& [name, service] : config.services)
    {
        auto& fields = entries[service_key(name)];
        fields = {{"health_path", service.health_path},
                  {"max_connections", std::to_string(service.max_connections)},
                  {"engine", service.engine ? "yes" : "no"}};
        if (!service.engine)
        {
            continue;
        }
        fields["memory"] = fmt::format("{} MB", service.engine->memory_mb);
        fields["adapter_slots"] = std::to_string(service.engine->adapter_slots);
        fields["store_loads_per_s"] = fmt::format("{}", service.engine->store_loads_per_s);
        for (const auto& [id, model] : service.engine->models)
        {
            fields["models." + id.str()] = fmt::format(
                "{} MB, {} adapters of {} MB, loads in {}, {} and {} ms", model.weights_mb,
                model.adapters, model.adapter_mb, model.load_from_store.count(),
                model.load_from_disk.count(), model.load_from_memory.count());
        }
    }
    return entries;
}

described_entries describe_workspaces(const serving_config& config)
{
    described_entries entries;
    for (const auto& [name, workspace] : config.workspaces)
    {
        entries[workspace_key(name)] = {
            {"priority",
             workspace.priority ? std::to_string(*workspace.priority) : "that of the route"},
            {"unit", workspace.counts_tokens ? "tokens" : "requests"},
            {"default_tokens", std::to_string(workspace.default_tokens)},
            {"rate", fmt::format("{} per s", workspace.rate)},
            {"burst", fmt::format("{}", workspace.burst)}};
    }
    return entries;
}

described_entries describe_limits(const serving_config& config)
{
    const auto& limits = config.limits;
    return {{"limits",
             {{"header_bytes", std::to_string(limits.header_bytes)},
              {"body_bytes", std::to_string(limits.body_bytes)},
              {"header_timeout", ms_text(limits.header_timeout)},
              {"idle_timeout", ms_text(limits.idle_timeout)}}}};
}

void add_difference(findings& found, std::string key, std::string reason)
{
    found.push_back(
        {.kind = finding_kind::difference, .key = std::move(key), .reason = std::move(reason)});
}

void compare_fields(const std::string& key, const described_fields& before,
                    const described_fields& after, findings& found)
{
    for (const auto& [field, value] : before)
    {
        auto other = after.find(field);
        if (other == after.end())
        {
            add_difference(found, key + "." + field, "removed: " + value);
        }
        else if (other->second != value)
        {
            add_difference(found, key + "." + field,
                           fmt::format("changed from {} to {}", value, other->second));
        }
    }
    for (const auto& [field, value] : after)
    {
        if (!before.contains(field))
        {
            add_difference(found, key + "." + field, "added: " + value);
        }
    }
}

void compare_entries(const described_entries& before, const described_entries& after,
                     findings& found)
{
    for (const auto& [key, fields] : before)
    {
        auto other = after.find(key);
        if (other == after.end())
        {
            add_difference(found, key, "removed");
            continue;
        }
        compare_fields(key, fields, other->second, found);
    }
    for (const auto& [key, fields] : after)
    {
        if (!before.contains(key))
        {
            add_difference(found, key, "added");
        }
    }
}

// A key that moves to another workspace is removed from one and added to the other.
std::map<workspace_id, int> count_keys_only_in(const serving_config& config,
                                               const serving_config& other)
{
    std::map<workspace_id, int> counts;
    for (const auto& [key, owner] : config.key_owner)
    {
        auto it = other.key_owner.find(key);
        if (it == other.key_owner.end() || it->second != owner)
        {
            ++counts[owner];
        }
    }
    return counts;
}

void compare_keys(const serving_config& in_effect, const serving_config& config, findings& found)
{
    for (const auto& [workspace, count] : count_keys_only_in(in_effect, config))
    {
        add_difference(found, workspace_key(workspace) + ".keys", fmt::format("{} removed", count));
    }
    for (const auto& [workspace, count] : count_keys_only_in(config, in_effect))
    {
        add_difference(found, workspace_key(workspace) + ".keys", fmt::format("{} added", count));
    }
}

} // namespace

const char* to_string(finding_kind kind)
{
    switch (kind)
    {
    case finding_kind::error:
        return "error";
    case finding_kind::never_matches:
        return "never_matches";
    case finding_kind::contradiction:
        return "contradiction";
    case finding_kind::difference:
        return "difference";
    }
    return "";
}

std::vector<config_finding> check_config(const serving_config& config)
{
    findings found;
    for (const auto& route : config.routes)
    {
        check_route_match(route, found);
        check_route_limits(route, found);
    }
    check_hidden_routes(config, found);
    check_services(config, found);
    for (const auto& [name, service] : config.services)
    {
        check_models(service, found);
    }
    check_workspaces(config, found);
    check_repeated(config, found);
    check_limits(config.limits, found);
    return found;
}

std::vector<config_finding> compare_configs(const serving_config& in_effect,
                                            const serving_config& config)
{
    findings found;
    if (config.version <= in_effect.version)
    {
        found.push_back({.kind = finding_kind::error,
                         .key = "version",
                         .reason = fmt::format("{} is not higher than {}, the version in effect; "
                                               "hosts ignore it",
                                               config.version, in_effect.version)});
    }
    compare_entries(describe_routes(in_effect), describe_routes(config), found);
    compare_entries(describe_services(in_effect), describe_services(config), found);
    compare_entries(describe_workspaces(in_effect), describe_workspaces(config), found);
    compare_keys(in_effect, config, found);
    compare_entries(describe_limits(in_effect), describe_limits(config), found);
    return found;
}

} // namespace banyanshunt
