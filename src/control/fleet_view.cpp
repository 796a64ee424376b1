#include "control/fleet_view.hpp"

#include <algorithm>
#include <deque>
#include <set>

namespace banyanshunt
{
namespace
{

verdict<host_status> query_status(http_client& http, const std::string& address,
                                  milliseconds timeout)
{
    http_call call{.address = address,
                   .method = "GET",
                   .path = "/state",
                   .headers = {},
                   .body = {},
                   .connect_timeout = timeout,
                   .read_timeout = timeout};
    auto response = http.send(call);
    if (!response)
    {
        return response.error();
    }
    return decode_status(response->body);
}

void apply_own_status(host_report& it, const host_status& status, const std::string& address)
{
    it.host = status.host;
    it.domain = status.domain;
    it.admin_address = address;
    it.leaving = status.leaving;
    it.responded = true;
    it.last_ticket = status.last_ticket;
    it.view_age = status.view_age;
}

void apply_peer_status(host_report& it, const peer_status& peer)
{
    it.host = peer.host;
    it.domain = peer.domain;
    it.listed = it.listed || peer.listed;
    if (it.responded)
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
                                           milliseconds timeout)
{
    std::map<host_id, host_report> hosts;
    std::deque<std::string> queue(admin_addresses.begin(), admin_addresses.end());
    std::set<std::string> queried;
    while (!queue.empty())
    {
        std::string address = queue.front();
        queue.pop_front();
        if (address.empty() || !queried.insert(address).second)
        {
            continue;
        }
        auto status = query_status(http, address, timeout);
        if (!status)
        {
            continue;
        }
        apply_own_status(hosts[status->host], *status, address);
        for (const auto& peer : status->peers)
        {
            apply_peer_status(hosts[peer.host], peer);
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
