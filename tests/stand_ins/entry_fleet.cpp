#include "stand_ins/entry_fleet.hpp"

#include <thread>

#include <fmt/format.h>

#include "protocol/platform_codec.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

entry_fleet::entry_fleet(std::size_t hosts, std::size_t domains) : platform_({.limits = {}})
{
    for (std::size_t i = 0; i < domains; ++i)
    {
        proxies_.push_back(std::make_unique<platform_proxy>(platform_.address()));
    }
    for (std::size_t i = 0; i < hosts; ++i)
    {
        add_host();
    }
    list_hosts();
}

entry_fleet::~entry_fleet()
{
    // Taking the log down ends pending reads at once.
    platform_.log().set_down(true);
    for (auto& host : hosts_)
    {
        host->stop();
    }
}

std::size_t entry_fleet::add_host(const std::vector<std::string>& seeds)
{
    std::size_t i = hosts_.size();
    std::size_t domain = i % proxies_.size();
    entry_settings it;
    it.host = {.name = fmt::format("h{}", i), .domain = fmt::format("d{}", domain)};
    const std::string& platform = proxies_[domain]->address();
    it.platform = {.log = platform, .hosts = platform, .weights = platform};
    it.state.seeds = seeds;
    it.listen = "127.0.0.1:0";
    it.peer_listen = "127.0.0.1:0";
    it.admin_listen = "127.0.0.1:0";
    constexpr std::size_t few_connections = 8;
    it.threads = few_connections;
    hosts_.push_back(std::make_unique<entry_host>(it));
    hosts_.back()->start();
    return i;
}

void entry_fleet::list_hosts()
{
    std::vector<listed_host> list;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        list.push_back({.name = fmt::format("h{}", i),
                        .role = entry_role,
                        .domain = domain_id(fmt::format("d{}", i % proxies_.size())),
                        .address = hosts_[i]->peer_address()});
    }
    (void)http_.send({.address = platform_.address(),
                      .method = "PUT",
                      .path = "/hosts",
                      .headers = {},
                      .body = encode_hosts(list)});
}

log_offset entry_fleet::publish(const std::string& ticket)
{
    log_entry entry{.id = record_id("t"), .data = ticket};
    auto offset = platform_.log().append(tickets_stream, std::span(&entry, 1));
    return offset ? *offset + log_offset(1) : log_offset();
}

std::optional<host_status> entry_fleet::status(std::size_t i)
{
    auto response = http_.send({.address = hosts_[i]->admin_address(),
                                .method = "GET",
                                .path = "/state",
                                .headers = {},
                                .body = {}});
    if (!response)
    {
        return std::nullopt;
    }
    auto status = decode_status(response->body);
    return status ? std::optional(*status) : std::nullopt;
}

bool entry_fleet::wait_for(std::size_t i, log_offset next_offset, milliseconds timeout)
{
    constexpr milliseconds poll(2);
    instant limit = boot_clock().now() + timeout;
    while (boot_clock().now() < limit)
    {
        auto it = status(i);
        if (it && it->next_offset >= next_offset)
        {
            return true;
        }
        std::this_thread::sleep_for(poll);
    }
    return false;
}

} // namespace banyanshunt
