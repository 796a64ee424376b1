#include "soak/soak_fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

extern char** environ;

namespace banyanshunt::soak
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_models = 2;
/// Long enough that a silence begins at any point of a response.
constexpr int event_pause_ms = 60;
constexpr int plain_run_ms = 40;
constexpr const char* late_name = "d-late";

/// The first two servers are plain ones.
bool is_engine(std::size_t backend)
{
    return backend >= 2;
}

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
    for (std::size_t index = 0; index < first_engine + static_cast<std::size_t>(options_.engines);
         ++index)
    {
        auto loaded_models =
            is_engine(index) ? std::set<std::string>{"busy"} : std::set<std::string>{};
        backends.push_back(std::make_unique<backend_stand_in>(server_name(index), loaded_models));
        backends.back()->max_models = max_models;
        backends.back()->event_pause_ms = event_pause_ms;
        backends.back()->run_ms = plain_run_ms;
        auto ip = fmt::format("127.{}.1.{}", options_.address_block, index + 1);
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
        it.domain = fmt::format("north{}", n % options_.domains);
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
        end_replacement(it);
        if (it.pid != 0)
        {
            signal(it, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
        }
    }
}

std::string soak_fleet::server_name(std::size_t backend)
{
    return (is_engine(backend) ? "e" : "d") + std::to_string(backend);
}

std::string soak_fleet::service_of(std::size_t backend) const
{
    bool in_annex = options_.has_annex && backend + 1 == first_engine;
    return is_engine(backend) ? "models" : in_annex ? annex_service : desk_service;
}

std::string soak_fleet::entry(std::size_t backend) const
{
    return backends[backend]->registry_entry(service_of(backend));
}

void soak_fleet::announce(std::size_t backend)
{
    store.put("keyed.servers", server_name(backend), entry(backend));
}

void soak_fleet::drain(std::size_t backend)
{
    store.put("keyed.servers", server_name(backend),
              backends[backend]->registry_entry(service_of(backend), true));
}

void soak_fleet::restart(std::size_t backend)
{
    backends[backend]->stated_leaving = nullptr;
    ++backends[backend]->start_time_ms;
    announce(backend);
}

void soak_fleet::add_late_server()
{
    late_server = std::make_unique<backend_stand_in>(late_name, std::set<std::string>{});
    late_server->run_ms = plain_run_ms;
    late_proxy = std::make_unique<loopback_proxy>(
        fmt::format("127.{}.1.{}", options_.address_block, backends.size() + 1),
        late_server->port());
    late_server->announced_address = late_proxy->address();
    store.put("keyed.servers", late_name, late_server->registry_entry("desk"));
}

std::string soak_fleet::configuration() const
{
    std::lock_guard lock(mutex_);
    return configuration_;
}

void soak_fleet::configure(const std::vector<std::string>& clinic_keys)
{
    std::lock_guard lock(mutex_);
    clinic_keys_ = clinic_keys;
    publish();
}

void soak_fleet::configure_again()
{
    std::lock_guard lock(mutex_);
    publish();
}

int soak_fleet::configure_routes(std::vector<plain_route> routes)
{
    std::lock_guard lock(mutex_);
    plain_routes_ = std::move(routes);
    publish();
    return version_;
}

void soak_fleet::publish()
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
    models.front()["adapters"] = options_.adapters;
    json fragile = {models.front()};
    fragile[0]["name"] = fragile_model;
    auto workspace = [](const char* name, const std::vector<std::string>& keys, int rate, int burst)
    {
        return json{{"name", name},      {"api_keys", keys},   {"unit", "tokens"},
                    {"plain_tokens", 1}, {"rate_per_s", rate}, {"burst", burst}};
    };
    json text = {{"version", ++version_},
                 {"routes",
                  {route("/book/", "non_idempotent", "desk", false, options_.time_budget),
                   route("/read/", "idempotent", "desk", false, options_.time_budget),
                   route("/guide/", "streaming", "models", true, options_.time_budget),
                   route("/fragile/", "streaming", fragile_service, true, options_.time_budget)}},
                 {"services",
                  {{{"name", "desk"}, {"health_path", "/health"}, {"max_connections", 60}},
                   {{"name", "models"},
                    {"health_path", "/health"},
                    {"max_connections", 60},
                    {"engine",
                     {{"models", models},
                      {"weights_mb", options_.engine_mb},
                      {"adapter_slots", 4},
                      {"loads_per_s", 20}}}},
                   {{"name", fragile_service},
                    {"health_path", "/health"},
                    {"max_connections", 60},
                    {"engine",
                     {{"models", fragile},
                      {"weights_mb", 100},
                      {"adapter_slots", 4},
                      {"loads_per_s", 20}}}}}},
                 {"limits", json::object()},
                 {"tenants",
                  {workspace("clinics", clinic_keys_, 100000, 100000),
                   workspace("small", {"small-key"}, small_rate, small_burst)}}};
    text["services"].push_back(
        {{"name", annex_service}, {"health_path", "/health"}, {"max_connections", 60}});
    for (const auto& it : plain_routes_)
    {
        auto added = route(it.prefix.c_str(), "idempotent", "", false, it.timeout);
        added.erase("service");
        for (const auto& service : it.services)
        {
            added["traffic_split"].push_back({{"service", service}, {"weight", 50}});
        }
        text["routes"].push_back(std::move(added));
    }
    configuration_ = text.dump();
    store.put("keyed.op", "config", configuration_);
}

void soak_fleet::start(host& it)
{
    bool has_other_parts = options_.other_parts > 0 && (it.name == "h0" || it.name == "h1");
    std::string settings = fmt::format("{}/{}.conf", options_.directory, it.name);
    std::ofstream(settings) << fmt::format(
        "node_name={}\nip={}\nzone={}\nlisten.front={}:{}\nlisten.ready={}:{}\n"
        "internal_ports=17600,17615\nbounds.lease_ms={}\nbounds.grace_s={}\nbounds.drain_ms=2000\n"
        "bounds.revoke_ms=5000\nbounds.revoke_fail_closed=true\nplatform.address={}\n"
        "platform.parts={}\nplatform.ttl_min_ms=1000\n",
        it.name, it.ip, it.domain, it.ip, caller_port, it.ip, ready_port, lease().count(),
        options_.grace_s, it.store_proxy->address(), has_other_parts ? options_.other_parts : 6);
    std::string log = fmt::format("{}/{}.log", options_.directory, it.name);
    std::lock_guard lock(process_mutex_);
    it.signals.clear();
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::vector<std::string> words = {options_.program, "--settings=" + settings};
    std::istringstream flags(options_.program_flags);
    for (std::string flag; flags >> flag;)
    {
        words.push_back(flag);
    }
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words)
    {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    int failed = ::posix_spawn(&it.pid, options_.program.c_str(), &files, nullptr, arguments.data(),
                               environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
    {
        throw std::runtime_error("cannot start " + options_.program);
    }
    it.paused = false;
}

void soak_fleet::signal(host& it, int number)
{
    std::lock_guard lock(process_mutex_);
    if (it.pid != 0)
    {
        it.signals.insert(number);
        ::kill(it.pid, number);
    }
}

void soak_fleet::replace(host& it)
{
    signal(it, SIGKILL);
    while (!reap(it))
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    change_address(it);
    start(it);
}

void soak_fleet::change_address(host& it)
{
    constexpr int other_addresses = 100;
    auto last = std::stoi(it.ip.substr(it.ip.rfind('.') + 1));
    it.ip = fmt::format("127.{}.0.{}", options_.address_block, last + other_addresses);
}

void soak_fleet::begin_replacement(host& it)
{
    {
        std::lock_guard lock(process_mutex_);
        it.former_pid = it.pid;
    }
    change_address(it);
    start(it);
}

void soak_fleet::end_replacement(host& it)
{
    std::lock_guard lock(process_mutex_);
    if (it.former_pid != 0)
    {
        ::kill(it.former_pid, SIGKILL);
        ::waitpid(it.former_pid, nullptr, 0);
        it.former_pid = 0;
    }
}

bool soak_fleet::pause(host& it)
{
    std::lock_guard lock(process_mutex_);
    if (it.pid == 0 || it.paused)
    {
        return false;
    }
    it.paused = true;
    ::kill(it.pid, SIGSTOP);
    return true;
}

std::optional<std::chrono::steady_clock::time_point> soak_fleet::resume(host& it)
{
    std::lock_guard lock(process_mutex_);
    if (it.pid == 0 || !it.paused)
    {
        return std::nullopt;
    }
    auto at = std::chrono::steady_clock::now();
    it.paused = false;
    ::kill(it.pid, SIGCONT);
    return at;
}

bool soak_fleet::reap(host& it)
{
    std::lock_guard lock(process_mutex_);
    int status = 0;
    if (it.pid != 0 && ::waitpid(it.pid, &status, WNOHANG) == it.pid)
    {
        it.pid = 0;
        bool asked = WIFSIGNALED(status) ? it.signals.contains(WTERMSIG(status))
                                         : WEXITSTATUS(status) == 0 && it.signals.contains(SIGTERM);
        if (!asked)
        {
            unasked_ends.push_back(WIFSIGNALED(status)
                                       ? fmt::format("host {} ended by itself, by signal {}",
                                                     it.name, WTERMSIG(status))
                                       : fmt::format("host {} ended by itself, with exit status {}",
                                                     it.name, WEXITSTATUS(status)));
        }
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
