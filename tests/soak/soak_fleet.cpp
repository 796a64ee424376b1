#include "soak/soak_fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

extern char** environ;

namespace banyanshunt::soak
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds lease{1000};
constexpr std::size_t max_models = 2;
/// Long enough that a silence begins at any point of a response.
constexpr int event_pause_ms = 60;
constexpr int plain_run_ms = 40;

json route(const char* prefix, const char* kind, const char* service, bool resumable,
           std::chrono::milliseconds time_budget)
{
    return {{"name", prefix},
            {"host", "desk.example"},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_ms", time_budget.count()},
            {"target_latency_ms", 500},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2},
            {"public", false},
            {"resumable", resumable},
            {"gap_aim_ms", 200}};
}

} // namespace

soak_fleet::soak_fleet(fleet_options options) : options_(std::move(options))
{
    for (int n = 0; n < 5; ++n)
    {
        bool engine = n >= 2;
        auto loaded_models = engine ? std::set<std::string>{"busy"} : std::set<std::string>{};
        backends.push_back(std::make_unique<backend_stand_in>(
            (engine ? "e" : "d") + std::to_string(n), loaded_models));
        backends.back()->lease_duration = lease;
        backends.back()->max_models = max_models;
        backends.back()->event_pause_ms = event_pause_ms;
        backends.back()->run_ms = plain_run_ms;
        auto ip = fmt::format("127.{}.1.{}", options_.address_block, n + 1);
        backend_proxies.push_back(std::make_unique<loopback_proxy>(ip, backends.back()->port()));
        backends.back()->announced_address = backend_proxies.back()->address();
    }
    configure({"key-1", "key-2"});
    for (std::size_t n = 0; n < backends.size(); ++n)
    {
        announce(n);
    }
    for (int n = 0; n < options_.hosts; ++n)
    {
        host it;
        it.name = "h" + std::to_string(n);
        it.ip = fmt::format("127.{}.0.{}", options_.address_block, n + 1);
        it.store_proxy = std::make_unique<loopback_proxy>(
            fmt::format("127.{}.2.{}", options_.address_block, n + 1), store.port());
        start(it);
        hosts.push_back(std::move(it));
    }
}

soak_fleet::~soak_fleet()
{
    for (auto& it : hosts)
    {
        if (it.pid != 0)
        {
            signal(it, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
        }
    }
}

void soak_fleet::announce(std::size_t backend)
{
    bool engine = backend >= 2;
    store.put("keyed.servers", (engine ? "e" : "d") + std::to_string(backend),
              backends[backend]->registry_entry(engine ? "models" : "desk"));
}

void soak_fleet::configure(const std::vector<std::string>& clinic_keys)
{
    json models = json::array();
    for (const char* name : {"busy", "rare-1", "rare-2", "rare-3"})
    {
        models.push_back({{"name", name},
                          {"weights_mb", 40},
                          {"load_s", 0.2},
                          {"adapters", 0},
                          {"adapter_mb", 1},
                          {"warm_s", 0.05},
                          {"disk_s", 0.05}});
    }
    auto workspace = [](const char* name, const std::vector<std::string>& keys, int rate, int burst)
    {
        return json{{"name", name},      {"api_keys", keys},   {"unit", "tokens"},
                    {"plain_tokens", 1}, {"rate_per_s", rate}, {"burst", burst}};
    };
    json text = {{"version", ++version_},
                 {"routes",
                  {route("/book/", "non_idempotent", "desk", false, options_.time_budget),
                   route("/read/", "idempotent", "desk", false, options_.time_budget),
                   route("/guide/", "streaming", "models", true, options_.time_budget)}},
                 {"services",
                  {{{"name", "desk"}, {"health_path", "/health"}, {"max_connections", 60}},
                   {{"name", "models"},
                    {"health_path", "/health"},
                    {"max_connections", 60},
                    {"engine",
                     {{"models", models},
                      {"weights_mb", 100},
                      {"adapter_slots", 4},
                      {"loads_per_s", 20}}}}}},
                 {"limits", json::object()},
                 {"tenants",
                  {workspace("clinics", clinic_keys, 100000, 100000),
                   workspace("small", {"small-key"}, small_rate, small_burst)}}};
    store.put("keyed.op", "config", text.dump());
}

void soak_fleet::start(host& it)
{
    std::string settings = fmt::format("{}/{}.conf", options_.directory, it.name);
    std::ofstream(settings) << fmt::format(
        "node_name={}\nip={}\nzone=north\nlisten.front={}:{}\nlisten.ready={}:{}\n"
        "internal_ports=17600,17615\nbounds.lease_ms={}\nbounds.grace_s={}\nbounds.drain_ms=2000\n"
        "bounds.revoke_ms=5000\nbounds.revoke_fail_closed=true\nplatform.address={}\n"
        "platform.parts=6\nplatform.ttl_min_ms=1000\n",
        it.name, it.ip, it.ip, caller_port, it.ip, ready_port, lease.count(), options_.grace_s,
        it.store_proxy->address());
    std::string log = fmt::format("{}/{}.log", options_.directory, it.name);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::string flag = "--settings=" + settings;
    char* arguments[] = {options_.program.data(), flag.data(), nullptr};
    int failed =
        ::posix_spawn(&it.pid, options_.program.c_str(), &files, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
    {
        throw std::runtime_error("cannot start " + options_.program);
    }
    it.paused = false;
}

void soak_fleet::signal(const host& it, int number) const
{
    if (it.pid != 0)
    {
        ::kill(it.pid, number);
    }
}

bool soak_fleet::reap(host& it) const
{
    if (it.pid != 0 && ::waitpid(it.pid, nullptr, WNOHANG) == it.pid)
    {
        it.pid = 0;
    }
    return it.pid == 0;
}

bool soak_fleet::ready(const host& it) const
{
    httplib::Client client(it.ip, ready_port);
    client.set_connection_timeout(0, 200000);
    client.set_read_timeout(0, 200000);
    auto response = client.Get("/api/ready");
    return response && response->status == 200;
}

} // namespace banyanshunt::soak
