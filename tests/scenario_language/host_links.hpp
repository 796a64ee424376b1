#pragma once

/// \file
/// The links from one host to the platform and to its peers. Each host reads its own host list,
/// which gives every peer the address of a link of this host, so that any two hosts can be
/// disconnected from each other without affecting the others.

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

/// A change to a link.
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

    /// Address at which this host reaches the log service and the weight store.
    const std::string& platform_address() const { return platform_.address(); }
    /// Address at which this host reads its host list.
    std::string list_address() const { return list_link_->address(); }

    /// Adds a process of another host, or of this one, to the host list.
    void add_peer(const listed_host& peer);
    /// Marks a host's processes as leaving.
    void mark_leaving(const std::string& host);
    void set_list_down(bool down) { list_down_ = down; }

    void change_platform(link_change what);
    void change_peer(const std::string& host, link_change what);

private:
    http_response serve_host_list();

    fault_proxy platform_;
    std::mutex mutex_;
    std::vector<listed_host> listed_hosts_;
    std::multimap<std::string, std::unique_ptr<fault_proxy>> peers_;
    std::atomic<bool> list_down_ = false;
    http_server list_server_;
    std::unique_ptr<fault_proxy> list_link_;
};

} // namespace banyanshunt::scenario
