#include "protocol/platform_codec.hpp"

#include <functional>

#include <nlohmann/json.hpp>

#include "protocol/json_reader.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_data_bytes = 8 * 1024 * 1024;
constexpr std::int64_t max_integer = INT64_MAX;

// Decodes a complete document with `read`; an error becomes errc::bad_answer and names its field.
template <class Value>
verdict<Value> decode(const std::string& body,
                      const std::function<Value(json_reader&, json_errors&)>& read)
{
    json_errors errors;
    json document = parse_json(body, errors);
    json_reader in(document, "", errors);
    Value value = read(in, errors);
    if (!errors.empty())
    {
        return errors.as_failure(run_state::may_have_run);
    }
    return value;
}

// Calls `read` for each object in the list named `name`.
void for_each_object(json_reader& in, const std::string& name, json_errors& errors,
                     const std::function<void(json_reader&)>& read)
{
    const json* list = in.member(name);
    if (!list || !list->is_array())
    {
        errors.report(in.path_of(name), "must be a list");
        return;
    }
    for (const auto& item : *list)
    {
        json_reader object(item, in.path_of(name), errors);
        read(object);
    }
}

const std::vector<std::string> order_names = {"load_model", "unload_model", "load_adapter",
                                              "unload_adapter"};
const std::vector<std::string> phase_names = {"loading", "ready", "unloading"};
const std::vector<std::string> tier_names = {"memory", "disk", "remote"};

template <class Enum>
Enum enum_of(json_reader& in, const std::string& name, const std::vector<std::string>& names)
{
    std::string value = in.one_of(name, names);
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == value)
        {
            return static_cast<Enum>(i);
        }
    }
    return Enum{};
}

template <class Id>
json names_of(const std::vector<Id>& ids)
{
    json out = json::array();
    for (const auto& id : ids)
    {
        out.push_back(id.str());
    }
    return out;
}

std::vector<adapter_id> adapters_of(json_reader& in, const std::string& name)
{
    std::vector<adapter_id> ids;
    for (auto& text : in.text_list(name))
    {
        ids.emplace_back(std::move(text));
    }
    return ids;
}

json write(const held_replica& it)
{
    return {{"model", it.model.str()},
            {"version", it.version.str()},
            {"phase", phase_names[static_cast<std::size_t>(it.phase)]},
            {"memory_mib", it.memory.count()},
            {"adapters", names_of(it.adapters)},
            {"adapters_loading", names_of(it.adapters_loading)},
            {"running", it.running}};
}

held_replica read_replica(json_reader& in)
{
    return {
        .model = model_id(in.text("model", max_name_bytes)),
        .version = version_id(in.text("version", max_name_bytes)),
        .phase = enum_of<replica_phase>(in, "phase", phase_names),
        .memory = mebibytes(in.integer("memory_mib", 0, max_integer)),
        .adapters = adapters_of(in, "adapters"),
        .adapters_loading = adapters_of(in, "adapters_loading"),
        .running = static_cast<int>(in.integer("running", 0, INT32_MAX)),
    };
}

} // namespace

const char* to_string(order_kind kind)
{
    return order_names[static_cast<std::size_t>(kind)].c_str();
}

std::string encode_append_request(std::span<const log_entry> batch)
{
    json records = json::array();
    for (const auto& entry : batch)
    {
        records.push_back({{"id", entry.id.str()}, {"data", entry.data}});
    }
    return json{{"records", records}}.dump();
}

verdict<std::vector<log_entry>> decode_append_request(const std::string& body)
{
    return decode<std::vector<log_entry>>(
        body,
        [](json_reader& in, json_errors& errors)
        {
            std::vector<log_entry> batch;
            for_each_object(in, "records", errors,
                            [&batch](json_reader& record)
                            {
                                batch.push_back({.id = record_id(record.text("id", max_name_bytes)),
                                                 .data = record.text("data", max_data_bytes, "")});
                            });
            return batch;
        });
}

std::string encode_append_response(log_offset first)
{
    return json{{"first_offset", first.count()}}.dump();
}

verdict<log_offset> decode_append_response(const std::string& body)
{
    return decode<log_offset>(body, [](json_reader& in, json_errors&)
                              { return log_offset(in.integer("first_offset", 0, max_integer)); });
}

std::string encode_page(const log_page& page)
{
    json records = json::array();
    for (const auto& record : page.records)
    {
        records.push_back(
            {{"offset", record.offset.count()}, {"id", record.id.str()}, {"data", record.data}});
    }
    return json{
        {"first_kept", page.first_kept.count()}, {"end", page.end.count()}, {"records", records}}
        .dump();
}

verdict<log_page> decode_page(const std::string& body)
{
    return decode<log_page>(
        body,
        [](json_reader& in, json_errors& errors)
        {
            log_page page;
            page.first_kept = log_offset(in.integer("first_kept", 0, max_integer));
            page.end = log_offset(in.integer("end", 0, max_integer));
            for_each_object(in, "records", errors,
                            [&page](json_reader& record)
                            {
                                page.records.push_back(
                                    {.offset = log_offset(record.integer("offset", 0, max_integer)),
                                     .id = record_id(record.text("id", max_name_bytes)),
                                     .data = record.text("data", max_data_bytes, "")});
                            });
            return page;
        });
}

std::string encode_hosts(const std::vector<listed_host>& hosts)
{
    json list = json::array();
    for (const auto& host : hosts)
    {
        list.push_back({{"name", host.name},
                        {"role", host.role},
                        {"domain", host.domain.str()},
                        {"address", host.address},
                        {"leaving", host.leaving}});
    }
    return json{{"hosts", list}}.dump();
}

verdict<std::vector<listed_host>> decode_hosts(const std::string& body)
{
    return decode<std::vector<listed_host>>(
        body,
        [](json_reader& in, json_errors& errors)
        {
            std::vector<listed_host> hosts;
            for_each_object(in, "hosts", errors,
                            [&hosts](json_reader& host)
                            {
                                hosts.push_back(
                                    {.name = host.text("name", max_name_bytes),
                                     .role = host.one_of("role", {"entry", "placer", "backend"}),
                                     .domain = domain_id(host.text("domain", max_name_bytes)),
                                     .address = host.text("address", max_name_bytes),
                                     .leaving = host.boolean("leaving", false)});
                            });
            return hosts;
        });
}

std::string encode_limits(const weight_store_limits& limits)
{
    return json{{"milliloads_per_second", limits.milliloads_per_second},
                {"full_speed_loads", limits.full_speed_loads},
                {"full_speed_adapters", limits.full_speed_adapters}}
        .dump();
}

verdict<weight_store_limits> decode_limits(const std::string& body)
{
    return decode<weight_store_limits>(
        body,
        [](json_reader& in, json_errors&)
        {
            return weight_store_limits{
                .milliloads_per_second = in.integer("milliloads_per_second", 1, max_integer),
                .full_speed_loads = static_cast<int>(in.integer("full_speed_loads", 1, INT32_MAX)),
                .full_speed_adapters =
                    static_cast<int>(in.integer("full_speed_adapters", 1, INT32_MAX)),
            };
        });
}

std::string encode_order(const engine_order& order)
{
    return json{{"kind", to_string(order.kind)},      {"model", order.model.str()},
                {"version", order.version.str()},     {"adapter", order.adapter.str()},
                {"memory_mib", order.memory.count()}, {"fencing", order.fencing.count()}}
        .dump();
}

verdict<engine_order> decode_order(const std::string& body)
{
    return decode<engine_order>(
        body,
        [](json_reader& in, json_errors&)
        {
            return engine_order{
                .kind = enum_of<order_kind>(in, "kind", order_names),
                .model = model_id(in.text("model", max_name_bytes)),
                .version = version_id(in.text("version", max_name_bytes, "")),
                .adapter = adapter_id(in.text("adapter", max_name_bytes, "")),
                .memory = mebibytes(in.integer("memory_mib", 0, max_integer, 0)),
                .fencing = fencing_number(in.integer("fencing", 0, max_integer)),
            };
        });
}

std::string encode_engine_report(const engine_report& report)
{
    json replicas = json::array();
    for (const auto& replica : report.replicas)
    {
        replicas.push_back(write(replica));
    }
    json cached = json::array();
    for (const auto& it : report.cached)
    {
        cached.push_back({{"model", it.model.str()},
                          {"version", it.version.str()},
                          {"tier", tier_names[static_cast<std::size_t>(it.tier)]}});
    }
    return json{{"life", report.incarnation.count()},
                {"memory_total_mib", report.memory_total.count()},
                {"memory_used_mib", report.memory_used.count()},
                {"fencing", report.fencing.count()},
                {"replicas", replicas},
                {"cached", cached}}
        .dump();
}

verdict<engine_report> decode_engine_report(const std::string& body)
{
    return decode<engine_report>(
        body,
        [](json_reader& in, json_errors& errors)
        {
            engine_report report;
            report.incarnation = incarnation_id(in.integer("life", 0, max_integer));
            report.memory_total = mebibytes(in.integer("memory_total_mib", 0, max_integer));
            report.memory_used = mebibytes(in.integer("memory_used_mib", 0, max_integer));
            report.fencing = fencing_number(in.integer("fencing", 0, max_integer));
            for_each_object(in, "replicas", errors,
                            [&report](json_reader& it)
                            { report.replicas.push_back(read_replica(it)); });
            for_each_object(in, "cached", errors,
                            [&report](json_reader& it)
                            {
                                report.cached.push_back(
                                    {.model = model_id(it.text("model", max_name_bytes)),
                                     .version = version_id(it.text("version", max_name_bytes)),
                                     .tier = enum_of<checkpoint_tier>(it, "tier", tier_names)});
                            });
            return report;
        });
}

std::string encode_load_report(const load_report& report)
{
    return json{
        {"running", report.running}, {"waiting", report.waiting}, {"age_ms", report.age.count()}}
        .dump();
}

verdict<load_report> decode_load_report(const std::string& body)
{
    return decode<load_report>(
        body,
        [](json_reader& in, json_errors&)
        {
            return load_report{.running = static_cast<int>(in.integer("running", 0, INT32_MAX)),
                               .waiting = static_cast<int>(in.integer("waiting", 0, INT32_MAX)),
                               .age = milliseconds(in.integer("age_ms", 0, max_integer))};
        });
}

std::string encode_engine_request(const completion_request& request)
{
    return json{{"id", request.id.str()},           {"model", request.model.str()},
                {"adapter", request.adapter.str()}, {"prompt", request.prompt},
                {"max_tokens", request.max_tokens}, {"priority", request.priority}}
        .dump();
}

verdict<completion_request> decode_engine_request(const std::string& body)
{
    return decode<completion_request>(
        body,
        [](json_reader& in, json_errors&)
        {
            return completion_request{
                .id = request_id(in.text("id", max_name_bytes)),
                .model = model_id(in.text("model", max_name_bytes)),
                .adapter = adapter_id(in.text("adapter", max_name_bytes, "")),
                .prompt = in.text("prompt", max_data_bytes, ""),
                .max_tokens = in.integer("max_tokens", 1, max_integer),
                .priority = static_cast<int>(in.integer("priority", INT32_MIN, INT32_MAX, 0)),
            };
        });
}

std::string encode_engine_event(const engine_event& event)
{
    json out = {{"id", event.token.id.str()}, {"position", event.token.position}};
    if (event.end)
    {
        out["end"] = {{"prompt_tokens", event.end->prompt_tokens},
                      {"answer_tokens", event.end->completion_tokens},
                      {"finish_reason", event.end->finish_reason}};
    }
    else
    {
        out["text"] = event.token.text;
    }
    return out.dump();
}

verdict<engine_event> decode_engine_event(const std::string& data)
{
    return decode<engine_event>(
        data,
        [](json_reader& in, json_errors& errors)
        {
            engine_event event;
            event.token.id = request_id(in.text("id", max_name_bytes));
            event.token.position = in.integer("position", 0, max_integer);
            if (const json* end = in.member("end"))
            {
                json_reader it(*end, "end", errors);
                event.end =
                    completion_end{.prompt_tokens = it.integer("prompt_tokens", 0, max_integer),
                                   .completion_tokens = it.integer("answer_tokens", 0, max_integer),
                                   .finish_reason = it.text("finish_reason", max_name_bytes)};
                return event;
            }
            event.token.text = in.text("text", max_data_bytes, "");
            return event;
        });
}

} // namespace banyanshunt
