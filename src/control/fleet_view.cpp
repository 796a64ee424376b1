#include "control/fleet_view.hpp"

#include <algorithm>
#include <deque>
#include <set>

namespace banyanshunt
{
namespace
{

verdict<host_status> ask(http_client& http, const std::string& address, milliseconds patience)
{
    http_call call{.address = address,
                   .method = "GET",
                   .path = "/state",
                   .headers = {},
                   .body = {},
                   .connect_timeout = patience,
                   .read_timeout = patience};
    auto answer = http.send(call);
    if (!answer)
    {
        return answer.error();
    }
    return decode_status(answer->body);
}

void take_own_word(host_report& it, const host_status& said, const std::string& address)
{
    it.host = said.host;
    it.domain = said.domain;
    it.admin_address = address;
    it.leaving = said.leaving;
    it.answered = true;
    it.last_ticket = said.last_ticket;
    it.view_age = said.view_age;
}

void take_peers_word(host_report& it, const peer_status& peer)
{
    it.host = peer.host;
    it.domain = peer.domain;
    it.listed = it.listed || peer.listed;
    if (it.answered)
    {
        return;
    }
    it.leaving = it.leaving || peer.leaving;
    it.last_ticket = std::max(it.last_ticket, peer.last_ticket);
    if (!peer.admin_address.empty())
    {
        it.admin_address = peer.admin_address;
    }
}

} // namespace

std::map<host_id, host_report> query_hosts(http_client& http,
                                           const std::vector<std::string>& admin_addresses,
                                           milliseconds patience)
{
    std::map<host_id, host_report> hosts;
    std::deque<std::string> queue(admin_addresses.begin(), admin_addresses.end());
    std::set<std::string> asked;
    while (!queue.empty())
    {
        std::string address = queue.front();
        queue.pop_front();
        if (address.empty() || !asked.insert(address).second)
        {
            continue;
        }
        auto said = ask(http, address, patience);
        if (!said)
        {
            continue;
        }
        take_own_word(hosts[said->host], *said, address);
        for (const auto& peer : said->peers)
        {
            take_peers_word(hosts[peer.host], peer);
            queue.push_back(peer.admin_address);
        }
    }
    return hosts;
}

std::vector<host_report> unconfirmed(const std::map<host_id, host_report>& hosts,
                                     ticket_number number)
{
    std::vector<host_report> found;
    for (const auto& [id, host] : hosts)
    {
        if (!host.leaving && !host.confirms(number))
        {
            found.push_back(host);
        }
    }
    return found;
}

} // namespace banyanshunt
