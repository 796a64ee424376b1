#include "coordination/peer_table.hpp"

#include <algorithm>

namespace banyanshunt
{

void peer_table::handle_host_list(const std::vector<listed_host>& list, instant now)
{
    for (auto& [id, peer] : peers_)
    {
        peer.listed = false;
        peer.listed_leaving = false;
    }
    milliseconds limit = peer_timeout();
    for (const auto& host : list)
    {
        host_id id(host.name);
        if (host.role != entry_role || id == options_.self)
        {
            continue;
        }
        peer_info& peer = peers_[id];
        peer.host = id;
        peer.domain = host.domain;
        peer.listed = true;
        peer.listed_leaving = host.leaving;
        if (!peer.heartbeat_within(limit, now))
        {
            peer.address = host.address;
        }
    }
    std::erase_if(
        peers_, [&](const auto& it)
        { return !it.second.listed && !it.second.heartbeat_within(options_.retention, now); });
    std::erase_if(replaced_incarnations_,
                  [&](const auto& it) { return !peers_.contains(it.first); });
}

void peer_table::handle_heartbeat(const heartbeat& it, instant now)
{
    if (it.role != entry_role || it.host == options_.self)
    {
        return;
    }
    auto& replaced = replaced_incarnations_[it.host];
    if (std::find(replaced.begin(), replaced.end(), it.incarnation) != replaced.end())
    {
        return;
    }
    peer_info& peer = peers_[it.host];
    if (peer.last_heartbeat && peer.last_heartbeat->incarnation != it.incarnation)
    {
        replaced.push_back(peer.last_heartbeat->incarnation);
    }
    bool same_incarnation =
        peer.last_heartbeat && peer.last_heartbeat->incarnation == it.incarnation;
    heartbeat newest = it;
    if (same_incarnation && peer.last_heartbeat->next_offset > it.next_offset)
    {
        // Heartbeats may arrive out of order; a host's applied state never goes back within one
        // incarnation.
        newest.next_offset = peer.last_heartbeat->next_offset;
        newest.last_ticket = peer.last_heartbeat->last_ticket;
    }
    newest.leaving = it.leaving || (same_incarnation && peer.last_heartbeat->leaving);
    peer.host = it.host;
    peer.domain = it.domain;
    peer.address = it.peer_address;
    peer.last_heartbeat = newest;
    peer.heartbeat_at = now;
}

const peer_info* peer_table::find(const host_id& host) const
{
    auto it = peers_.find(host);
    return it == peers_.end() ? nullptr : &it->second;
}

milliseconds peer_table::peer_timeout() const
{
    auto same_domain =
        std::count_if(peers_.begin(), peers_.end(),
                      [&](const auto& it) { return it.second.domain == options_.domain; });
    return std::max(options_.peer_timeout, options_.timeout_per_peer * same_domain);
}

std::vector<peer_info> peer_table::live(instant now) const
{
    std::vector<peer_info> found;
    milliseconds limit = peer_timeout();
    for (const auto& [id, peer] : peers_)
    {
        if (peer.heartbeat_within(limit, now) && !peer.leaving())
        {
            found.push_back(peer);
        }
    }
    return found;
}

std::vector<peer_info> peer_table::live_in(const domain_id& domain, instant now) const
{
    auto found = live(now);
    std::erase_if(found, [&](const auto& peer) { return peer.domain != domain; });
    return found;
}

std::vector<peer_info> peer_table::reachable() const
{
    std::vector<peer_info> found;
    for (const auto& [id, peer] : peers_)
    {
        if (!peer.address.empty())
        {
            found.push_back(peer);
        }
    }
    return found;
}

} // namespace banyanshunt
