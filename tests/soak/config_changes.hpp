#pragma once

/// \file
/// Publishes configurations whose routes are added, moved, split and removed, and sends requests of
/// these routes straight to each host.

#include <mutex>
#include <random>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include "soak/config_checks.hpp"
#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

struct config_change_options
{
    /// Reads that wait do not notice a version that follows another one closely.
    bool misses_second = true;
    /// Whether routes that are removed or never were are probed. A refusal may make a host confirm
    /// its configuration, which hides how old that was.
    bool probes_refused = true;
};

class config_changes
{
public:
    /// Publishes the first routes. Every third seed has hundreds of them.
    config_changes(soak_fleet& fleet, std::uint64_t seed);

    /// Publishes and probes until `stop`.
    void start(const config_change_options& options);
    void stop();
    /// Valid after `stop`.
    const std::vector<route_version>& versions() const { return versions_; }
    const std::vector<route_probe>& probes() const { return probes_; }

private:
    using routes = std::map<std::string, soak_fleet::plain_route>;

    void publish_changes(const std::stop_token& stop);
    void change_routes();
    void publish();
    void probe_host(std::size_t host, std::uint64_t seed, const std::stop_token& stop);
    std::string draw_prefix(std::mt19937_64& random) const;
    int draw(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }

    soak_fleet& fleet_;
    const std::uint64_t seed_;
    std::mt19937_64 random_;
    routes routes_;
    int next_route_ = 0;
    config_change_options options_;
    /// Guards the members below while threads run.
    mutable std::mutex mutex_;
    std::vector<std::string> removed_;
    /// The prefixes of the newest changes.
    std::vector<std::string> changed_;
    std::vector<route_version> versions_;
    std::vector<route_probe> probes_;
    std::vector<std::jthread> threads_;
};

} // namespace banyanshunt::soak
