#include "protocol/share_codec.hpp"

#include <nlohmann/json.hpp>

#include "protocol/json_reader.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::size_t max_name_bytes = 128;

nlohmann::json write_incarnations(const std::vector<host_incarnation>& incarnations)
{
    auto out = nlohmann::json::array();
    for (const auto& it : incarnations)
    {
        out.push_back({{"host", it.host.str()}, {"life", it.incarnation.count()}});
    }
    return out;
}

std::vector<host_incarnation> read_incarnations(json_reader& in, const std::string& name,
                                                json_errors& errors)
{
    std::vector<host_incarnation> incarnations;
    const nlohmann::json* list = in.member(name);
    if (!list || !list->is_array())
    {
        errors.report(name, "must be a list");
        return incarnations;
    }
    for (const auto& item : *list)
    {
        json_reader member(item, name, errors);
        incarnations.push_back(
            {.host = host_id(member.text("host", max_name_bytes)),
             .incarnation = incarnation_id(member.integer("life", 0, INT64_MAX))});
        member.reject_unknown();
    }
    return incarnations;
}

} // namespace

std::string encode_share_record(const share_record& record)
{
    return nlohmann::json{{"follows", record.follows.count()},
                          {"members", write_incarnations(record.members)},
                          {"former", write_incarnations(record.former)},
                          {"witnesses", write_incarnations(record.witnesses)}}
        .dump();
}

verdict<share_record> decode_share_record(const std::string& text)
{
    json_errors errors;
    auto document = parse_json(text, errors);
    json_reader in(document, "", errors);
    share_record record{.follows = log_offset(in.integer("follows", 0, INT64_MAX)),
                        .members = read_incarnations(in, "members", errors),
                        .former = read_incarnations(in, "former", errors),
                        .witnesses = read_incarnations(in, "witnesses", errors)};
    in.reject_unknown();
    if (!errors.empty())
    {
        return errors.as_failure(run_state::not_run);
    }
    return record;
}

stream_name share_stream(const domain_id& domain)
{
    return stream_name("shares." + domain.str());
}

} // namespace banyanshunt
