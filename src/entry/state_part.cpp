#include "entry/state_part.hpp"

#include "coordination/random_source.hpp"
#include "protocol/admin_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "state/duty_thread.hpp"
#include "state/errors.hpp"
#include "state/log_line.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds log_wait(1000);
constexpr milliseconds failed_read_pause(200);
constexpr milliseconds host_list_interval(500);
constexpr milliseconds exchange_limit(500);
// A host that starts from nothing may get the whole state in one answer.
constexpr milliseconds first_exchange_limit(10000);

incarnation new_incarnation()
{
    return incarnation(static_cast<std::int64_t>(system_seeded()() >> 1U));
}

} // namespace

// Each duty has a thread, and the last member's thread ends first.
struct state_part::duties
{
    duty_thread tickets;
    duty_thread hosts;
    duty_thread near;
    duty_thread far;
    duty_thread snapshots;
};

state_part::state_part(const entry_settings& settings, http_client& http, peer_channels& channels,
                       metrics& counters, list_sink told_list)
    : settings_(settings), channels_(channels), counters_(counters),
      told_list_(std::move(told_list)), keeper_({.host = host_id(settings.host.name),
                                                 .life = new_incarnation(),
                                                 .domain = domain_id(settings.host.domain),
                                                 .peer_patience = settings.state.peer_patience}),
      log_(http, settings.platform.log, settings.platform.patience),
      hosts_(http, settings.platform.hosts),
      follower_(log_, keeper_.cell(), decode_ticket, [this](const auto& it) { note_ticket(it); }),
      snapshots_(log_, keeper_, counters, settings.state.snapshots),
      service_([this](const heartbeat& it) { return keeper_.answer(it, boot_clock().now()); }),
      plan_({.self = host_id(settings.host.name), .domain = domain_id(settings.host.domain)})
{
}

state_part::~state_part() = default;

void state_part::add_admin_handlers(http_server& admin)
{
    admin.handle("GET", "/state",
                 [this](auto&)
                 {
                     instant now = boot_clock().now();
                     auto status = status_of(keeper_.self(now), keeper_.peers(), now);
                     return http_reply{.headers = {}, .body = encode_status(status), .stream = {}};
                 });
    admin.handle("GET", "/state/objects",
                 [this](auto&) {
                     return http_reply{.headers = {},
                                       .body = encode_objects(*keeper_.cell().get()),
                                       .stream = {}};
                 });
}

grpc::Service* state_part::service()
{
    return service_.service();
}

void state_part::start(const std::string& peer_address, const std::string& admin_address)
{
    keeper_.set_addresses(peer_address, admin_address);
    duties_.reset(new duties{.tickets = duty_thread([this] { return follow_tickets(); }),
                             .hosts = duty_thread([this] { return follow_hosts(); }),
                             .near = duty_thread([this] { return exchange_near(); }),
                             .far = duty_thread([this] { return exchange_far(); }),
                             .snapshots = duty_thread([this] { return snapshots_.step(); })});
}

void state_part::leave()
{
    keeper_.leave();
}

void state_part::stop()
{
    duties_.reset();
}

void state_part::note_ticket(const ticket_outcome& it)
{
    if (it.refused)
    {
        log_warning("ticket_refused", "offset={} ticket={} reason=\"{}\"", it.offset.count(),
                    it.number.count(), it.refused->detail);
        counters_.count("banyanshunt_tickets_total", {{"result", "refused"}});
        return;
    }
    if (it.repeated)
    {
        counters_.count("banyanshunt_tickets_total", {{"result", "repeated"}});
        return;
    }
    log_change("ticket_in_force", "ticket={} offset={}", it.number.count(), it.offset.count());
    counters_.count("banyanshunt_tickets_total", {{"result", "accepted"}});
}

// A start, and a read whose records have expired, begin with the newest snapshot.
verdict<done> state_part::read_tickets()
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
            log_change("state_from_snapshot", "ticket={}",
                       keeper_.cell().get()->last_ticket.count());
        }
    }
    instant asked = boot_clock().now();
    auto step = follower_.step(log_wait);
    if (!step)
    {
        snapshot_wanted_ = step.error().code == errc::records_expired;
        return step.error();
    }
    keeper_.confirm(step->end, asked);
    return done{};
}

milliseconds state_part::follow_tickets()
{
    auto read = read_tickets();
    bool heard = read.has_value();
    if (heard != log_heard_)
    {
        log_change(heard ? "log_heard" : "log_silent", "address={} reason={}",
                   settings_.platform.log, heard ? "none" : read.error().code.message());
        log_heard_ = heard;
    }
    return heard ? milliseconds(0) : failed_read_pause;
}

milliseconds state_part::follow_hosts()
{
    auto listed = hosts_.hosts();
    if (listed)
    {
        keeper_.take_list(*listed, boot_clock().now());
        told_list_(*listed);
    }
    return host_list_interval;
}

milliseconds state_part::exchange_near()
{
    return exchange_next(near_, true);
}

milliseconds state_part::exchange_far()
{
    return exchange_next(far_, false);
}

// Takes the next peer of the round, and plans a new round after the last.
milliseconds state_part::exchange_next(std::vector<std::string>& queue, bool near)
{
    instant now = boot_clock().now();
    if (queue.empty())
    {
        auto round = plan_round(keeper_.peers(), plan_, now, system_seeded()());
        queue = near ? std::move(round.near) : std::move(round.far);
    }
    std::size_t n = queue.size();
    if (!queue.empty())
    {
        std::string address = std::move(queue.back());
        queue.pop_back();
        exchange_with(address);
    }
    return relay_tick(plan_, n);
}

void state_part::exchange_with(const std::string& address)
{
    instant asked = boot_clock().now();
    bool first = !keeper_.cell().get()->known();
    auto answer = exchange(channels_, address, keeper_.self(asked),
                           first ? first_exchange_limit : exchange_limit);
    counters_.count("banyanshunt_exchanges_total",
                    {{"result", answer ? "answered" : answer.error().code.message()}});
    if (!answer)
    {
        return;
    }
    counters_.count("banyanshunt_exchange_bytes_total", {}, static_cast<double>(answer->bytes));
    if (keeper_.take(*answer, asked, boot_clock().now()))
    {
        log_change("state_from_peer", "peer={} ticket={}", answer->said.host.str(),
                   answer->said.last_ticket.count());
    }
}

} // namespace banyanshunt
