#include "scenario_language/host_links.hpp"

#include "protocol/platform_codec.hpp"

namespace banyanshunt::scenario
{

void change(fault_proxy& link, link_change what)
{
    switch (what)
    {
    case link_change::cut:
        link.cut();
        break;
    case link_change::blackhole:
        link.blackhole();
        break;
    case link_change::heal:
        link.heal();
        break;
    }
}

host_links::host_links(const std::string& platform_address)
    : platform_(platform_address), list_({.address = "127.0.0.1:0", .threads = 8})
{
    list_.handle("GET", "/hosts", [this](auto&) { return tell_list(); });
    list_.start();
    list_link_ = std::make_unique<fault_proxy>(list_.address());
}

host_links::~host_links()
{
    list_.stop();
}

http_response host_links::tell_list()
{
    if (list_down_)
    {
        return {.status = 503, .headers = {}, .body = {}, .stream = {}};
    }
    std::lock_guard lock(mutex_);
    return {.headers = {}, .body = encode_hosts(listed_), .stream = {}};
}

void host_links::add_peer(const listed_host& peer)
{
    auto link = std::make_unique<fault_proxy>(peer.address);
    listed_host seen = peer;
    seen.address = link->address();
    std::lock_guard lock(mutex_);
    listed_.push_back(seen);
    peers_.emplace(peer.name, std::move(link));
}

void host_links::mark_leaving(const std::string& host)
{
    std::lock_guard lock(mutex_);
    for (auto& it : listed_)
    {
        it.leaving = it.leaving || it.name == host;
    }
}

void host_links::change_platform(link_change what)
{
    change(platform_, what);
    change(*list_link_, what);
}

void host_links::change_peer(const std::string& host, link_change what)
{
    std::lock_guard lock(mutex_);
    auto [first, last] = peers_.equal_range(host);
    for (auto it = first; it != last; ++it)
    {
        change(*it->second, what);
    }
}

} // namespace banyanshunt::scenario
