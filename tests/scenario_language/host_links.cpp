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
    : platform_(platform_address), list_server_({.address = "127.0.0.1:0", .threads = 8})
{
    list_server_.handle("GET", "/hosts", [this](auto&) { return serve_host_list(); });
    list_server_.start();
    list_link_ = std::make_unique<fault_proxy>(list_server_.address());
}

host_links::~host_links()
{
    list_server_.stop();
}

http_response host_links::serve_host_list()
{
    if (list_down_)
    {
        return {.status = 503, .headers = {}, .body = {}, .stream = {}};
    }
    std::lock_guard lock(mutex_);
    return {.headers = {}, .body = encode_hosts(listed_hosts_), .stream = {}};
}

void host_links::add_peer(const listed_host& peer)
{
    auto link = std::make_unique<fault_proxy>(peer.address);
    listed_host linked_peer = peer;
    linked_peer.address = link->address();
    std::lock_guard lock(mutex_);
    listed_hosts_.push_back(linked_peer);
    peers_.emplace(peer.name, std::move(link));
}

void host_links::mark_leaving(const std::string& host)
{
    std::lock_guard lock(mutex_);
    for (auto& it : listed_hosts_)
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
