#include "protocol/share_codec.hpp"

#include <nlohmann/json.hpp>

#include "protocol/json_reader.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::size_t longest_name = 128;

nlohmann::json write_lives(const std::vector<host_incarnation>& lives)
{
    auto out = nlohmann::json::array();
    for (const auto& it : lives)
    {
        out.push_back({{"host", it.host.str()}, {"life", it.incarnation.count()}});
    }
    return out;
}

std::vector<host_incarnation> read_lives(json_reader& in, const std::string& name,
                                         json_errors& errors)
{
    std::vector<host_incarnation> lives;
    const nlohmann::json* list = in.member(name);
    if (!list || !list->is_array())
    {
        errors.report(name, "must be a list");
        return lives;
    }
    for (const auto& item : *list)
    {
        json_reader life(item, name, errors);
        lives.push_back({.host = host_id(life.text("host", longest_name)),
                         .incarnation = incarnation_id(life.integer("life", 0, INT64_MAX))});
        life.reject_unknown();
    }
    return lives;
}

} // namespace

std::string encode_share_record(const share_record& record)
{
    return nlohmann::json{{"follows", record.follows.count()},
                          {"members", write_lives(record.members)},
                          {"former", write_lives(record.former)},
                          {"witnesses", write_lives(record.witnesses)}}
        .dump();
}

verdict<share_record> decode_share_record(const std::string& text)
{
    json_errors errors;
    auto document = parse_json(text, errors);
    json_reader in(document, "", errors);
    share_record record{.follows = log_offset(in.integer("follows", 0, INT64_MAX)),
                        .members = read_lives(in, "members", errors),
                        .former = read_lives(in, "former", errors),
                        .witnesses = read_lives(in, "witnesses", errors)};
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
