#pragma once

/// \file
/// Several entry hosts in this process, spread over failure domains. Each domain reaches the one
/// platform through a proxy.

#include <memory>
#include <vector>

#include "entry/entry_host.hpp"
#include "protocol/admin_codec.hpp"
#include "stand_ins/platform_proxy.hpp"
#include "stand_ins/platform_stand_in.hpp"

namespace banyanshunt
{

/// Hosts "h0", "h1", ... assigned to domains "d0", "d1", ... round-robin.
class entry_fleet
{
public:
    entry_fleet(std::size_t hosts, std::size_t domains);
    ~entry_fleet();
    entry_fleet(const entry_fleet&) = delete;
    entry_fleet& operator=(const entry_fleet&) = delete;

    platform_stand_in& platform() { return platform_; }
    platform_proxy& proxy(std::size_t domain) { return *proxies_.at(domain); }
    std::size_t size() const { return hosts_.size(); }
    entry_host& host(std::size_t i) { return *hosts_.at(i); }

    /// Starts one more host, named after its index, in the next domain; returns its index.
    std::size_t add_host(const std::vector<std::string>& seeds = {});
    /// Writes all hosts into the platform's list.
    void list_hosts();
    /// Appends a ticket to the log; returns the offset after it.
    log_offset publish(const std::string& ticket);

    /// The status that a host reports; nothing if it did not respond.
    std::optional<host_status> status(std::size_t i);
    /// Waits until the host's state includes the log up to `next_offset`; false once `timeout` is
    /// over.
    bool wait_for(std::size_t i, log_offset next_offset, milliseconds timeout);

private:
    platform_stand_in platform_;
    std::vector<std::unique_ptr<platform_proxy>> proxies_;
    std::vector<std::unique_ptr<entry_host>> hosts_;
    http_client http_;
};

} // namespace banyanshunt
