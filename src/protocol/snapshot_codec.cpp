#include "protocol/snapshot_codec.hpp"

#include <nlohmann/json.hpp>

#include "protocol/json_reader.hpp"
#include "protocol/state_codec.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::int64_t index_format = 1;
constexpr std::size_t max_snapshot_name_bytes = 128;
constexpr std::int64_t max_chunks = 1'000'000;

failure bad_record(std::string detail)
{
    return {.run = run_state::not_run,
            .code = errc::bad_answer,
            .detail = std::move(detail),
            .retry_after = {}};
}

verdict<state_delta> decode_chunks(const std::vector<std::string>& chunks)
{
    delta_assembler assembler;
    for (const auto& chunk : chunks)
    {
        auto added = assembler.add(chunk);
        if (!added)
        {
            return added.error();
        }
    }
    if (!assembler.complete() || assembler.delta().since.count() != 0)
    {
        return bad_record("the snapshot is incomplete");
    }
    return assembler.delta();
}

std::string encode_entry(const snapshot_entry& it)
{
    nlohmann::json out = {{"format", index_format},
                          {"name", it.name},
                          {"first", it.first_offset.count()},
                          {"parts", it.chunks},
                          {"through", it.next_offset.count()}};
    return out.dump();
}

verdict<snapshot_entry> decode_entry(const std::string& text)
{
    json_errors errors;
    nlohmann::json document = parse_json(text, errors);
    json_reader in(document, "", errors);
    in.integer("format", index_format, index_format);
    snapshot_entry it{.name = in.text("name", max_snapshot_name_bytes),
                      .first_offset = log_offset(in.integer("first", 0, INT64_MAX)),
                      .chunks = in.integer("parts", 1, max_chunks),
                      .next_offset = log_offset(in.integer("through", 1, INT64_MAX))};
    if (!errors.empty())
    {
        return bad_record(errors.first());
    }
    return it;
}

} // namespace

const snapshot_codec& json_snapshot_codec()
{
    static const snapshot_codec it{.encode = encode_delta,
                                   .decode = decode_chunks,
                                   .encode_entry = encode_entry,
                                   .decode_entry = decode_entry};
    return it;
}

} // namespace banyanshunt
