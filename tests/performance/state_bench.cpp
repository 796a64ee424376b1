/// \file
/// Measures the time until a ticket is applied on all entry hosts, the traffic of exchanges between
/// hosts as their number grows, the memory of the state, and the start from a snapshot.

#include <malloc.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "coordination/state_follower.hpp"
#include "protocol/snapshot_codec.hpp"
#include "protocol/state_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "stand_ins/entry_fleet.hpp"
#include "stand_ins/memory_log.hpp"
#include "transport/state_relay.hpp"

DEFINE_int32(tickets, 30, "tickets published in each case");
DEFINE_int32(seconds, 5, "how long the traffic between hosts is counted for each size");
DEFINE_string(sizes, "2,4,8,16,32", "numbers of hosts whose traffic is counted");

namespace
{

using namespace banyanshunt;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t domains = 3;
constexpr std::size_t fleet_size = 9;
constexpr milliseconds apply_timeout(30000);
const std::string exchanges_metric = "banyanshunt_exchanges_total";
const std::string bytes_metric = "banyanshunt_exchange_bytes_total";

std::string workspace_ticket(int number)
{
    return fmt::format(
        R"({{"format":1,"ticket":{},"workspaces":{{"w":{{"tokens_per_second":{},"burst_tokens":9}}}}}})",
        number, number);
}

std::int64_t milliseconds_since(clock_type::time_point start)
{
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - start).count();
}

struct spread
{
    std::vector<std::int64_t> times;
    int missed = 0;

    std::int64_t at(int percent)
    {
        std::sort(times.begin(), times.end());
        auto nth = (times.size() * static_cast<std::size_t>(percent) + 99) / 100;
        return times.empty() ? -1 : times[std::max<std::size_t>(nth, 1) - 1];
    }
};

// Publishes tickets one after the other and records when the last host has applied each.
spread publish_all(entry_fleet& fleet, int& number)
{
    spread it;
    for (int i = 0; i < FLAGS_tickets; ++i)
    {
        auto start = clock_type::now();
        log_offset through = fleet.publish(workspace_ticket(number++));
        bool all = true;
        for (std::size_t h = 0; h < fleet.size(); ++h)
        {
            all = fleet.wait_for(h, through, apply_timeout) && all;
        }
        it.missed += all ? 0 : 1;
        it.times.push_back(milliseconds_since(start));
    }
    return it;
}

void print_spread(const char* name, spread it)
{
    fmt::print("| {} | {} | {} | {} | {} |\n", name, it.at(50), it.at(99), it.at(100), it.missed);
}

// Long enough for every host to read the host list and contact all its peers.
void wait_for_exchanges()
{
    std::this_thread::sleep_for(milliseconds(3000));
}

void measure_apply_time()
{
    fmt::print("\n| in force on all of 9 hosts, ms | median | 99th | worst | missed |\n"
               "| --- | --- | --- | --- | --- |\n");
    entry_fleet fleet(fleet_size, domains);
    int number = 1;
    wait_for_exchanges();
    print_spread("log up", publish_all(fleet, number));
    fleet.proxy(1).set_cut(true);
    print_spread("one domain cut from the platform", publish_all(fleet, number));
    fleet.proxy(2).set_cut(true);
    print_spread("two domains cut from the platform", publish_all(fleet, number));
    fleet.proxy(1).set_cut(false);
    fleet.proxy(2).set_cut(false);
    fleet.proxy(0).set_delay(milliseconds(500));
    print_spread("answers to one domain 500 ms late", publish_all(fleet, number));
    fleet.proxy(0).set_delay(milliseconds(0));

    spread starts;
    for (int i = 0; i < 9; ++i)
    {
        log_offset through = fleet.publish(workspace_ticket(number++));
        auto start = clock_type::now();
        std::size_t host = fleet.add_host();
        starts.missed += fleet.wait_for(host, through, apply_timeout) ? 0 : 1;
        starts.times.push_back(milliseconds_since(start));
    }
    print_spread("a host's start, to its newest ticket", std::move(starts));
}

double metric(entry_fleet& fleet, std::size_t host, const std::string& name)
{
    http_client http;
    auto response = http.send({.address = fleet.host(host).admin_address(),
                               .method = "GET",
                               .path = "/metrics",
                               .headers = {},
                               .body = {}});
    double sum = 0;
    std::string text = response ? response->body : "";
    for (std::size_t at = text.find("\n" + name); at != std::string::npos;
         at = text.find("\n" + name, at + 1))
    {
        auto space = text.find(' ', at);
        sum += std::stod(text.substr(space + 1));
    }
    return sum;
}

double sum_over_hosts(entry_fleet& fleet, const std::string& name)
{
    double sum = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        sum += metric(fleet, i, name);
    }
    return sum;
}

// Bytes received on the loopback device so far, by all sockets of this machine, with headers.
std::int64_t loopback_bytes()
{
    std::ifstream in("/proc/net/dev");
    for (std::string line; std::getline(in, line);)
    {
        auto colon = line.find("lo:");
        if (colon != std::string::npos)
        {
            return std::stoll(line.substr(colon + 3));
        }
    }
    return 0;
}

// Other processes may use the device too, so the minimum of several trials is the best estimate.
void measure_exchange()
{
    constexpr int trials = 7;
    constexpr int calls = 300;
    entry_fleet fleet(1, 1);
    fleet.publish(workspace_ticket(1));
    wait_for_exchanges();
    peer_channels channels(std::nullopt);
    heartbeat beat{.host = host_id("quote-entry-1"),
                   .role = placer_role,
                   .incarnation = incarnation_id(INT64_MAX / 3),
                   .domain = domain_id("north"),
                   .peer_address = "192.168.100.100:7001",
                   .admin_address = "192.168.100.100:7002",
                   .leaving = false,
                   .next_offset = log_offset(100000),
                   .last_ticket = ticket_number(100000),
                   .view_age = milliseconds(500)};
    std::int64_t minimum = INT64_MAX;
    for (int i = 0; i < trials; ++i)
    {
        std::int64_t before = loopback_bytes();
        for (int call = 0; call < calls; ++call)
        {
            (void)exchange_heartbeats(channels, fleet.host(0).peer_address(), beat,
                                      milliseconds(1000));
        }
        minimum = std::min(minimum, (loopback_bytes() - before) / calls);
    }
    fmt::print("\n| one exchange on the wire, both ways, headers included | {} bytes |\n"
               "| --- | --- |\n",
               minimum);
}

void measure_traffic()
{
    fmt::print(
        "\n| hosts | exchanges begun a second and host | bytes in messages a second and host "
        "|\n| --- | --- | --- |\n");
    std::istringstream sizes(FLAGS_sizes);
    for (std::string size; std::getline(sizes, size, ',');)
    {
        entry_fleet fleet(std::stoul(size), domains);
        fleet.publish(workspace_ticket(1));
        wait_for_exchanges();
        double before = sum_over_hosts(fleet, exchanges_metric);
        double bytes_before = sum_over_hosts(fleet, bytes_metric);
        auto start = clock_type::now();
        std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
        double host_seconds = static_cast<double>(fleet.size()) *
                              static_cast<double>(milliseconds_since(start)) / 1000;
        double exchanges = sum_over_hosts(fleet, exchanges_metric) - before;
        double sent = sum_over_hosts(fleet, bytes_metric) - bytes_before;
        fmt::print("| {} | {:.1f} | {:.0f} |\n", size, exchanges / host_seconds,
                   sent / host_seconds);
    }
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

template <class Id, class Object>
void measure_kind(const char* name, const Object& object)
{
    constexpr int count = 10000;
    std::size_t before = heap_bytes();
    state_table<Id, Object> table;
    for (int i = 0; i < count; ++i)
    {
        table[Id(fmt::format("{}-{:06}", name, i))] =
            std::make_shared<const state_entry<Object>>(state_entry<Object>{
                .ticket = ticket_number(1), .offset = log_offset(0), .value = object});
    }
    fmt::print("| {} | {} |\n", name, (heap_bytes() - before) / count);
}

void measure_memory()
{
    fmt::print("\n| object | bytes of memory each |\n| --- | --- |\n");
    measure_kind<key_id>("key", key_object{.workspace = workspace_id("clinics"),
                                           .salt = std::string(16, '5'),
                                           .hash = std::string(64, 'a')});
    measure_kind<model_id>("model",
                           model_object{.version = version_id("v1"), .memory = mebibytes(1)});
    measure_kind<adapter_id>("adapter",
                             adapter_object{.base = model_id("guide-7b"), .memory = mebibytes(1)});
}

std::string large_ticket(int models, int adapters)
{
    std::string text = R"({"format":1,"ticket":1,"models":{)";
    for (int i = 0; i < models; ++i)
    {
        text += fmt::format(R"({}"m{}":{{"version":"v1","memory_mib":14000,"replicas":2}})",
                            i ? "," : "", i);
    }
    text += R"(},"adapters":{)";
    for (int i = 0; i < adapters; ++i)
    {
        text += fmt::format(R"({}"a{}":{{"base":"m{}","memory_mib":200}})", i ? "," : "", i,
                            i % models);
    }
    return text + "}}";
}

void measure_snapshot()
{
    constexpr int models = 900;
    constexpr int adapters = 8000;
    entry_fleet fleet(0, 1);
    log_offset through = fleet.publish(large_ticket(models, adapters));
    auto& log = fleet.platform().log();
    state_cell cell;
    state_follower<memory_log> follower(log, cell, decode_ticket, [](const auto&) {});
    (void)follower.step(milliseconds(0));
    snapshot_writer<memory_log> writer(log, json_snapshot_codec(), *cell.get(), "bench");
    std::size_t bytes = 0;
    for (const auto& chunk : encode_delta(changes_since(*cell.get(), log_offset(0))))
    {
        bytes += chunk.size();
    }
    for (auto done = writer.step(); !done || !*done; done = writer.step())
    {
    }
    auto start = clock_type::now();
    std::size_t host = fleet.add_host();
    bool applied = fleet.wait_for(host, through, apply_timeout);
    fmt::print("\n| start from a snapshot of {} models and {} adapters | |\n| --- | --- |\n",
               models, adapters);
    fmt::print("| bytes | {} |\n| parts | {} |\n| ms to the whole state | {}{} |\n", bytes,
               writer.entry().chunks, milliseconds_since(start), applied ? "" : " (missed)");
    start = clock_type::now();
    std::size_t other = fleet.add_host({fleet.host(host).peer_address()});
    fleet.proxy(0).set_cut(true);
    applied = fleet.wait_for(other, through, apply_timeout);
    fmt::print("| ms to the whole state from a peer, platform cut | {}{} |\n",
               milliseconds_since(start), applied ? "" : " (missed)");
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "measures the distribution of tickets and the cost of keeping the state.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure_memory();
    measure_apply_time();
    measure_snapshot();
    measure_exchange();
    measure_traffic();
    return 0;
}
