#include "protocol/claim_codec.hpp"

#include <nlohmann/json.hpp>

#include "coordination/key_check.hpp"
#include "protocol/json_reader.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_name_bytes = 512;
constexpr std::size_t max_body_bytes = 64 * 1024;
constexpr std::int64_t max_status = 999;

const char* name_of(claim_record_kind kind)
{
    switch (kind)
    {
    case claim_record_kind::claim:
        return "claim";
    case claim_record_kind::abandon:
        return "abandon";
    case claim_record_kind::outcome:
        return "outcome";
    }
    return "";
}

claim_record_kind kind_of(const std::string& name)
{
    if (name == "claim")
    {
        return claim_record_kind::claim;
    }
    return name == "abandon" ? claim_record_kind::abandon : claim_record_kind::outcome;
}

// Hexadecimal, because bodies may hold any bytes and JSON strings only text.
std::string hexadecimal(const std::string& bytes)
{
    std::string text;
    for (unsigned char c : bytes)
    {
        text += fmt::format("{:02x}", c);
    }
    return text;
}

int digit_of(char c)
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

std::string bytes_of(const std::string& text, json_errors& errors)
{
    std::string bytes;
    bool valid = text.size() % 2 == 0;
    for (std::size_t i = 0; valid && i < text.size(); i += 2)
    {
        int high = digit_of(text[i]);
        int low = digit_of(text[i + 1]);
        valid = high >= 0 && low >= 0;
        bytes += static_cast<char>(high * 16 + low);
    }
    if (!valid)
    {
        errors.report("body", "must be hexadecimal");
    }
    return bytes;
}

} // namespace

std::string encode_claim_record(const claim_record& record)
{
    json out = {{"step", name_of(record.kind)},
                {"scope", record.key.scope},
                {"key", hexadecimal(record.key.key)},
                {"claim", record.claim.str()}};
    if (record.kind == claim_record_kind::claim)
    {
        out["digest"] = record.digest;
    }
    if (record.kind == claim_record_kind::outcome)
    {
        out["status"] = record.outcome.status;
        out["content_type"] = record.outcome.content_type;
        out["body"] = hexadecimal(record.outcome.body);
        out["cut"] = record.outcome.body_dropped;
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

verdict<claim_record> decode_claim_record(const std::string& text)
{
    json_errors errors;
    auto document = parse_json(text, errors);
    json_reader in(document, "", errors);
    claim_record record;
    record.kind = kind_of(in.one_of("step", {"claim", "abandon", "outcome"}));
    record.key = {.scope = in.text("scope", max_name_bytes),
                  .key = bytes_of(in.text("key", 2 * max_name_bytes), errors)};
    record.claim = record_id(in.text("claim", max_name_bytes));
    if (record.kind == claim_record_kind::claim)
    {
        record.digest = in.text("digest", max_name_bytes);
    }
    if (record.kind == claim_record_kind::outcome)
    {
        record.outcome.status = static_cast<int>(in.integer("status", 0, max_status));
        record.outcome.content_type = in.text("content_type", max_name_bytes, "");
        record.outcome.body = bytes_of(in.text("body", 2 * max_body_bytes, ""), errors);
        record.outcome.body_dropped = in.boolean("cut", false);
    }
    in.reject_unknown();
    if (!errors.empty())
    {
        return errors.as_failure(run_state::not_run);
    }
    return record;
}

std::string call_digest(const std::string& method, const std::string& target,
                        const std::string& body)
{
    return salted_hash("", method + '\n' + target + '\n' + body);
}

} // namespace banyanshunt
