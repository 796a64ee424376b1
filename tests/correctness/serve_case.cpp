#include "serve_case.hpp"

#include <algorithm>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "transport/loop/event_loop.hpp"

namespace banyanshunt
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

/// Ports of each host, on an address of its own. Below those that the kernel hands out.
constexpr int caller_port = 18080;
constexpr int ready_port = 18081;
constexpr int metrics_port = 19464;
constexpr int peer_port = 17600;

json manifest(int version, const std::vector<std::string>& keys, int more_models)
{
    auto route = [](const char* prefix, const char* kind, const char* service, bool resumable)
    {
        return json{{"name", prefix},  {"host", "desk.example"}, {"path_prefix", prefix},
                    {"kind", kind},    {"timeout_ms", 8000},     {"target_latency_ms", 1000},
                    {"priority", 1},   {"service", service},     {"max_attempts", 2},
                    {"public", false}, {"resumable", resumable}, {"gap_aim_ms", 200}};
    };
    json model = {{"name", "busy"},  {"weights_mb", 10}, {"load_s", 0.2}, {"adapters", 0},
                  {"adapter_mb", 1}, {"warm_s", 0.05},   {"disk_s", 0.05}};
    json rare = model;
    rare["name"] = "rare";
    json models = {model, rare};
    for (int n = 0; n < more_models; ++n)
    {
        models.push_back(rare);
        models.back()["name"] = "m" + std::to_string(n);
    }
    return {
        {"version", version},
        {"routes",
         {route("/book/", "non_idempotent", "desk", false),
          route("/read/", "idempotent", "desk", false),
          route("/guide/", "streaming", "models", true)}},
        {"services",
         {{{"name", "desk"}, {"health_path", "/health"}, {"max_connections", 20}},
          {{"name", "models"},
           {"health_path", "/health"},
           {"max_connections", 20},
           {"engine",
            {{"models", models}, {"weights_mb", 100}, {"adapter_slots", 4}, {"loads_per_s", 3}}}}}},
        {"limits", json::object()},
        {"tenants",
         {{{"name", "clinics"},
           {"api_keys", keys},
           {"unit", "tokens"},
           {"plain_tokens", 1},
           {"rate_per_s", 100000},
           {"burst", 100000}}}}};
}

} // namespace

std::string serve_manifest(int version, const std::vector<std::string>& keys, int more_models)
{
    return manifest(version, keys, more_models).dump();
}

serve_case::serve_case(std::size_t host_count, store_path path,
                       const std::function<void(store_stand_in&)>& prepare, int partition_count,
                       std::function<void(host_settings&)> adjust)
    : partitions(partition_count), adjust_settings(std::move(adjust)), path_(path)
{
    std::string store_address = "127.0.0.1:" + std::to_string(store.port());
    if (path != store_path::direct)
    {
        store_link = std::make_unique<fault_proxy>(store_address);
    }
    store.put("keyed.op", "config", serve_manifest(1, {"good-key"}));
    store.put("keyed.servers", "d1", desk1.registry_entry("desk"));
    store.put("keyed.servers", "d2", desk2.registry_entry("desk"));
    store.put("keyed.servers", "e1", engine1.registry_entry("models"));
    store.put("keyed.servers", "e2", engine2.registry_entry("models"));
    if (prepare)
    {
        prepare(store);
    }
    for (std::size_t n = 0; n < host_count; ++n)
    {
        hosts.push_back(make_host(n));
    }
    // Waits until each host is ready and the other hosts would count its shares.
    started = true;
    for (std::size_t n = 0; n < host_count; ++n)
    {
        started = started && await_host(n);
        if (!started)
        {
            UNSCOPED_INFO("host " << n << " at " << hosts.at(n)->ip << ": ready answers "
                                  << ready(n) << ", exit code " << hosts.at(n)->exit_code);
            return;
        }
    }
    // A host orders the engines once the others can know of it, and first calls for their reports.
    started =
        started &&
        eventually([&] { return !engine1.arrivals().empty() && !engine2.arrivals().empty(); });
}

std::unique_ptr<serve_case::host_process> serve_case::make_host(std::size_t n) const
{
    std::string store_address = "127.0.0.1:" + std::to_string(store.port());
    auto made = std::make_unique<host_process>();
    host_process& it = *made;
    host_settings settings;
    settings.name = host_id("h" + std::to_string(n + 1));
    settings.domain = domain_id("north");
    it.ip = addresses_.address(static_cast<int>(n) + 1);
    settings.ip = it.ip;
    it.port = caller_port;
    settings.caller_address = endpoint_text(it.ip + ":" + std::to_string(it.port));
    it.ready_port = ready_port;
    settings.ready_address = endpoint_text(it.ip + ":" + std::to_string(it.ready_port));
    settings.first_peer_port = peer_port;
    it.metrics_port = metrics_port;
    settings.metrics_port = it.metrics_port;
    settings.bounds.lease = 1000ms;
    settings.bounds.order_delay = 0ms;
    settings.log.partitions = partitions;
    settings.bounds.stop_grace = 4000ms;
    bool is_proxied = store_link && (path_ == store_path::proxied || n == 0);
    settings.log.address = endpoint_text(is_proxied ? store_link->address() : store_address);
    adjust_settings(settings);
    it.host = std::make_unique<serving_host>(settings);
    it.thread = std::thread([&it] { it.run(); });
    return made;
}

bool serve_case::await_host(std::size_t n) const
{
    return eventually(
        [&] {
            return ready(n) == 200 &&
                   send("GET", "/read/1", "warm-up", "good-key", {}, n).status == 200;
        });
}

bool serve_case::restart_host(std::size_t n)
{
    hosts.at(n)->request_stop();
    hosts.at(n)->thread.join();
    hosts.at(n) = make_host(n);
    return await_host(n);
}

void serve_case::host_process::run()
{
    int code = host->run();
    {
        std::lock_guard lock(mutex);
        host.reset();
    }
    exit_code = code;
}

void serve_case::host_process::request_stop()
{
    std::lock_guard lock(mutex);
    if (host)
    {
        host->request_stop();
    }
}

serve_case::~serve_case()
{
    for (auto& it : hosts)
    {
        it->request_stop();
    }
    for (auto& it : hosts)
    {
        it->thread.join();
    }
}

std::string serve_case::scrape(std::size_t host) const
{
    const auto& it = *hosts.at(host);
    httplib::Client client(it.ip, it.metrics_port);
    auto response = client.Get("/metrics");
    return response && response->status == 200 ? response->body : "";
}

int serve_case::ready(std::size_t host) const
{
    const auto& it = *hosts.at(host);
    httplib::Client client(it.ip, it.ready_port);
    auto response = client.Get("/api/ready");
    return response ? response->status : 0;
}

serve_case::call_result serve_case::send(const std::string& method, const std::string& path,
                                         const std::string& id, const std::string& key,
                                         const std::string& model, std::size_t host,
                                         const std::string& prompt) const
{
    const auto& it = *hosts.at(host);
    httplib::Client client(it.ip, it.port);
    client.set_read_timeout(10);
    httplib::Headers headers = {{"Host", "desk.example"},
                                {"X-Request-Id", id},
                                {"X-Deadline-Ms", "8000"},
                                {"Authorization", "Bearer " + key}};
    if (!model.empty())
    {
        headers.emplace("X-Model", model);
        headers.emplace("X-Token-Count", "10,5");
        headers.emplace("X-Tenant", "forged");
    }
    if (!prompt.empty())
    {
        headers.emplace("X-Prompt-Prefix", prompt);
    }
    auto sent_at = std::chrono::steady_clock::now();
    auto response = method == "GET" ? client.Get(path, headers)
                                    : client.Post(path, headers, "a body", "text/plain");
    call_result result;
    result.took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - sent_at);
    if (response)
    {
        result.status = response->status;
        result.body = response->body;
        result.retry_after = response->has_header("Retry-After")
                                 ? std::stod(response->get_header_value("Retry-After"))
                                 : -1;
        result.states_leaving = response->has_header("Server-Leaving");
    }
    return result;
}

std::size_t serve_case::runs(const backend_stand_in& server, const std::string& id)
{
    auto served = server.served();
    return static_cast<std::size_t>(
        std::count_if(served.begin(), served.end(), [&](const auto& it) { return it.id == id; }));
}

} // namespace banyanshunt
