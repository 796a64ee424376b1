#include "tools/workload.hpp"

#include <sstream>

namespace banyanshunt
{
namespace
{

constexpr std::int64_t max_requests_per_second = 100'000;
constexpr std::int64_t max_tokens = 1'000'000'000;
constexpr std::int64_t max_seconds = 24 * 3600;

std::string trimmed(const std::string& text)
{
    auto first = text.find_first_not_of(" \t");
    auto last = text.find_last_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

load_stream read_stream(settings_file& file, const std::string& name)
{
    const load_stream defaults;
    std::string section = "stream " + name;
    load_stream it;
    it.name = name;
    it.workspace = workspace_id(file.text(section, "workspace"));
    it.bearer = file.text(section, "key", "");
    it.millirequests_per_second =
        file.integer(section, "millirequests_per_second", 1, max_requests_per_second * 1000);
    it.burst_factor = file.integer(section, "burst_factor", 1, 1000, defaults.burst_factor);
    it.burst_every = seconds(file.integer(section, "burst_every_s", 0, max_seconds, 0));
    it.path = file.text(section, "path", "");
    it.name_prefix = it.path.empty() ? file.text(section, "names_begin") : "";
    it.names = file.integer(section, "names", 1, 1'000'000, defaults.names);
    it.prompt_tokens =
        file.integer(section, "prompt_tokens", 1, max_tokens, defaults.prompt_tokens);
    it.completion_tokens =
        file.integer(section, "answer_tokens", 1, max_tokens, defaults.completion_tokens);
    it.call_tokens = file.integer(section, "call_tokens", 0, max_tokens, defaults.call_tokens);
    it.deadline = file.duration(section, "deadline_ms", defaults.deadline);
    it.idempotent = file.boolean(section, "idempotency_keys", false);
    return it;
}

} // namespace

std::vector<std::string> split_names(const std::string& text)
{
    std::vector<std::string> names;
    std::istringstream in(text);
    for (std::string name; std::getline(in, name, ',');)
    {
        name = trimmed(name);
        if (!name.empty())
        {
            names.push_back(name);
        }
    }
    return names;
}

workload read_workload(settings_file& file)
{
    const workload defaults;
    workload it;
    it.entry_addresses = split_names(file.text("load", "entries"));
    it.engine_addresses = split_names(file.text("load", "engines", ""));
    it.accelerators_per_engine =
        file.integer("load", "accelerators_per_engine", 1, 64, defaults.accelerators_per_engine);
    it.duration =
        seconds(file.integer("load", "duration_s", 1, max_seconds, defaults.duration.count()));
    it.seed = file.integer("load", "seed", 0, max_tokens, defaults.seed);
    it.connections = file.integer("load", "connections", 1, 4096, defaults.connections);
    for (const auto& name : split_names(file.text("load", "workspaces", "")))
    {
        std::string section = "workspace " + name;
        it.workspaces.push_back(
            {.id = workspace_id(name),
             .tokens_per_second = file.integer(section, "tokens_per_second", 0, max_tokens),
             .burst_tokens = file.integer(section, "burst_tokens", 0, max_tokens)});
    }
    for (const auto& name : split_names(file.text("load", "streams")))
    {
        it.streams.push_back(read_stream(file, name));
    }
    if (it.entry_addresses.empty() || it.streams.empty())
    {
        file.report_error("load", it.entry_addresses.empty() ? "entries" : "streams",
                          "must name at least one");
    }
    return it;
}

} // namespace banyanshunt
