/// \file
/// Prints the measured slopes that docs/CAPACITY.md uses: the cost of each task as a function of
/// the sizes it depends on, over several sizes, with a least-squares fit and its error.

#include <malloc.h>

#include <cmath>
#include <functional>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "coordination/fixed_shares.hpp"
#include "coordination/key_check.hpp"
#include "coordination/placement/load_budget.hpp"
#include "coordination/placement/placement_planner.hpp"
#include "coordination/placement/placement_policies.hpp"
#include "coordination/state_delta.hpp"
#include "coordination/ticket_acceptance.hpp"
#include "placement.pb.h"
#include "protocol/state_codec.hpp"
#include "protocol/ticket_codec.hpp"

DEFINE_int32(repeats, 5, "measurements of each size; the minimum is kept");

using namespace banyanshunt;

namespace
{

// Uses results, so that the compiler does not optimize the work away.
volatile std::size_t sink = 0;

struct point
{
    double x = 0;
    double y = 0;
};

// Prints sizes, values, and the fitted line. The error is the root mean square of the residuals,
// relative to the mean value.
void print_fit(const char* task, const char* variable, const char* unit,
               const std::vector<point>& points)
{
    auto n = static_cast<double>(points.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto& it : points)
    {
        sx += it.x;
        sy += it.y;
        sxx += it.x * it.x;
        sxy += it.x * it.y;
    }
    double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    double base = (sy - slope * sx) / n;
    double residual = 0;
    std::string sizes;
    for (const auto& it : points)
    {
        residual += std::pow(it.y - base - slope * it.x, 2);
        sizes += fmt::format(" {}:{:.1f}", it.x, it.y);
    }
    fmt::print("{:34} {:>10.3f} + {:>9.4f} {} for each {} (error {:.0f} %)\n    {}\n", task, base,
               slope, unit, variable, 100 * std::sqrt(residual / n) / (sy / n), sizes);
}

double microseconds_of(const std::function<void()>& work)
{
    double minimum = 0;
    for (int i = 0; i < FLAGS_repeats; ++i)
    {
        instant start = boot_clock().now();
        work();
        double us = std::chrono::duration<double, std::micro>(boot_clock().now() - start).count();
        minimum = i == 0 ? us : std::min(minimum, us);
    }
    return minimum;
}

// The largest state today has some hundreds of objects; 11,000 are expected.
ticket ticket_of(int models, int adapters, int keys)
{
    ticket it;
    it.number = ticket_number(1);
    it.workspaces[workspace_id("schools")] =
        workspace_object{.rate = millitokens_per_second(1'000'000'000),
                         .burst = millitokens(1'000'000'000'000),
                         .staleness = {}};
    for (int i = 0; i < models; ++i)
    {
        it.models[model_id(fmt::format("model-{:05}", i))] = model_object{
            .version = version_id("v1"), .memory = mebibytes(14000), .max_replicas = 2};
    }
    for (int i = 0; i < adapters; ++i)
    {
        it.adapters[adapter_id(fmt::format("adapter-{:05}", i))] = adapter_object{
            .base = model_id(fmt::format("model-{:05}", i % models)), .memory = mebibytes(150)};
    }
    for (int i = 0; i < keys; ++i)
    {
        it.keys[key_id(fmt::format("key-{:05}", i))] =
            key_object{.workspace = workspace_id("schools"),
                       .salt = "5a",
                       .hash = salted_hash("5a", "secret")};
    }
    return it;
}

fleet_state state_of(int models, int adapters, int keys)
{
    return accept_ticket(fleet_state(), ticket_of(models, adapters, keys), log_offset(0))
        .value()
        .state;
}

std::size_t bytes_of(const std::vector<std::string>& chunks)
{
    std::size_t n = 0;
    for (const auto& chunk : chunks)
    {
        n += chunk.size();
    }
    return n;
}

void measure_state()
{
    std::vector<point> memory;
    std::vector<point> apply;
    std::vector<point> bytes;
    ticket small = ticket_of(1, 1, 0);
    small.number = ticket_number(2);
    for (int adapters : {1000, 2000, 4000, 8000, 16000})
    {
        double objects = adapters + 901;
        std::size_t before = mallinfo2().uordblks;
        fleet_state state = state_of(900, adapters, 0);
        memory.push_back({objects, static_cast<double>(mallinfo2().uordblks - before)});
        apply.push_back(
            {objects,
             microseconds_of(
                 [&] {
                     sink = sink +
                            accept_ticket(state, small, log_offset(1)).value().state.models.size();
                 })});
        bytes.push_back({objects, static_cast<double>(bytes_of(
                                      encode_delta(changes_since(state, log_offset(0)))))});
    }
    print_fit("state in memory", "object", "bytes", memory);
    print_fit("putting a ticket in force", "object", "us", apply);
    print_fit("whole state as a message", "object", "bytes", bytes);
}

void measure_delta()
{
    fleet_state state = state_of(900, 8000, 0);
    std::vector<point> bytes;
    std::vector<point> search;
    for (int changes : {1, 4, 16, 64, 256})
    {
        ticket it = ticket_of(900, changes, 0);
        it.models.clear();
        it.number = ticket_number(2);
        auto after = accept_ticket(state, it, log_offset(1)).value().state;
        bytes.push_back(
            {static_cast<double>(changes),
             static_cast<double>(bytes_of(encode_delta(changes_since(after, log_offset(1)))))});
        search.push_back(
            {static_cast<double>(changes),
             microseconds_of(
                 [&]
                 { sink = sink + changes_since(after, log_offset(1)).entries.adapters.size(); })});
    }
    print_fit("delta between hosts", "change", "bytes", bytes);
    print_fit("finding a delta in 8,900 objects", "change", "us", search);
}

void measure_keys()
{
    std::vector<point> checks;
    for (int keys : {100, 1000, 4000, 16000})
    {
        fleet_state state = state_of(1, 0, keys);
        constexpr int calls = 2000;
        double us = microseconds_of(
            [&]
            {
                for (int i = 0; i < calls; ++i)
                {
                    auto it = check_key(state, fmt::format("key-{:05}.secret", i % keys));
                    sink = sink + (it ? 1 : 0);
                }
            });
        checks.push_back({std::log2(keys), us / calls});
    }
    print_fit("check of a key", "doubling of the keys", "us", checks);
}

void measure_demand()
{
    std::vector<point> request;
    std::vector<point> reply;
    std::vector<point> work;
    for (int n : {1, 8, 64, 256, 1024})
    {
        wire::demand_request request_message;
        wire::demand_reply reply_message;
        for (int i = 0; i < n; ++i)
        {
            auto* need = request_message.add_needs();
            need->set_model(fmt::format("model-{:05}", i));
            need->set_adapter(fmt::format("adapter-{:05}", i));
            need->set_waiting(3);
            need->set_patience_ms(8000);
            need->set_workspace("schools");
            auto* server = reply_message.add_servers();
            server->set_server(fmt::format("server-{:04}", i));
            server->set_address("10.120.130.140:8000");
            server->set_domain("north");
            server->set_fencing(123456);
            for (int k = 0; k < 2; ++k)
            {
                auto* replica = server->add_replicas();
                replica->set_model(need->model());
                replica->set_version("v1");
                for (int a = 0; a < 4; ++a)
                {
                    replica->add_adapters(need->adapter());
                }
            }
        }
        request.push_back(
            {static_cast<double>(n), static_cast<double>(request_message.ByteSizeLong())});
        reply.push_back(
            {static_cast<double>(n), static_cast<double>(reply_message.ByteSizeLong())});
        work.push_back({static_cast<double>(n), microseconds_of(
                                                    [&]
                                                    {
                                                        wire::demand_reply parsed;
                                                        parsed.ParseFromString(
                                                            reply_message.SerializeAsString());
                                                        sink = sink + parsed.servers_size();
                                                    })});
    }
    print_fit("demand, request", "need", "bytes", request);
    print_fit("demand, reply (2 replicas, 8 adapters)", "server", "bytes", reply);
    print_fit("demand, reply written and read", "server", "us", work);
}

placement_view view_of(const fleet_state_ptr& state, int servers, int needs)
{
    placement_view view{.state = state, .servers = {}, .demands = {}, .now = boot_clock().now()};
    for (int i = 0; i < servers; ++i)
    {
        leased_server server;
        server.server = server_id(fmt::format("server-{:04}", i));
        server.fencing = fencing_number(1);
        server.report.memory_total = mebibytes(320000);
        for (int k = 0; k < 2; ++k)
        {
            model_id model(fmt::format("model-{:05}", (2 * i + k) % 900));
            server.slots[model] = 0;
            server.report.memory_used += mebibytes(14000);
            server.report.replicas.push_back({.model = model,
                                              .version = version_id("v1"),
                                              .phase = replica_phase::ready,
                                              .memory = mebibytes(14000),
                                              .adapters = {},
                                              .adapters_loading = {},
                                              .running = 0});
        }
        view.servers.push_back(server);
    }
    for (int i = 0; i < needs; ++i)
    {
        view.demands.push_back({.model = model_id(fmt::format("model-{:05}", i % 900)),
                                .adapter = adapter_id(fmt::format("adapter-{:05}", i)),
                                .waiting = 1,
                                .deadline = view.now + seconds(8),
                                .workspace = workspace_id("schools")});
    }
    return view;
}

void measure_placement()
{
    auto state = std::make_shared<const fleet_state>(state_of(900, 8000, 0));
    std::vector<point> by_servers;
    for (int servers : {2, 8, 32, 156})
    {
        auto view = view_of(state, servers, 8);
        by_servers.push_back(
            {static_cast<double>(servers),
             microseconds_of(
                 [&]
                 {
                     placement_planner planner(
                         expected_use_policy(),
                         fixed_load_budget(
                             {.milliloads_per_second = 3000, .max_loads = 4, .max_adapters = 30}));
                     sink = sink + planner.plan(view).orders.size();
                 })});
    }
    print_fit("one plan, 900 models, 8 needs", "server", "us", by_servers);
    std::vector<point> by_needs;
    for (int needs : {1, 8, 64, 256})
    {
        auto view = view_of(state, 4, needs);
        by_needs.push_back(
            {static_cast<double>(needs),
             microseconds_of(
                 [&]
                 {
                     placement_planner planner(
                         expected_use_policy(),
                         fixed_load_budget(
                             {.milliloads_per_second = 3000, .max_loads = 4, .max_adapters = 30}));
                     sink = sink + planner.plan(view).orders.size();
                 })});
    }
    print_fit("one plan, 4 servers", "need", "us", by_needs);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("least of {} measurements of each size; sizes as size:value\n", FLAGS_repeats);
    measure_state();
    measure_delta();
    measure_keys();
    measure_demand();
    measure_placement();
    return 0;
}
