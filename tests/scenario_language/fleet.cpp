#include "scenario_language/fleet.hpp"

#include <set>

#include <charconv>

namespace banyanshunt::scenario
{
namespace
{

// Short intervals keep scenarios short; no expectation depends on their length.
constexpr milliseconds placer_interval(10);
constexpr milliseconds demand_interval(10);
constexpr milliseconds placer_lease(400);
constexpr milliseconds order_delay_limit(200);
constexpr milliseconds engine_idle_timeout(500);
constexpr milliseconds platform_timeout(300);
constexpr milliseconds entry_drain_timeout(20000);
constexpr const char* free_port = "127.0.0.1:0";
constexpr std::string_view ticket_metric = "\nbanyanshunt_ticket_in_force ";

platform_settings platform_of(const host_links& links)
{
    return {.log = links.platform_address(),
            .hosts = links.list_address(),
            .weights = links.platform_address(),
            .timeout = platform_timeout};
}

placer_settings placer_settings_of(const fleet_host& host)
{
    placer_settings it;
    it.host = {.name = host.name, .domain = host.domain};
    it.platform = platform_of(*host.links);
    it.peer_listen = free_port;
    it.admin_listen = free_port;
    it.interval = placer_interval;
    it.lease_duration = placer_lease;
    it.max_order_delay = order_delay_limit;
    return it;
}

entry_settings entry_settings_of(const fleet_host& host, std::size_t hosts, std::size_t domains)
{
    entry_settings it;
    it.host = {.name = host.name, .domain = host.domain};
    it.platform = platform_of(*host.links);
    it.listen = free_port;
    it.peer_listen = free_port;
    it.admin_listen = free_port;
    it.demand_interval = demand_interval;
    it.idle_timeout = engine_idle_timeout;
    it.drain_timeout = entry_drain_timeout;
    it.entry_hosts = static_cast<int>(hosts);
    it.shares.domains = static_cast<int>(domains);
    return it;
}

// Entry hosts that peers cannot reach are not listed.
template <class Host>
std::string peer_address_of(const Host& host)
{
    if constexpr (requires { host.peer_address(); })
    {
        return host.peer_address();
    }
    return {};
}

} // namespace

int fleet_server::runs() const
{
    return engine ? engine->runs() : service->runs();
}

std::vector<std::string> fleet_server::headers_seen() const
{
    return engine ? engine->headers_seen() : service->headers_seen();
}

fleet::fleet(milliseconds load_time)
    : platform_(std::make_unique<platform_stand_in>(
          platform_stand_in_options{.limits = {}, .load_time = load_time}))
{
}

fleet::~fleet()
{
    for (auto& [name, host] : hosts_)
    {
        stop(name);
    }
}

void fleet::add_host(const std::string& name, const std::string& domain)
{
    auto host = std::make_unique<fleet_host>();
    host->name = name;
    host->domain = domain;
    host->links = std::make_unique<host_links>(platform_->address());
    hosts_.emplace(name, std::move(host));
}

void fleet::add_engine(const std::string& name, const std::string& domain, std::int64_t memory_mib,
                       bool checks_fencing)
{
    fleet_server server;
    server.domain = domain;
    server.memory_mib = memory_mib;
    server.checks_fencing = checks_fencing;
    server.engine = std::make_unique<engine_stand_in>(
        engine_stand_in_options{.memory = mebibytes(memory_mib),
                                .checks_fencing = checks_fencing,
                                .weight_store = platform_->address(),
                                .ledger = &ledger_});
    server.link = std::make_unique<fault_proxy>(server.engine->address());
    servers_.emplace(name, std::move(server));
}

void fleet::add_service(const std::string& name, const std::string& domain)
{
    fleet_server server;
    server.domain = domain;
    server.service = std::make_unique<service_stand_in>(service_stand_in_options{});
    server.link = std::make_unique<fault_proxy>(server.service->address());
    servers_.emplace(name, std::move(server));
}

bool fleet::start()
{
    bool started = true;
    std::set<std::string> domains;
    for (const auto& [name, host] : hosts_)
    {
        domains.insert(host->domain);
    }
    for (auto& [name, host] : hosts_)
    {
        host->placer = std::make_unique<placer_host>(placer_settings_of(*host));
        host->entry =
            std::make_unique<entry_host>(entry_settings_of(*host, hosts_.size(), domains.size()));
        started = host->placer->start() && host->entry->start() && started;
    }
    update_host_lists();
    return started;
}

void fleet::update_host_lists()
{
    for (auto& [reader, host] : hosts_)
    {
        for (const auto& [name, peer] : hosts_)
        {
            domain_id domain(peer->domain);
            host->links->add_peer({.name = name,
                                   .role = "placer",
                                   .domain = domain,
                                   .address = peer->placer->peer_address()});
            std::string entry_address = peer_address_of(*peer->entry);
            if (!entry_address.empty())
            {
                host->links->add_peer(
                    {.name = name, .role = "entry", .domain = domain, .address = entry_address});
            }
        }
    }
}

void fleet::stop(const std::string& host)
{
    fleet_host& it = *hosts_.at(host);
    if (!it.entry || it.stopped_clean)
    {
        return;
    }
    for (auto& [name, peer] : hosts_)
    {
        peer->links->mark_leaving(host);
    }
    it.stopped_clean = it.entry->stop();
    it.placer->stop();
}

void fleet::set_platform_down(bool down)
{
    platform_->log().set_down(down);
    for (auto& [name, host] : hosts_)
    {
        host->links->set_list_down(down);
    }
}

void fleet::change_link(const std::string& host, const std::string& target, link_change what)
{
    if (target == "platform")
    {
        hosts_.at(host)->links->change_platform(what);
        return;
    }
    hosts_.at(host)->links->change_peer(target, what);
    hosts_.at(target)->links->change_peer(host, what);
}

void fleet::change_domain(const std::string& domain, link_change what)
{
    for (auto& [name, host] : hosts_)
    {
        if (host->domain != domain)
        {
            continue;
        }
        change_link(name, "platform", what);
        for (auto& [other, peer] : hosts_)
        {
            if (peer->domain != domain)
            {
                change_link(name, other, what);
            }
        }
    }
}

std::optional<std::int64_t> fleet::ticket_on(const std::string& host)
{
    const fleet_host& it = *hosts_.at(host);
    auto response = http_.send({.address = it.entry->admin_address(),
                                .method = "GET",
                                .path = "/metrics",
                                .headers = {},
                                .body = {}});
    if (!response || response->status != 200)
    {
        return std::nullopt;
    }
    auto at = response->body.find(ticket_metric);
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    const char* digits = response->body.data() + at + ticket_metric.size();
    std::int64_t n = 0;
    std::from_chars(digits, response->body.data() + response->body.size(), n);
    return n;
}

bool fleet::is_ready(const std::string& host)
{
    auto response = http_.send({.address = hosts_.at(host)->entry->admin_address(),
                                .method = "GET",
                                .path = "/ready",
                                .headers = {},
                                .body = {}});
    return response && response->status == 200;
}

} // namespace banyanshunt::scenario
