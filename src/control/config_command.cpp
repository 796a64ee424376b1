#include "control/config_command.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "control/text_file.hpp"
#include "control/text_table.hpp"

namespace banyanshunt
{

namespace
{

using nlohmann::json;

void print_findings(const std::string& path, const std::vector<config_finding>& found, bool as_json)
{
    json rows = json::array();
    text_table table({"KIND", "KEY", "REASON"});
    for (const auto& it : found)
    {
        rows.push_back({{"kind", to_string(it.kind)}, {"key", it.key}, {"reason", it.reason}});
        table.add({to_string(it.kind), it.key, it.reason});
    }
    if (as_json)
    {
        // Names from the file may hold bytes that are not UTF-8.
        json out = {{"file", path}, {"findings", rows}};
        fmt::print("{}\n", out.dump(-1, ' ', false, json::error_handler_t::replace));
        return;
    }
    fmt::print("{}", found.empty() ? path + ": nothing found\n" : table.text());
}

/// The parser's reason begins with the path of the field, except for text that is not JSON.
config_finding parse_error(const std::string& file, const std::string& detail)
{
    auto colon = detail.find(": ");
    bool has_path = colon != std::string::npos && detail.find(' ') > colon;
    return {.kind = config_finding::finding_kind::error,
            .key = has_path ? detail.substr(0, colon) : file,
            .reason = has_path ? detail.substr(colon + 2) : detail};
}

} // namespace

std::vector<config_finding> check_config_text(std::string_view text,
                                              const std::optional<std::string>& in_effect,
                                              config_parser parse)
{
    auto config = parse(text);
    if (!config)
    {
        return {parse_error("file", config.error().detail)};
    }
    auto found = check_config(**config);
    if (!in_effect)
    {
        return found;
    }
    auto before = parse(*in_effect);
    if (!before)
    {
        found.push_back({.kind = config_finding::finding_kind::error,
                         .key = "against",
                         .reason = before.error().detail});
        return found;
    }
    auto differences = compare_configs(**before, **config);
    found.insert(found.end(), differences.begin(), differences.end());
    return found;
}

config_exit exit_of(const std::vector<config_finding>& found)
{
    config_exit code = config_in_order;
    for (const auto& it : found)
    {
        switch (it.kind)
        {
        case config_finding::finding_kind::error:
            return config_errors;
        case config_finding::finding_kind::never_matches:
        case config_finding::finding_kind::contradiction:
            code = config_warnings;
            break;
        case config_finding::finding_kind::difference:
            break;
        }
    }
    return code;
}

int check_config_file(const std::string& path, const control_options& options)
{
    auto text = read_text(path);
    std::optional<std::string> in_effect;
    if (!options.against.empty())
    {
        in_effect = read_text(options.against);
    }
    if (!text || (!in_effect && !options.against.empty()))
    {
        return config_errors;
    }
    auto found = check_config_text(*text, in_effect, options.parse_config);
    print_findings(path, found, options.json);
    return exit_of(found);
}

} // namespace banyanshunt
