#include "protocol/admin_codec.hpp"

#include <nlohmann/json.hpp>

#include "protocol/object_codec.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_text_bytes = 256;

json write_peer(const peer_status& it)
{
    return {{"host", it.host.str()},
            {"domain", it.domain.str()},
            {"peer_address", it.peer_address},
            {"admin_address", it.admin_address},
            {"listed", it.listed},
            {"heard", it.alive},
            {"leaving", it.leaving},
            {"ticket", it.last_ticket.count()}};
}

peer_status read_peer(json_reader& in)
{
    return {.host = host_id(in.text("host", max_text_bytes)),
            .domain = domain_id(in.text("domain", max_text_bytes)),
            .peer_address = in.text("peer_address", max_text_bytes, ""),
            .admin_address = in.text("admin_address", max_text_bytes, ""),
            .listed = in.boolean("listed"),
            .alive = in.boolean("heard"),
            .leaving = in.boolean("leaving"),
            .last_ticket = ticket_number(in.integer("ticket", 0, INT64_MAX))};
}

template <class Id, class Object>
void write_table(json& out, const char* kind, const state_table<Id, Object>& table)
{
    out[kind] = json::object();
    for (const auto& [id, entry] : table)
    {
        if (!entry->value)
        {
            continue;
        }
        json it = write_object(*entry->value);
        it.erase("salt");
        it.erase("hash");
        it["set_by_ticket"] = entry->ticket.count();
        out[kind][id.str()] = std::move(it);
    }
}

} // namespace

host_status status_of(const heartbeat& self, const peer_table& peers, instant now)
{
    host_status it{.host = self.host,
                   .domain = self.domain,
                   .incarnation = self.incarnation,
                   .leaving = self.leaving,
                   .next_offset = self.next_offset,
                   .last_ticket = self.last_ticket,
                   .view_age = self.view_age,
                   .peers = {}};
    for (const auto& [id, peer] : peers.peers())
    {
        it.peers.push_back(
            {.host = id,
             .domain = peer.domain,
             .peer_address = peer.address,
             .admin_address = peer.last_heartbeat ? peer.last_heartbeat->admin_address : "",
             .listed = peer.listed,
             .alive = peer.heartbeat_within(peers.peer_timeout(), now),
             .leaving = peer.leaving(),
             .last_ticket =
                 peer.last_heartbeat ? peer.last_heartbeat->last_ticket : ticket_number()});
    }
    return it;
}

std::string encode_status(const host_status& it)
{
    json peers = json::array();
    for (const auto& peer : it.peers)
    {
        peers.push_back(write_peer(peer));
    }
    json out = {{"host", it.host.str()},
                {"domain", it.domain.str()},
                {"life", it.incarnation.count()},
                {"leaving", it.leaving},
                {"through", it.next_offset.count()},
                {"ticket", it.last_ticket.count()},
                {"peers", peers}};
    if (it.view_age)
    {
        out["view_age_ms"] = it.view_age->count();
    }
    return out.dump();
}

verdict<host_status> decode_status(const std::string& body)
{
    json_errors errors;
    json document = parse_json(body, errors);
    json_reader in(document, "", errors);
    host_status it{.host = host_id(in.text("host", max_text_bytes)),
                   .domain = domain_id(in.text("domain", max_text_bytes)),
                   .incarnation = incarnation_id(in.integer("life", 0, INT64_MAX)),
                   .leaving = in.boolean("leaving"),
                   .next_offset = log_offset(in.integer("through", 0, INT64_MAX)),
                   .last_ticket = ticket_number(in.integer("ticket", 0, INT64_MAX)),
                   .view_age = {},
                   .peers = {}};
    if (in.has("view_age_ms"))
    {
        it.view_age = milliseconds(in.integer("view_age_ms", 0, INT64_MAX));
    }
    const json* peers = in.member("peers");
    if (!peers || !peers->is_array())
    {
        errors.report("peers", "must be a list");
    }
    else
    {
        for (const auto& peer : *peers)
        {
            json_reader reader(peer, "peers", errors);
            it.peers.push_back(read_peer(reader));
        }
    }
    if (!errors.empty())
    {
        return errors.as_failure(run_state::may_have_run);
    }
    return it;
}

std::string encode_objects(const fleet_state& state)
{
    json out = {{"ticket", state.last_ticket.count()}, {"through", state.next_offset.count()}};
    write_table(out, "models", state.models);
    write_table(out, "adapters", state.adapters);
    write_table(out, "workspaces", state.workspaces);
    write_table(out, "keys", state.keys);
    write_table(out, "routes", state.routes);
    write_table(out, "servers", state.servers);
    return out.dump();
}

} // namespace banyanshunt
