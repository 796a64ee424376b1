#pragma once

/// \file
/// Complete entry hosts on event loops of their own, with stand-ins for the platform and for
/// backend servers, for tests of whole request paths.

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "serve/serving_host.hpp"
#include "stand_ins/fault_proxy.hpp"
#include "stand_ins/loopback_block.hpp"
#include "stand_ins/prepared_platform.hpp"

namespace banyanshunt
{

/// A configuration with the plain service "desk", the model engines "models" and one workspace with
/// these keys. The engines' models are "busy", "rare" and `more_models` others, "m0" and so on; ten
/// fit an engine.
std::string serve_manifest(int version, const std::vector<std::string>& keys, int more_models = 0);

/// How hosts reach the store.
enum class store_path
{
    direct,
    /// Through `serve_case::store_link`.
    proxied,
    /// The first host through `serve_case::store_link`, the others directly.
    proxied_first,
};

/// Entry hosts, two plain servers and two engines; ready to serve.
class serve_case
{
public:
    /// `prepare` may change what the store holds before the first host starts. Engines are assigned
    /// to hosts in `partition_count` partitions, each to at most one host. `adjust` is the first
    /// `adjust_settings`.
    explicit serve_case(
        std::size_t host_count = 1, store_path path = store_path::direct,
        const std::function<void(store_stand_in&)>& prepare = {}, int partition_count = 1,
        std::function<void(host_settings&)> adjust = [](host_settings&) {});
    ~serve_case();

    struct call_result
    {
        /// 0 if there was no response.
        int status = 0;
        std::string body;
        /// The Retry-After field, in seconds; negative if there is none.
        double retry_after = -1;
        /// Whether it has a Server-Leaving field.
        bool states_leaving = false;
        std::chrono::milliseconds took{0};
    };

    /// The metrics of one host.
    std::string scrape(std::size_t host = 0) const;
    int ready(std::size_t host = 0) const;
    /// Sends a request to one host. `prompt` lists the parts of its prompt.
    call_result send(const std::string& method, const std::string& path, const std::string& id,
                     const std::string& key, const std::string& model = {}, std::size_t host = 0,
                     const std::string& prompt = {}) const;
    std::pair<int, std::string> call(const std::string& method, const std::string& path,
                                     const std::string& id, const std::string& key,
                                     const std::string& model = {}) const
    {
        auto response = send(method, path, id, key, model);
        return {response.status, response.body};
    }
    std::pair<int, std::string> get(const std::string& path, const std::string& id) const
    {
        return call("GET", path, id, "good-key");
    }
    std::pair<int, std::string> stream(const std::string& id, const std::string& model) const
    {
        return call("POST", "/guide/1", id, "good-key", model);
    }
    template <class Condition>
    static bool eventually(const Condition& condition)
    {
        using namespace std::chrono_literals;
        for (int n = 0; n < 400 && !condition(); ++n)
        {
            std::this_thread::sleep_for(25ms);
        }
        return condition();
    }
    static std::size_t runs(const backend_stand_in& server, const std::string& id);

    struct host_process
    {
        std::string ip;
        int port = 0;
        int ready_port = 0;
        int metrics_port = 0;
        std::atomic<int> exit_code = -1;
        /// Guards `host`, which is destroyed when it has run, so that its connections are closed as
        /// those of a process that exits.
        std::mutex mutex;
        std::unique_ptr<serving_host> host;
        std::thread thread;

        void run();
        void request_stop();
    };

    int partitions;
    store_stand_in store{partitions};
    /// The network between the hosts and the store, if it is proxied.
    std::unique_ptr<fault_proxy> store_link;
    backend_stand_in desk1{"d1", {}};
    backend_stand_in desk2{"d2", {}};
    backend_stand_in engine1{"e1", {"busy"}};
    backend_stand_in engine2{"e2", {"busy"}};
    std::vector<std::unique_ptr<host_process>> hosts;
    bool started = false;
    /// Changes the settings of hosts that are started from now on. Their engines carry out orders
    /// at once, unless it says otherwise.
    std::function<void(host_settings&)> adjust_settings;

    /// Ends a host as planned and starts it again, as a process that knows nothing; returns whether
    /// it is ready.
    bool restart_host(std::size_t n);

    serving_host& host() { return *hosts.front()->host; }
    int exit_code() const { return hosts.front()->exit_code; }

private:
    std::unique_ptr<host_process> make_host(std::size_t n) const;
    bool await_host(std::size_t n) const;

    store_path path_ = store_path::direct;
    /// Cases run side by side, in processes of their own.
    loopback_block addresses_;
};

} // namespace banyanshunt
