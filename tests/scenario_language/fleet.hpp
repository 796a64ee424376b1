#pragma once

/// \file
/// The fleet of a scenario: real hosts and stand-ins of the outside systems, all in one process on
/// loopback, connected by links that can be cut.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/entry_host.hpp"
#include "placer/placer_host.hpp"
#include "scenario_language/host_links.hpp"
#include "stand_ins/engine_stand_in.hpp"
#include "stand_ins/fault_proxy.hpp"
#include "stand_ins/platform_stand_in.hpp"
#include "stand_ins/service_stand_in.hpp"
#include "transport/http_client.hpp"

namespace banyanshunt::scenario
{

/// An entry host and its placer.
struct fleet_host
{
    std::string name;
    std::string domain;
    std::unique_ptr<host_links> links;
    std::unique_ptr<placer_host> placer;
    std::unique_ptr<entry_host> entry;
    /// Whether it drained in time when stopped; empty while it runs.
    std::optional<bool> stopped_clean;
};

/// A backend server behind a link.
struct fleet_server
{
    std::string domain;
    std::int64_t memory_mib = 0;
    bool checks_fencing = true;
    std::unique_ptr<engine_stand_in> engine;
    std::unique_ptr<service_stand_in> service;
    std::unique_ptr<fault_proxy> link;

    fault_table& faults() const { return engine ? engine->faults() : service->faults(); }
    int runs() const;
    std::vector<std::string> headers_seen() const;
};

class fleet
{
public:
    explicit fleet(milliseconds load_time);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void add_host(const std::string& name, const std::string& domain);
    void add_engine(const std::string& name, const std::string& domain, std::int64_t memory_mib,
                    bool checks_fencing);
    void add_service(const std::string& name, const std::string& domain);
    /// Starts all hosts; returns false if one of them cannot listen.
    bool start();
    /// Stops one host gracefully.
    void stop(const std::string& host);

    /// Makes the log and every host list unresponsive, or restores them.
    void set_platform_down(bool down);
    /// Applies a change to all links between a domain's hosts and anything outside the domain.
    void change_domain(const std::string& domain, link_change change);
    /// Applies a change to the links between a host and a target; in both directions if the target
    /// is a host.
    void change_link(const std::string& host, const std::string& target, link_change change);

    /// The highest ticket in effect on a host, or nullopt if the host does not report one.
    std::optional<std::int64_t> ticket_on(const std::string& host);
    bool is_ready(const std::string& host);

    platform_stand_in& platform() { return *platform_; }
    backend_ledger& ledger() { return ledger_; }
    std::map<std::string, std::unique_ptr<fleet_host>>& hosts() { return hosts_; }
    std::map<std::string, fleet_server>& servers() { return servers_; }

private:
    void update_host_lists();

    backend_ledger ledger_;
    std::unique_ptr<platform_stand_in> platform_;
    std::map<std::string, fleet_server> servers_;
    std::map<std::string, std::unique_ptr<fleet_host>> hosts_;
    http_client http_;
};

} // namespace banyanshunt::scenario
