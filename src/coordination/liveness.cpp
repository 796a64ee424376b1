#include "coordination/liveness.hpp"

#include <algorithm>

namespace banyanshunt
{

void liveness::take_list(const std::vector<listed_host>& list, instant now)
{
    for (auto& [id, peer] : peers_)
    {
        peer.listed = false;
        peer.listed_leaving = false;
    }
    milliseconds limit = patience();
    for (const auto& host : list)
    {
        host_id id(host.name);
        if (host.role != entry_role || id == options_.self)
        {
            continue;
        }
        peer_view& peer = peers_[id];
        peer.host = id;
        peer.domain = host.domain;
        peer.listed = true;
        peer.listed_leaving = host.leaving;
        if (!peer.heard_within(limit, now))
        {
            peer.address = host.address;
        }
    }
    std::erase_if(peers_, [&](const auto& it)
                  { return !it.second.listed && !it.second.heard_within(options_.memory, now); });
    std::erase_if(replaced_, [&](const auto& it) { return !peers_.contains(it.first); });
}

void liveness::hear(const heartbeat& it, instant now)
{
    if (it.role != entry_role || it.host == options_.self)
    {
        return;
    }
    auto& replaced = replaced_[it.host];
    if (std::find(replaced.begin(), replaced.end(), it.life) != replaced.end())
    {
        return;
    }
    peer_view& peer = peers_[it.host];
    if (peer.said && peer.said->life != it.life)
    {
        replaced.push_back(peer.said->life);
    }
    bool same_life = peer.said && peer.said->life == it.life;
    heartbeat newest = it;
    if (same_life && peer.said->through > it.through)
    {
        // Heartbeats may cross; what a host has in force never goes back within one life.
        newest.through = peer.said->through;
        newest.last_ticket = peer.said->last_ticket;
    }
    newest.leaving = it.leaving || (same_life && peer.said->leaving);
    peer.host = it.host;
    peer.domain = it.domain;
    peer.address = it.peer_address;
    peer.said = newest;
    peer.heard_at = now;
}

const peer_view* liveness::find(const host_id& host) const
{
    auto it = peers_.find(host);
    return it == peers_.end() ? nullptr : &it->second;
}

milliseconds liveness::patience() const
{
    auto near = std::count_if(peers_.begin(), peers_.end(),
                              [&](const auto& it) { return it.second.domain == options_.domain; });
    return std::max(options_.patience, options_.patience_per_peer * near);
}

std::vector<peer_view> liveness::live(instant now) const
{
    std::vector<peer_view> found;
    milliseconds limit = patience();
    for (const auto& [id, peer] : peers_)
    {
        if (peer.heard_within(limit, now) && !peer.leaving())
        {
            found.push_back(peer);
        }
    }
    return found;
}

std::vector<peer_view> liveness::live_in(const domain_id& domain, instant now) const
{
    auto found = live(now);
    std::erase_if(found, [&](const auto& peer) { return peer.domain != domain; });
    return found;
}

std::vector<peer_view> liveness::reachable() const
{
    std::vector<peer_view> found;
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
