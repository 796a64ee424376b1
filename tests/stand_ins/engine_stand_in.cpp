#include "stand_ins/engine_stand_in.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "protocol/platform_codec.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace banyanshunt
{
namespace
{

http_response status_only(int status)
{
    return {.status = status, .headers = {}, .body = {}, .stream = {}};
}

http_response json_body(std::string body)
{
    return {.headers = {}, .body = std::move(body), .stream = {}};
}

// A running or finished completion that can be resumed.
struct stored_completion
{
    completion_request request;
    std::int64_t produced = 0;
    bool cancelled = false;
};

std::string token_text(std::int64_t position)
{
    return fmt::format("tok{} ", position);
}

std::int64_t prompt_tokens(const std::string& prompt)
{
    return 1 + std::count(prompt.begin(), prompt.end(), ' ');
}

} // namespace

struct engine_stand_in::impl
{
    explicit impl(const engine_stand_in_options& given)
        : options(given), server({.address = given.address, .threads = 256})
    {
        report.incarnation = given.incarnation;
        report.memory_total = given.memory;
    }

    held_replica* find(const model_id& model)
    {
        auto it = std::find_if(report.replicas.begin(), report.replicas.end(),
                               [&](const held_replica& held) { return held.model == model; });
        return it == report.replicas.end() ? nullptr : &*it;
    }

    // Reserves memory for a load. Returns false, and counts it, if memory would be overcommitted.
    bool reserve(mebibytes memory)
    {
        if (report.memory_used + memory > report.memory_total)
        {
            ++overcommitted;
            return false;
        }
        report.memory_used += memory;
        return true;
    }

    void update_ledger(const model_id& model, int change) const
    {
        if (options.ledger)
        {
            options.ledger->record_replica(model, change);
        }
    }

    void fetch(const char* kind)
    {
        if (!options.weight_store.empty())
        {
            (void)http.send({.address = options.weight_store,
                             .method = "POST",
                             .path = fmt::format("/fetches?kind={}", kind),
                             .headers = {},
                             .body = {},
                             .read_timeout = milliseconds(600000)});
        }
    }

    // Loads continue after the response to their order, each on its own thread.
    void start_model_load(const engine_order& order)
    {
        loads.emplace_back(
            [this, order]
            {
                fetch("model");
                std::lock_guard lock(mutex);
                if (held_replica* replica = find(order.model))
                {
                    replica->phase = replica_phase::ready;
                    report.cached.push_back({.model = order.model,
                                             .version = order.version,
                                             .tier = checkpoint_tier::memory});
                }
            });
    }

    void start_adapter_load(const engine_order& order)
    {
        loads.emplace_back(
            [this, order]
            {
                fetch("adapter");
                std::lock_guard lock(mutex);
                if (held_replica* replica = find(order.model))
                {
                    std::erase(replica->adapters_loading, order.adapter);
                    replica->adapters.push_back(order.adapter);
                }
            });
    }

    http_response load_model(const engine_order& order)
    {
        if (find(order.model))
        {
            return json_body("{}");
        }
        if (!reserve(order.memory))
        {
            return status_only(507);
        }
        report.replicas.push_back({.model = order.model,
                                   .version = order.version,
                                   .phase = replica_phase::loading,
                                   .memory = order.memory,
                                   .adapters = {},
                                   .adapters_loading = {},
                                   .running = 0});
        update_ledger(order.model, 1);
        start_model_load(order);
        return json_body("{}");
    }

    http_response load_adapter(const engine_order& order)
    {
        held_replica* replica = find(order.model);
        if (!replica)
        {
            return status_only(404);
        }
        if (!reserve(order.memory))
        {
            return status_only(507);
        }
        replica->adapters_loading.push_back(order.adapter);
        replica->memory += order.memory;
        start_adapter_load(order);
        return json_body("{}");
    }

    http_response unload_model(const engine_order& order)
    {
        if (held_replica* replica = find(order.model))
        {
            report.memory_used -= replica->memory;
            update_ledger(order.model, -1);
            std::erase_if(report.replicas,
                          [&](const held_replica& held) { return held.model == order.model; });
        }
        return json_body("{}");
    }

    http_response unload_adapter(const engine_order& order)
    {
        held_replica* replica = find(order.model);
        if (replica && std::erase(replica->adapters, order.adapter) > 0)
        {
            replica->memory -= order.memory;
            report.memory_used -= order.memory;
        }
        return json_body("{}");
    }

    http_response handle_order(const http_request& request)
    {
        auto order = decode_order(request.body);
        auto fault = faults.next("order");
        if (!order)
        {
            return status_only(400);
        }
        if (fault && fault->kind == fault_kind::refuse)
        {
            return status_only(503);
        }
        if (fault && fault->kind == fault_kind::delayed)
        {
            std::this_thread::sleep_for(fault->delay);
        }
        std::lock_guard lock(mutex);
        if (options.checks_fencing && order->fencing < report.fencing)
        {
            return status_only(409);
        }
        report.fencing = std::max(report.fencing, order->fencing);
        http_response response = apply(*order);
        return fault && fault->kind == fault_kind::lose_response ? status_only(500) : response;
    }

    http_response apply(const engine_order& order)
    {
        switch (order.kind)
        {
        case order_kind::load_model:
            return load_model(order);
        case order_kind::unload_model:
            return unload_model(order);
        case order_kind::load_adapter:
            return load_adapter(order);
        case order_kind::unload_adapter:
            return unload_adapter(order);
        }
        return status_only(400);
    }

    http_response start_completion(const http_request& http_in)
    {
        auto request = decode_engine_request(http_in.body);
        if (!request)
        {
            return status_only(400);
        }
        auto fault = faults.next("complete");
        {
            std::lock_guard lock(mutex);
            held_replica* replica = find(request->model);
            bool ready = replica && replica->phase == replica_phase::ready &&
                         (request->adapter.empty() ||
                          std::count(replica->adapters.begin(), replica->adapters.end(),
                                     request->adapter) > 0);
            if (!ready || (fault && fault->kind == fault_kind::refuse))
            {
                return status_only(503);
            }
            record_headers(http_in);
            ++runs[request->id];
            if (options.ledger)
            {
                options.ledger->record_run(request->prompt);
            }
            ++running;
            completions[request->id] = {.request = *request};
        }
        return stream_from(request->id, 0, fault, true);
    }

    void record_headers(const http_request& request)
    {
        for (const auto& [name, value] : request.headers)
        {
            headers.push_back(name + ": " + value);
        }
    }

    http_response resume_completion(const http_request& request)
    {
        request_id id(request.path.substr(request.path.rfind('/') + 1));
        auto fault = faults.next("resume");
        std::lock_guard lock(mutex);
        if (!completions.contains(id) || (fault && fault->kind == fault_kind::refuse))
        {
            return status_only(404);
        }
        return stream_from(id, std::stoll(request.parameter("from", "0")), fault, false);
    }

    http_response cancel_completion(const http_request& request)
    {
        request_id id(request.path.substr(request.path.rfind('/') + 1));
        std::lock_guard lock(mutex);
        auto it = completions.find(id);
        if (it == completions.end())
        {
            return status_only(404);
        }
        it->second.cancelled = true;
        ++cancelled;
        return json_body("{}");
    }

    http_response stream_from(const request_id& id, std::int64_t from,
                              const std::optional<fault_row>& fault, bool first_run)
    {
        http_response response{
            .content_type = "text/event-stream", .headers = {}, .body = {}, .stream = {}};
        response.stream = [this, id, from, fault, first_run](const chunk_writer& write)
        {
            write_completion(id, from, fault, write);
            std::lock_guard lock(mutex);
            running -= first_run ? 1 : 0;
        };
        return response;
    }

    // Writes tokens at the engine's rate. A fault is injected in the middle of the response.
    void write_completion(const request_id& id, std::int64_t from,
                          const std::optional<fault_row>& fault, const chunk_writer& write)
    {
        completion_request request = request_of(id);
        std::int64_t total = request.max_tokens;
        for (std::int64_t at = from; at < total; ++at)
        {
            std::this_thread::sleep_for(options.time_per_token);
            if (is_cancelled(id) || stopping)
            {
                return;
            }
            if (fault && at == total / 2 && inject(*fault, write))
            {
                return;
            }
            if (!write(event(
                    {.token = {.id = id, .position = at, .text = token_text(at)}, .end = {}})))
            {
                return;
            }
        }
        completion_end end{.prompt_tokens = prompt_tokens(request.prompt),
                           .completion_tokens = total,
                           .finish_reason = "length"};
        write(event({.token = {.id = id, .position = total, .text = {}}, .end = end}));
    }

    // Injects the fault. Returns whether the response ends here.
    bool inject(const fault_row& fault, const chunk_writer& write)
    {
        if (fault.kind == fault_kind::reorder)
        {
            request_id other("somebody-elses");
            write(event({.token = {.id = other, .position = 0, .text = "not yours "}, .end = {}}));
            return false;
        }
        if (fault.kind == fault_kind::hang)
        {
            std::unique_lock lock(mutex);
            stop_requested.wait_for(lock, fault.delay, [this] { return stopping.load(); });
            return true;
        }
        if (fault.kind == fault_kind::delayed)
        {
            std::this_thread::sleep_for(fault.delay);
        }
        return fault.kind == fault_kind::truncate || fault.kind == fault_kind::lose_response;
    }

    static std::string event(const engine_event& it)
    {
        return "data: " + encode_engine_event(it) + "\n\n";
    }

    completion_request request_of(const request_id& id)
    {
        std::lock_guard lock(mutex);
        return completions[id].request;
    }

    bool is_cancelled(const request_id& id)
    {
        std::lock_guard lock(mutex);
        return completions[id].cancelled;
    }

    http_response send_report()
    {
        auto fault = faults.next("report");
        if (fault && fault->kind == fault_kind::refuse)
        {
            return status_only(503);
        }
        std::lock_guard lock(mutex);
        return json_body(encode_engine_report(report));
    }

    http_response send_load()
    {
        faults.next("load");
        std::lock_guard lock(mutex);
        return json_body(
            encode_load_report({.running = running, .waiting = 0, .age = milliseconds(0)}));
    }

    void add_handlers()
    {
        server.handle("POST", "/engine/orders", [this](auto& it) { return handle_order(it); });
        server.handle("GET", "/engine/report", [this](auto&) { return send_report(); });
        server.handle("GET", "/engine/load", [this](auto&) { return send_load(); });
        server.handle("POST", "/engine/completions",
                      [this](auto& it) { return start_completion(it); });
        server.handle("GET", "/engine/completions/.+",
                      [this](auto& it) { return resume_completion(it); });
        server.handle("DELETE", "/engine/completions/.+",
                      [this](auto& it) { return cancel_completion(it); });
        server.handle("POST", "/control/faults",
                      [this](auto& it)
                      { return faults.set_text(it.body) ? status_only(400) : json_body("{}"); });
    }

    engine_stand_in_options options;
    std::mutex mutex;
    std::condition_variable stop_requested;
    std::atomic<bool> stopping = false;
    engine_report report;
    std::map<request_id, stored_completion> completions;
    std::map<request_id, int> runs;
    std::vector<std::string> headers;
    int running = 0;
    int overcommitted = 0;
    int cancelled = 0;
    fault_table faults;
    http_client http;
    http_server server;
    std::vector<std::thread> loads;
};

engine_stand_in::engine_stand_in(const engine_stand_in_options& options)
    : impl_(std::make_unique<impl>(options))
{
    impl_->add_handlers();
    impl_->server.start();
}

engine_stand_in::~engine_stand_in()
{
    impl_->stopping = true;
    impl_->stop_requested.notify_all();
    impl_->server.stop();
    for (auto& load : impl_->loads)
    {
        load.join();
    }
}

const std::string& engine_stand_in::address() const
{
    return impl_->server.address();
}

fault_table& engine_stand_in::faults()
{
    return impl_->faults;
}

std::vector<std::string> engine_stand_in::headers_seen() const
{
    std::lock_guard lock(impl_->mutex);
    return impl_->headers;
}

int engine_stand_in::runs_of(const request_id& id) const
{
    std::lock_guard lock(impl_->mutex);
    auto it = impl_->runs.find(id);
    return it == impl_->runs.end() ? 0 : it->second;
}

int engine_stand_in::runs() const
{
    std::lock_guard lock(impl_->mutex);
    int n = 0;
    for (const auto& [id, count] : impl_->runs)
    {
        n += count;
    }
    return n;
}

int engine_stand_in::cancels() const
{
    std::lock_guard lock(impl_->mutex);
    return impl_->cancelled;
}

int engine_stand_in::overcommits() const
{
    std::lock_guard lock(impl_->mutex);
    return impl_->overcommitted;
}

} // namespace banyanshunt
