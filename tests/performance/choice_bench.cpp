/// \file
/// Compares replica selection policies under stale load reports: prefix affinity bounded by load,
/// least loaded, and random. Several hosts choose independently; engines serve requests
/// concurrently, slower with more of them, and save work on a cached prefix. This is a simulation
/// in virtual time: its figures compare the policies and do not predict real engines.

#include <algorithm>
#include <list>
#include <queue>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "coordination/replica_choice.hpp"

DEFINE_int32(hosts, 8, "entry hosts that choose independently");
DEFINE_int32(servers, 12, "replicas to choose from");
DEFINE_int32(requests, 40000, "requests in each run");
DEFINE_int32(prefixes, 200, "distinct prompt prefixes; the n-th is n times rarer than the first");
DEFINE_int32(cached, 12, "prefixes that an engine keeps");
DEFINE_int32(lag_ms, 100, "age of load reports");
DEFINE_double(load, 0.75, "arrival rate as a fraction of what engines can serve without a cache");
DEFINE_int32(seeds, 5, "runs, with seeds from 1");

using namespace banyanshunt;

namespace
{

constexpr double prefill_ms = 60;
constexpr double cached_prefill_ms = 6;
constexpr double decode_ms = 60;
constexpr double full_speed_requests = 4;

struct engine_model
{
    int running = 0;
    std::list<int> cache;

    // Returns whether the prefix was cached, and caches it.
    bool access(int prefix)
    {
        auto it = std::find(cache.begin(), cache.end(), prefix);
        bool hit = it != cache.end();
        if (hit)
        {
            cache.erase(it);
        }
        cache.push_front(prefix);
        if (cache.size() > static_cast<std::size_t>(FLAGS_cached))
        {
            cache.pop_back();
        }
        return hit;
    }
};

struct result
{
    std::vector<double> first_token_ms;
    int hits = 0;
};

using chooser = std::optional<ready_replica> (*)(const replica_table&, const replica_filter&,
                                                 std::mt19937_64&);

std::optional<ready_replica> by_affinity(const replica_table& table, const replica_filter& filter,
                                         std::mt19937_64& random)
{
    return choose_replica(table, filter, {.slots = 100000}, random);
}

std::optional<ready_replica> least_loaded(const replica_table& table, const replica_filter&,
                                          std::mt19937_64&)
{
    return *std::min_element(table.replicas.begin(), table.replicas.end(),
                             [](const auto& a, const auto& b) { return a.load < b.load; });
}

std::optional<ready_replica> at_random(const replica_table& table, const replica_filter&,
                                       std::mt19937_64& random)
{
    return table.replicas[random() % table.replicas.size()];
}

struct finish
{
    double at;
    std::size_t server;
    std::size_t host;
    bool operator>(const finish& other) const { return at > other.at; }
};

// One run of the simulation.
class fleet_model
{
public:
    fleet_model(std::uint64_t seed, chooser choose)
        : random_(seed), choose_(choose), engines_(static_cast<std::size_t>(FLAGS_servers)),
          own_running_(static_cast<std::size_t>(FLAGS_hosts), std::vector<int>(engines_.size())),
          own_at_report_(own_running_)
    {
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            table_.replicas.push_back({.server = server_id(fmt::format("e{}", i)),
                                       .address = {},
                                       .model = model_id("m"),
                                       .version = version_id("v"),
                                       .adapters = {}});
        }
        for (int i = 1; i <= FLAGS_prefixes; ++i)
        {
            weights_.push_back(1.0 / i);
        }
    }

    result run()
    {
        double per_ms = FLAGS_load * FLAGS_servers * full_speed_requests / (prefill_ms + decode_ms);
        std::exponential_distribution<double> interarrival_ms(per_ms);
        std::discrete_distribution<int> prefix(weights_.begin(), weights_.end());
        double now = 0;
        for (int i = 0; i < FLAGS_requests; ++i)
        {
            now += interarrival_ms(random_);
            advance(now);
            serve(now, random_() % own_running_.size(), prefix(random_));
        }
        return std::move(result_);
    }

private:
    void advance(double now)
    {
        while (!finishes_.empty() && finishes_.top().at <= now)
        {
            --engines_[finishes_.top().server].running;
            --own_running_[finishes_.top().host][finishes_.top().server];
            finishes_.pop();
        }
        if (now < next_report_)
        {
            return;
        }
        // Load reports that hosts receive now were measured one lag ago.
        reported_ = std::move(measured_);
        own_at_report_ = own_running_;
        measured_.clear();
        for (const auto& it : engines_)
        {
            measured_.push_back(it.running);
        }
        next_report_ = now + FLAGS_lag_ms;
    }

    void serve(double now, std::size_t host, int prefix)
    {
        replica_table host_view = table_;
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            int report = reported_.empty() ? 0 : reported_[i];
            int own = own_running_[host][i];
            host_view.replicas[i].load = std::max(own, report + own - own_at_report_[host][i]);
        }
        replica_filter filter{.model = model_id("m"),
                              .adapter = {},
                              .prefix = fmt::format("prompt {}", prefix),
                              .refused_by = {}};
        auto chosen = choose_(host_view, filter, random_);
        std::size_t server = std::stoul(chosen->server.str().substr(1));
        engine_model& engine = engines_[server];
        ++engine.running;
        ++own_running_[host][server];
        bool hit = engine.access(prefix);
        double slowdown = std::max(1.0, engine.running / full_speed_requests);
        double first = (hit ? cached_prefill_ms : prefill_ms) * slowdown;
        result_.hits += hit ? 1 : 0;
        result_.first_token_ms.push_back(first);
        finishes_.push({.at = now + first + decode_ms * slowdown, .server = server, .host = host});
    }

    std::mt19937_64 random_;
    chooser choose_;
    std::vector<engine_model> engines_;
    std::vector<std::vector<int>> own_running_;
    std::vector<std::vector<int>> own_at_report_;
    replica_table table_;
    std::vector<double> weights_;
    std::vector<int> reported_;
    std::vector<int> measured_;
    double next_report_ = 0;
    std::priority_queue<finish, std::vector<finish>, std::greater<>> finishes_;
    result result_;
};

void print_row(const char* name, chooser choose)
{
    result all;
    for (int seed = 1; seed <= FLAGS_seeds; ++seed)
    {
        result one = fleet_model(static_cast<std::uint64_t>(seed), choose).run();
        all.hits += one.hits;
        all.first_token_ms.insert(all.first_token_ms.end(), one.first_token_ms.begin(),
                                  one.first_token_ms.end());
    }
    std::sort(all.first_token_ms.begin(), all.first_token_ms.end());
    auto at = [&](std::size_t per_thousand)
    { return all.first_token_ms[all.first_token_ms.size() * per_thousand / 1000]; };
    fmt::print("| {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} |\n", name,
               100.0 * all.hits / static_cast<double>(all.first_token_ms.size()), at(500), at(990),
               at(999));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("| choice | prefix cached, % | first token, median ms | p99 ms | p99.9 ms |\n"
               "|---|---|---|---|---|\n");
    print_row("affinity within a bound", by_affinity);
    print_row("least loaded", least_loaded);
    print_row("random", at_random);
    return 0;
}
