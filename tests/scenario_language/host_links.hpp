#pragma once

/// \file
/// Defines the links from one host to the platform and to its peers. Each host reads a host list of
/// its own, in which every peer stands behind a link of this host, so that any two hosts can be cut
/// off from each other while all others go on.

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "coordination/host_list.hpp"
#include "stand_ins/fault_proxy.hpp"
#include "transport/http_server.hpp"

namespace banyanshunt::scenario
{

/// What can be done to a link.
enum class link_change
{
    cut,
    blackhole,
    heal,
};

/// Applies a change to one link.
void change(fault_proxy& link, link_change what);

class host_links
{
public:
    explicit host_links(const std::string& platform_address);
    ~host_links();
    host_links(const host_links&) = delete;
    host_links& operator=(const host_links&) = delete;

    /// Where this host finds the log service and weight store.
    const std::string& platform_address() const { return platform_.address(); }
    /// Where this host finds its host list.
    std::string list_address() const { return list_link_->address(); }

    /// Puts a process of another host, or of this one, on the list.
    void add_peer(const listed_host& peer);
    /// Marks a host's processes as leaving.
    void mark_leaving(const std::string& host);
    void set_list_down(bool down) { list_down_ = down; }

    void change_platform(link_change what);
    void change_peer(const std::string& host, link_change what);

private:
    http_response tell_list();

    fault_proxy platform_;
    std::mutex mutex_;
    std::vector<listed_host> listed_;
    std::multimap<std::string, std::unique_ptr<fault_proxy>> peers_;
    std::atomic<bool> list_down_ = false;
    http_server list_;
    std::unique_ptr<fault_proxy> list_link_;
};

} // namespace banyanshunt::scenario
