#include "stand_ins/placement/placement_load.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace banyanshunt
{
namespace
{

constexpr int entry_hosts = 8;
constexpr int burst_models = 20;
constexpr int workspaces = 5;

template <class Id, class Object>
void put(state_table<Id, Object>& table, Id id, Object object)
{
    table[std::move(id)] = std::make_shared<const state_entry<Object>>(state_entry<Object>{
        .ticket = ticket_number(1), .offset = log_offset(0), .value = std::move(object)});
}

model_id model_name(int n)
{
    return model_id(fmt::format("model-{:03}", n));
}

// Draws from [0, 1). Integer arithmetic and the engines of <random> give the same draw on every
// machine.
double draw_unit(std::mt19937_64& random)
{
    return static_cast<double>(random() >> 11U) / static_cast<double>(1ULL << 53U);
}

milliseconds draw_exponential(std::mt19937_64& random, double mean_ms)
{
    return milliseconds(1 + static_cast<std::int64_t>(-std::log(1 - draw_unit(random)) * mean_ms));
}

class request_source
{
public:
    request_source(const deployment& it, std::uint64_t seed) : deployment_(it), random_(seed) {}

    placed_request draw(int model, instant arrival)
    {
        // Every third request for a model that has adapters is for one of them.
        int adapters = deployment_.adapters / deployment_.models;
        bool uses_adapter = adapters > 0 && random_() % 3 == 0;
        adapter_id adapter;
        if (uses_adapter)
        {
            adapter = adapter_id(
                fmt::format("adapter-{:04}",
                            model + deployment_.models * static_cast<int>(random_() % adapters)));
        }
        return {.arrival = arrival,
                .model = model_name(model),
                .adapter = adapter,
                .workspace = workspace_id(fmt::format("workspace-{}", draw_workspace())),
                .deadline = arrival + deployment_.deadline,
                .service = milliseconds(500) + draw_exponential(random_, 2000)};
    }

    // A few workspaces are large: half of all requests come from the first.
    int draw_workspace()
    {
        int n = 0;
        while (n + 1 < workspaces && random_() % 2 == 0)
        {
            ++n;
        }
        return n;
    }

    std::mt19937_64& random() { return random_; }

private:
    const deployment& deployment_;
    std::mt19937_64 random_;
};

// The mean time between requests for a model grows with its number, so most models are idle.
double mean_gap_ms(int model)
{
    constexpr double min_gap_ms = 8'000;
    return min_gap_ms * std::pow(model + 1, 1.2);
}

void add_burst(const deployment& it, instant at, request_source& source,
               std::vector<placed_request>& requests)
{
    std::mt19937_64& random = source.random();
    // The idle models are the rarely used ones, with the highest numbers.
    int first = std::max(it.models - burst_models, 0);
    for (int model = first; model < it.models; ++model)
    {
        for (int host = 0; host < entry_hosts; ++host)
        {
            // Each host has one to six first requests, as some models are more popular than
            // others.
            auto popularity = 1 + (model * 7) % 3;
            auto count = 1 + random() % static_cast<std::uint64_t>(2 * popularity);
            for (std::uint64_t n = 0; n < count; ++n)
            {
                requests.push_back(source.draw(
                    model, at + milliseconds(static_cast<std::int64_t>(random() % 500))));
            }
        }
    }
}

} // namespace

deployment agency()
{
    return {.name = "agency",
            .limits = {
                .milliloads_per_second = 3000, .full_speed_loads = 4, .full_speed_adapters = 30}};
}

deployment chautari()
{
    return {.name = "chautari",
            .models = 25,
            .adapters = 75,
            .limits = {
                .milliloads_per_second = 3900, .full_speed_loads = 4, .full_speed_adapters = 30}};
}

fleet_state_ptr state_of(const deployment& it, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    auto state = std::make_shared<fleet_state>();
    for (int n = 0; n < it.servers; ++n)
    {
        put(state->servers, server_id(fmt::format("server-{:03}", n)),
            server_object{.kind = server_kind::engine,
                          .domain = domain_id(fmt::format("domain-{}", n % it.domains)),
                          .address = fmt::format("127.0.0.1:{}", 9000 + n),
                          .memory = mebibytes(80'000),
                          .checks_fencing = n % 2 == 0,
                          .leaving = false});
    }
    for (int n = 0; n < it.models; ++n)
    {
        // Two thirds are 14 GB models; a third takes twice as much. A few often used ones may have
        // two replicas.
        mebibytes memory(random() % 3 == 0 ? 28'000 : 14'000);
        put(state->models, model_name(n),
            model_object{.version = version_id("v1"),
                         .memory = memory,
                         .max_replicas = n % 5 == 0 ? 2 : 1,
                         .max_tokens = 4096});
    }
    for (int n = 0; n < it.adapters; ++n)
    {
        put(state->adapters, adapter_id(fmt::format("adapter-{:04}", n)),
            adapter_object{.base = model_name(n % it.models), .memory = mebibytes(200)});
    }
    state->next_offset = log_offset(1);
    return state;
}

std::string to_string(load_scenario it)
{
    switch (it)
    {
    case load_scenario::steady:
        return "steady";
    case load_scenario::burst:
        return "burst";
    case load_scenario::slow_store:
        return "slow store";
    case load_scenario::lost_server:
        return "lost server";
    }
    return {};
}

std::vector<placed_request> draw_requests(const deployment& it, load_scenario scenario,
                                          instant start, seconds length, std::uint64_t seed)
{
    request_source source(it, seed);
    std::vector<placed_request> requests;
    for (int model = 0; model < it.models; ++model)
    {
        instant at = start;
        while (true)
        {
            at += draw_exponential(source.random(), mean_gap_ms(model));
            if (at >= start + length)
            {
                break;
            }
            requests.push_back(source.draw(model, at));
        }
    }
    if (scenario != load_scenario::steady)
    {
        add_burst(it, start + length / 2, source, requests);
    }
    std::sort(requests.begin(), requests.end(),
              [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
    return requests;
}

void draw_caches(const fleet_state& state, placement_fleet& fleet, std::uint64_t seed)
{
    std::mt19937_64 random(seed + 1);
    std::vector<server_id> servers;
    for (const auto& [id, entry] : state.servers)
    {
        servers.push_back(id);
    }
    for (const auto& [id, entry] : state.models)
    {
        // A third of the models is on no server; others are on disk, and some in memory too.
        auto copies = random() % 3;
        for (std::uint64_t n = 0; n < copies; ++n)
        {
            fleet.cache(
                servers[random() % servers.size()],
                {.model = id,
                 .version = entry->value->version,
                 .tier = random() % 3 == 0 ? checkpoint_tier::memory : checkpoint_tier::disk});
        }
    }
}

} // namespace banyanshunt
