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
constexpr milliseconds shortest_list_interval(500);
// A long list is read less often, but a leaving server must be known within a few seconds.
constexpr milliseconds list_interval_per_host(30);
constexpr milliseconds longest_list_interval(3000);
constexpr milliseconds exchange_limit(500);
// A host that starts from nothing may get the whole state in one answer.
constexpr milliseconds first_exchange_limit(10000);

incarnation_id new_incarnation()
{
    return incarnation_id(static_cast<std::int64_t>(make_seeded_rng()() >> 1U));
}

} // namespace

// Each duty has a thread, and the last member's thread ends first.
struct state_source::duties
{
    periodic_thread tickets;
    periodic_thread hosts;
    periodic_thread near;
    periodic_thread far;
};

state_source::state_source(const state_source_options& options, http_client& http,
                           peer_channels& channels, metrics& counters, list_sink told_list)
    : options_(options), channels_(channels), counters_(counters), told_list_(std::move(told_list)),
      keeper_({.host = host_id(options.host.name),
               .role = options.role,
               .incarnation = new_incarnation(),
               .domain = domain_id(options.host.domain),
               .peer_timeout = options.peer_timeout}),
      log_(http, options.platform.log, options.platform.timeout),
      hosts_(http, options.platform.hosts),
      follower_(log_, keeper_.cell(), decode_ticket, [this](const auto& it) { note_ticket(it); }),
      plan_({.self = host_id(options.host.name),
             .domain = domain_id(options.host.domain),
             .may_relay = options.role == entry_role,
             .min_exchange_interval = options.min_exchange_interval})
{
}

state_source::~state_source() = default;

void state_source::start()
{
    duties_.reset(new duties{.tickets = periodic_thread([this] { return follow_tickets(); }),
                             .hosts = periodic_thread([this] { return follow_hosts(); }),
                             .near = periodic_thread([this] { return exchange_near(); }),
                             .far = periodic_thread([this] { return exchange_far(); })});
}

void state_source::stop()
{
    duties_.reset();
}

void state_source::note_ticket(const ticket_outcome& it)
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

// A start, and a read whose records have expired, begin with the newest snapshot.
verdict<done> state_source::read_tickets()
{
    if (snapshot_wanted_)
    {
        auto loaded = load_snapshot(log_, json_snapshot_codec(), keeper_.cell());
        if (!loaded)
        {
            return loaded.error();
        }
        snapshot_wanted_ = false;
        if (*loaded)
        {
            log_info("state_from_snapshot", "ticket={}", keeper_.cell().get()->last_ticket.count());
        }
    }
    instant asked = boot_clock().now();
    auto step = follower_.step(log_wait);
    if (!step)
    {
        snapshot_wanted_ = step.error().code == errc::records_expired;
        return step.error();
    }
    keeper_.confirm_log_end(step->end, asked);
    return done{};
}

milliseconds state_source::follow_tickets()
{
    auto read = read_tickets();
    bool heard = read.has_value();
    if (heard != log_heard_)
    {
        log_info(heard ? "log_heard" : "log_silent", "address={} reason={}", options_.platform.log,
                 heard ? "none" : read.error().code.message());
        log_heard_ = heard;
    }
    return heard ? milliseconds(0) : failed_read_pause;
}

milliseconds state_source::follow_hosts()
{
    auto listed = hosts_.hosts();
    if (!listed)
    {
        return shortest_list_interval;
    }
    keeper_.handle_host_list(*listed, boot_clock().now());
    told_list_(*listed);
    return std::clamp(list_interval_per_host * static_cast<int>(listed->size()),
                      shortest_list_interval, longest_list_interval);
}

relay_round state_source::plan() const
{
    return plan_round(keeper_.peers(), plan_, boot_clock().now(), make_seeded_rng()());
}

// Takes the next peer of the round, and plans a new round after the last. A caller that was ahead
// goes before.
milliseconds state_source::exchange_near()
{
    std::string ahead = keeper_.pop_newer_peer();
    if (!ahead.empty())
    {
        exchange_with(ahead);
    }
    if (near_.empty())
    {
        near_ = plan().same_domain;
        if (near_.empty() && keeper_.peers().reachable().empty())
        {
            near_ = options_.seeds;
        }
    }
    std::size_t n = near_.size();
    if (!near_.empty())
    {
        std::string address = std::move(near_.back());
        near_.pop_back();
        exchange_with(address);
    }
    return relay_interval(plan_, n);
}

// After a change of the state a new round begins at once and goes on without long pauses.
milliseconds state_source::exchange_far()
{
    instant now = boot_clock().now();
    log_offset through = keeper_.cell().get()->next_offset;
    bool changed = through > told_far_;
    if (changed || far_.empty())
    {
        far_ = plan().cross_domain;
        hurry_ = changed ? far_.size() : 0;
        told_far_ = through;
    }
    bool due = hurry_ > 0 || now >= next_far_;
    if (due && !far_.empty())
    {
        std::string address = std::move(far_.back());
        far_.pop_back();
        hurry_ -= hurry_ > 0 ? 1 : 0;
        next_far_ = now + options_.cross_domain_interval;
        exchange_with(address);
    }
    return plan_.min_exchange_interval;
}

void state_source::exchange_with(const std::string& address)
{
    instant asked = boot_clock().now();
    bool first = !keeper_.cell().get()->initialized();
    auto answer = exchange_heartbeats(channels_, address, keeper_.own_heartbeat(asked),
                                      first ? first_exchange_limit : exchange_limit);
    counters_.increment("banyanshunt_exchanges_total",
                        {{"result", answer ? "answered" : answer.error().code.message()}});
    if (!answer)
    {
        return;
    }
    counters_.increment("banyanshunt_exchange_bytes_total", {}, static_cast<double>(answer->bytes));
    if (keeper_.handle_response(*answer, asked, boot_clock().now()))
    {
        log_info("state_from_peer", "peer={} ticket={}", answer->responder.host.str(),
                 answer->responder.last_ticket.count());
    }
}

} // namespace banyanshunt
