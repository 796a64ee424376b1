#include "transport/state_source.hpp"

#include <algorithm>

#include "coordination/random_source.hpp"
#include "protocol/snapshot_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "state/errors.hpp"
#include "state/log_line.hpp"
#include "state/periodic_thread.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds log_wait(1000);
constexpr milliseconds failed_read_pause(200);
constexpr milliseconds min_list_interval(500);
// A long list is read less often, but the departure of a server must be noticed within a few
// seconds.
constexpr milliseconds list_interval_per_host(30);
constexpr milliseconds max_list_interval(3000);
constexpr milliseconds exchange_limit(500);
// A host without any state may receive the complete state in one response.
constexpr milliseconds first_exchange_limit(10000);

incarnation_id new_incarnation()
{
    return incarnation_id(static_cast<std::int64_t>(make_seeded_rng()() >> 1U));
}

} // namespace

// One thread for each periodic task. Members are destroyed in reverse order, so the last thread
// ends first.
struct state_source::threads
{
    periodic_thread tickets;
    periodic_thread hosts;
    periodic_thread same_domain;
    periodic_thread cross_domain;
};

state_source::state_source(const state_source_options& options, http_client& http,
                           peer_channels& channels, metrics& counters, list_sink on_host_list)
    : options_(options), channels_(channels), counters_(counters),
      on_host_list_(std::move(on_host_list)), manager_({.host = host_id(options.host.name),
                                                        .role = options.role,
                                                        .incarnation = new_incarnation(),
                                                        .domain = domain_id(options.host.domain),
                                                        .peer_timeout = options.peer_timeout}),
      log_(http, options.platform.log, options.platform.timeout),
      hosts_(http, options.platform.hosts),
      follower_(log_, manager_.cell(), decode_ticket,
                [this](const auto& it) { record_ticket(it); }),
      plan_({.self = host_id(options.host.name),
             .domain = domain_id(options.host.domain),
             .may_relay = options.role == entry_role,
             .min_exchange_interval = options.min_exchange_interval})
{
}

state_source::~state_source() = default;

void state_source::start()
{
    threads_.reset(
        new threads{.tickets = periodic_thread([this] { return follow_tickets(); }),
                    .hosts = periodic_thread([this] { return follow_hosts(); }),
                    .same_domain = periodic_thread([this] { return exchange_same_domain(); }),
                    .cross_domain = periodic_thread([this] { return exchange_cross_domain(); })});
}

void state_source::stop()
{
    threads_.reset();
}

void state_source::record_ticket(const ticket_outcome& it)
{
    if (it.refused)
    {
        log_warning("ticket_refused", "offset={} ticket={} reason=\"{}\"", it.offset.count(),
                    it.number.count(), it.refused->detail);
        counters_.increment("banyanshunt_tickets_total", {{"result", "refused"}});
        return;
    }
    if (it.duplicate)
    {
        counters_.increment("banyanshunt_tickets_total", {{"result", "repeated"}});
        return;
    }
    log_info("ticket_in_force", "ticket={} offset={}", it.number.count(), it.offset.count());
    counters_.increment("banyanshunt_tickets_total", {{"result", "accepted"}});
}

// After a start, or a read of records that have expired, loads the newest snapshot first.
verdict<done> state_source::read_tickets()
{
    if (snapshot_needed_)
    {
        auto loaded = load_snapshot(log_, json_snapshot_codec(), manager_.cell());
        if (!loaded)
        {
            return loaded.error();
        }
        snapshot_needed_ = false;
        if (*loaded)
        {
            log_info("state_from_snapshot", "ticket={}",
                     manager_.cell().get()->last_ticket.count());
        }
    }
    instant requested_at = boot_clock().now();
    auto step = follower_.step(log_wait);
    if (!step)
    {
        snapshot_needed_ = step.error().code == errc::records_expired;
        return step.error();
    }
    manager_.confirm_log_end(step->end, requested_at);
    return done{};
}

milliseconds state_source::follow_tickets()
{
    auto read = read_tickets();
    bool reachable = read.has_value();
    if (reachable != log_reachable_)
    {
        log_info(reachable ? "log_heard" : "log_silent", "address={} reason={}",
                 options_.platform.log, reachable ? "none" : read.error().code.message());
        log_reachable_ = reachable;
    }
    return reachable ? milliseconds(0) : failed_read_pause;
}

milliseconds state_source::follow_hosts()
{
    auto listed = hosts_.hosts();
    if (!listed)
    {
        return min_list_interval;
    }
    manager_.handle_host_list(*listed, boot_clock().now());
    on_host_list_(*listed);
    return std::clamp(list_interval_per_host * static_cast<int>(listed->size()), min_list_interval,
                      max_list_interval);
}

relay_round state_source::plan() const
{
    return plan_round(manager_.peers(), plan_, boot_clock().now(), make_seeded_rng()());
}

// Exchanges with the next peer of the round, and plans a new round after the last. A peer whose
// heartbeat showed a newer state goes first.
milliseconds state_source::exchange_same_domain()
{
    std::string ahead = manager_.pop_newer_peer();
    if (!ahead.empty())
    {
        exchange_with(ahead);
    }
    if (same_domain_.empty())
    {
        same_domain_ = plan().same_domain;
        if (same_domain_.empty() && manager_.peers().reachable().empty())
        {
            same_domain_ = options_.seeds;
        }
    }
    std::size_t n = same_domain_.size();
    if (!same_domain_.empty())
    {
        std::string address = std::move(same_domain_.back());
        same_domain_.pop_back();
        exchange_with(address);
    }
    return relay_interval(plan_, n);
}

// After a change of the state a new round begins at once and runs at the shorter interval.
milliseconds state_source::exchange_cross_domain()
{
    instant now = boot_clock().now();
    log_offset next_offset = manager_.cell().get()->next_offset;
    bool changed = next_offset > cross_domain_offset_;
    if (changed || cross_domain_.empty())
    {
        cross_domain_ = plan().cross_domain;
        urgent_exchanges_ = changed ? cross_domain_.size() : 0;
        cross_domain_offset_ = next_offset;
    }
    bool due = urgent_exchanges_ > 0 || now >= next_cross_domain_;
    if (due && !cross_domain_.empty())
    {
        std::string address = std::move(cross_domain_.back());
        cross_domain_.pop_back();
        urgent_exchanges_ -= urgent_exchanges_ > 0 ? 1 : 0;
        next_cross_domain_ = now + options_.cross_domain_interval;
        exchange_with(address);
    }
    return plan_.min_exchange_interval;
}

void state_source::exchange_with(const std::string& address)
{
    instant requested_at = boot_clock().now();
    bool first = !manager_.cell().get()->initialized();
    auto response = exchange_heartbeats(channels_, address, manager_.own_heartbeat(requested_at),
                                        first ? first_exchange_limit : exchange_limit);
    counters_.increment("banyanshunt_exchanges_total",
                        {{"result", response ? "answered" : response.error().code.message()}});
    if (!response)
    {
        return;
    }
    counters_.increment("banyanshunt_exchange_bytes_total", {},
                        static_cast<double>(response->bytes));
    if (manager_.handle_response(*response, requested_at, boot_clock().now()))
    {
        log_info("state_from_peer", "peer={} ticket={}", response->responder.host.str(),
                 response->responder.last_ticket.count());
    }
}

} // namespace banyanshunt
