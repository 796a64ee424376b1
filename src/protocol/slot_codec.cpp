#include "protocol/slot_codec.hpp"

#include <nlohmann/json.hpp>

#include "protocol/json_reader.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::size_t max_name_bytes = 128;
constexpr std::int64_t max_slot_index = 100'000;

slot_set read_slots(const nlohmann::json& list, json_errors& errors)
{
    slot_set slots;
    if (!list.is_array())
    {
        errors.report("slots", "must be a list");
        return slots;
    }
    for (const auto& item : list)
    {
        json_reader in(item, "slots", errors);
        replica_slot slot{.model = model_id(in.text("model", max_name_bytes)),
                          .index = static_cast<int>(in.integer("index", 0, max_slot_index))};
        in.reject_unknown();
        slots.insert(std::move(slot));
    }
    return slots;
}

} // namespace

std::string encode_slot_record(const slot_record& record)
{
    auto slots = nlohmann::json::array();
    for (const auto& slot : record.slots)
    {
        slots.push_back({{"model", slot.model.str()}, {"index", slot.index}});
    }
    return nlohmann::json{{"server", record.server.str()},
                          {"fencing", record.fencing.count()},
                          {"sequence", record.sequence},
                          {"slots", std::move(slots)}}
        .dump();
}

verdict<slot_record> decode_slot_record(const std::string& text)
{
    json_errors errors;
    auto document = parse_json(text, errors);
    json_reader in(document, "", errors);
    slot_record record{.server = server_id(in.text("server", max_name_bytes)),
                       .fencing = fencing_number(in.integer("fencing", 1, INT64_MAX)),
                       .sequence = in.integer("sequence", 1, INT64_MAX),
                       .slots = {}};
    const nlohmann::json* slots = in.member("slots");
    if (slots)
    {
        record.slots = read_slots(*slots, errors);
    }
    in.reject_unknown();
    if (!errors.empty() || !slots)
    {
        return failure{.run = run_state::not_run,
                       .code = errc::bad_answer,
                       .detail = errors.empty() ? "slots: missing" : errors.first(),
                       .retry_after = {}};
    }
    return record;
}

} // namespace banyanshunt
