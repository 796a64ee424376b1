#include "entry/request_subsystem.hpp"

#include <thread>

#include <fmt/format.h>

#include "coordination/random_source.hpp"
#include "protocol/claim_codec.hpp"
#include "state/errors.hpp"
#include "state/log_line.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds drain_poll(10);
constexpr milliseconds sweep_interval(100);

// Requests that wait for tokens may hold an eighth of the threads per workspace, and a quarter in
// total.
constexpr std::size_t queue_divisor = 8;
constexpr std::size_t all_queues_divisor = 4;

} // namespace

request_subsystem::request_subsystem(const request_dependencies& dependencies)
    : settings_(dependencies.settings), state_(dependencies.state),
      counters_(dependencies.counters), engine_(dependencies.http), service_(dependencies.http),
      log_(dependencies.http, settings_.platform.log, settings_.platform.timeout),
      dispatcher_({.max_waiting = settings_.max_waiting,
                   .choice = {.slots = settings_.requests.slots_per_replica},
                   .seed = make_seeded_rng()()}),
      queue_(settings_.threads / queue_divisor, settings_.threads / all_queues_divisor),
      permits_(settings_.threads),
      batcher_(log_, {.appends_per_second = settings_.requests.claim_append_rate}),
      claims_(log_, batcher_,
              {.writer = fmt::format("{}-{:x}", settings_.host.name, make_seeded_rng()()),
               .codec = {.encode = encode_claim_record, .decode = decode_claim_record}}),
      handler_({.settings = settings_,
                .state = state_,
                .shares = dependencies.shares,
                .queue = queue_,
                .permits = permits_,
                .dispatcher = dispatcher_,
                .claims = claims_,
                .engine = engine_,
                .service = service_,
                .counters = counters_,
                .wake_demand = dependencies.wake_demand,
                .state_age = dependencies.state_age})
{
}

http_server_options request_subsystem::server_options(const entry_settings& settings)
{
    return {.address = settings.listen,
            .threads = settings.threads,
            .overload_body = encode_failure({.run = run_state::not_run,
                                             .code = errc::queue_full,
                                             .detail = "too many requests are in flight",
                                             .retry_after = milliseconds(1000)})};
}

void request_subsystem::add_handlers(http_server& callers)
{
    callers.handle("POST", "/v1/completions",
                   [this](auto& it) { return handler_.completion(it, false); });
    callers.handle("POST", "/v1/chat/completions",
                   [this](auto& it) { return handler_.completion(it, true); });
    callers.handle("GET", "/v1/models", [this](auto& it) { return handler_.models(it); });
    for (const char* method : {"GET", "POST", "PUT", "DELETE"})
    {
        callers.handle(method, "/.*", [this](auto& it) { return handler_.plain_call(it); });
    }
}

milliseconds request_subsystem::sweep()
{
    handler_.sweep();
    counters_.set("banyanshunt_requests_waiting", static_cast<double>(dispatcher_.waiting()));
    return sweep_interval;
}

void request_subsystem::start()
{
    sweep_thread_ = std::make_shared<periodic_thread>([this] { return sweep(); });
    claim_thread_ = std::make_unique<periodic_thread>([this] { return batcher_.step(); });
    // A ticket may withdraw keys of waiting requests or mark servers as leaving. The listener stays
    // registered after a stop, so it holds a weak pointer.
    state_.on_change(
        [thread = std::weak_ptr(sweep_thread_)]
        {
            if (auto it = thread.lock())
            {
                it->wake();
            }
        });
}

bool request_subsystem::drain(http_server& callers)
{
    std::this_thread::sleep_for(settings_.requests.drain_delay);
    callers.drain();
    handler_.drain();
    log_info("draining", "running={}", handler_.running());
    instant limit = boot_clock().now() + settings_.drain_timeout;
    while (handler_.running() > 0 && boot_clock().now() < limit)
    {
        std::this_thread::sleep_for(drain_poll);
    }
    return handler_.running() == 0;
}

void request_subsystem::stop()
{
    instant limit = boot_clock().now() + settings_.platform.timeout;
    while (batcher_.waiting() > 0 && boot_clock().now() < limit)
    {
        std::this_thread::sleep_for(drain_poll);
    }
    claim_thread_->stop();
    sweep_thread_->stop();
}

} // namespace banyanshunt
