#pragma once

/// \file
/// The processes of one soak run: entry hosts as shipped, each with its own loopback address, with
/// stand-ins for the platform and for backend servers, and a proxy on every connection to them.

#include <sys/types.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "stand_ins/loopback_proxy.hpp"
#include "stand_ins/prepared_platform.hpp"

namespace banyanshunt::soak
{

struct fleet_options
{
    /// The path of the entry host's program.
    std::string program;
    /// Further command-line flags of the hosts, separated by blanks.
    std::string program_flags;
    /// The directory for the settings and logs of the hosts.
    std::string directory;
    /// Addresses are 127.`address_block`.0.x, so that runs can execute in parallel; 1 to 254.
    int address_block = 1;
    int hosts = 4;
    /// How long a host that is asked to stop may take.
    int grace_s = 4;
    /// The longest time budget of a request on any route.
    std::chrono::milliseconds time_budget{4000};
    /// The memory of an engine; each model takes 40.
    int engine_mb = 100;
    int engines = 3;
    /// The adapters of the model that every engine holds; four fit an engine.
    int adapters = 0;
    /// The failure domains of the hosts.
    int domains = 1;
    /// The store's partitions in the settings of the first two hosts, if not as for the others.
    int other_parts = 0;
    /// The lease of an engine by its host.
    std::chrono::milliseconds lease{1000};
    /// Whether the second plain server belongs to `soak_fleet::annex_service`.
    bool has_annex = false;
};

class soak_fleet
{
public:
    /// A service whose engines are made by `prompt_crashes`, and their model.
    static constexpr const char* fragile_service = "fragile";
    static constexpr const char* fragile_model = "fragile-1";
    static constexpr const char* desk_service = "desk";
    static constexpr const char* annex_service = "annex";
    /// The first of `backends` that is an engine.
    static constexpr std::size_t first_engine = 2;
    explicit soak_fleet(fleet_options options);
    /// Terminates every process that it started.
    ~soak_fleet();

    std::chrono::milliseconds lease() const { return options_.lease; }

    struct host
    {
        std::string name;
        std::string ip;
        std::string domain;
        pid_t pid = 0;
        /// The process of the machine that another one is about to replace; 0 for none.
        pid_t former_pid = 0;
        bool paused = false;
        /// The signals that its process got.
        std::set<int> signals;
        /// The proxy between the host and the store.
        std::unique_ptr<loopback_proxy> store_proxy;
    };

    void start(host& it);
    void signal(host& it, int number);
    /// Kills a host's process and starts another one under its name, with another address.
    void replace(host& it);
    /// Starts a process under a host's name, with another address, beside the one that runs.
    void begin_replacement(host& it);
    /// Kills the process that ran before `begin_replacement`.
    void end_replacement(host& it);
    /// Stops a host's process until `resume`; returns whether it ran.
    bool pause(host& it);
    /// Returns when it was resumed; nothing if it was not paused.
    std::optional<std::chrono::steady_clock::time_point> resume(host& it);
    /// Reaps a host's process if it has ended; returns whether it has.
    bool reap(host& it);
    bool ready(const host& it) const;

    /// Publishes the next configuration: the clinics' keys, and the rates of both workspaces.
    void configure(const std::vector<std::string>& clinic_keys);
    /// Publishes the content of the newest configuration as the next one.
    void configure_again();
    /// A route to plain services, beside those that every configuration has.
    struct plain_route
    {
        std::string prefix;
        /// Requests are split evenly between them.
        std::set<std::string> services;
        std::chrono::milliseconds timeout{4000};
    };
    /// Publishes the next configuration with these routes; returns its version.
    int configure_routes(std::vector<plain_route> routes);
    /// The newest configuration.
    std::string configuration() const;

    /// Publishes the registry entry of a server again, after a restart of it.
    void announce(std::size_t backend);
    /// Publishes that a server leaves.
    void drain(std::size_t backend);
    /// A server that left is back under its id and address.
    void restart(std::size_t backend);
    std::string entry(std::size_t backend) const;
    static std::string server_name(std::size_t backend);
    /// Makes another plain server and publishes its entry.
    void add_late_server();

    static constexpr int caller_port = 18221;
    static constexpr int ready_port = 18224;
    /// The rate and burst, in requests, of the workspace whose callers exceed them several times.
    static constexpr int small_rate = 20;
    static constexpr int small_burst = 20;

    store_stand_in store{6};
    std::vector<std::unique_ptr<backend_stand_in>> backends;
    std::vector<std::unique_ptr<loopback_proxy>> backend_proxies;
    /// A plain server made late in the run, with a proxy of its own.
    std::unique_ptr<backend_stand_in> late_server;
    std::unique_ptr<loopback_proxy> late_proxy;
    std::vector<host> hosts;
    /// The processes that ended although no signal asked for it, and how.
    std::vector<std::string> unasked_ends;

private:
    void publish();
    /// The service of a server that is no engine of `fragile_service`.
    std::string service_of(std::size_t backend) const;
    /// Gives a host an address that none had before.
    void change_address(host& it);

    fleet_options options_;
    /// Guards `pid`, `paused` and `signals` of the hosts.
    std::mutex process_mutex_;
    mutable std::mutex mutex_;
    std::vector<std::string> clinic_keys_;
    std::string configuration_;
    std::vector<plain_route> plain_routes_;
    int version_ = 0;
};

} // namespace banyanshunt::soak
