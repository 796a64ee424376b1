#include "entry/share_subsystem.hpp"

#include <thread>

#include <fmt/format.h>

#include "coordination/random_source.hpp"
#include "protocol/share_codec.hpp"
#include "state/errors.hpp"
#include "state/log_line.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds log_wait(300);
constexpr milliseconds failed_read_pause(200);
/// Between two rounds of planning when nothing wakes the planner.
constexpr milliseconds plan_interval(20);
constexpr milliseconds peers_interval(500);
constexpr milliseconds stop_poll(10);
constexpr std::size_t call_thread_count = 4;
constexpr std::size_t max_calls = 64;
/// A grant that took longer than this may have outlived its lease between the check and the grant.
constexpr milliseconds max_grant_duration(500);
constexpr milliseconds loan_margin(500);

share_controller_options controller_options(const entry_settings& settings,
                                            incarnation_id incarnation)
{
    share_controller_options it;
    it.self = {.host = host_id(settings.host.name), .incarnation = incarnation};
    it.domain = domain_id(settings.host.domain);
    it.domains = settings.shares.domains;
    it.ledger.loan_duration = settings.shares.loan_duration;
    it.ledger.loan_margin = loan_margin;
    it.lease.lease = settings.shares.lease_duration;
    it.lease.outage = settings.shares.max_outage;
    it.lease.loan_wait = settings.shares.loan_duration + loan_margin + max_grant_duration;
    return it;
}

std::map<resource_id, share_size> limits_of(const fleet_state& state)
{
    std::map<resource_id, share_size> limits;
    for (const auto& [id, entry] : state.workspaces)
    {
        if (entry->value)
        {
            limits[resource_id(id.str())] = {.rate = entry->value->rate,
                                             .depth = entry->value->burst};
        }
    }
    return limits;
}

} // namespace

share_subsystem::share_subsystem(const entry_settings& settings, http_client& http,
                                 peer_channels& channels, metrics& counters, state_subsystem& state)
    : settings_(settings), channels_(channels), counters_(counters), state_(state),
      log_(http, settings.platform.log, settings.platform.timeout),
      stream_(share_stream(domain_id(settings.host.domain))),
      controller_(controller_options(settings, state.incarnation())),
      record_seed_(make_seeded_rng()()),
      service_([this](const share_call& it) { return handle_call(it); }), outbox_(max_calls)
{
}

share_subsystem::~share_subsystem() = default;

void share_subsystem::start()
{
    log_thread_ = std::make_unique<periodic_thread>([this] { return poll_log(); });
    plan_thread_ = std::make_unique<periodic_thread>([this] { return plan_calls(); });
    for (std::size_t n = 0; n < call_thread_count; ++n)
    {
        call_threads_.push_back(std::make_unique<periodic_thread>(
            [this]
            {
                send_calls();
                return milliseconds(0);
            }));
    }
}

void share_subsystem::stop()
{
    bool has_peers = false;
    {
        std::lock_guard lock(mutex_);
        controller_.leave(boot_clock().now());
        has_peers = !addresses_.empty();
    }
    instant limit = boot_clock().now() + settings_.shares.resign_timeout;
    while (!has_resigned() && boot_clock().now() < limit)
    {
        std::this_thread::sleep_for(stop_poll);
    }
    log_info("shares_given_up", "in_order={}", has_resigned());
    if (has_peers)
    {
        // The next heartbeat informs the peers that they need not wait for the lease of this host.
        std::this_thread::sleep_for(share_controller_options().heartbeat);
    }
    plan_thread_->stop();
    outbox_.close();
    call_threads_.clear();
    log_thread_->stop();
}

bool share_subsystem::has_resigned()
{
    std::lock_guard lock(mutex_);
    return !controller_.membership().is_member();
}

bool share_subsystem::is_ready()
{
    std::lock_guard lock(mutex_);
    return log_unavailable_ || controller_.membership().is_member();
}

milliseconds share_subsystem::poll_log()
{
    auto read = read_log();
    {
        std::lock_guard lock(mutex_);
        log_unavailable_ = !read;
    }
    if (!read)
    {
        return failed_read_pause;
    }
    propose();
    return milliseconds(0);
}

// Reads without waiting for new records: a read that reached the end of the stream renews the lease
// as of the start of the read.
verdict<done> share_subsystem::read_log()
{
    constexpr std::size_t page_limit = 256;
    log_offset from;
    {
        std::lock_guard lock(mutex_);
        from = controller_.membership().next_offset();
    }
    instant began = boot_clock().now();
    auto page = log_.read(stream_, from, page_limit, milliseconds(0));
    if (!page)
    {
        return page.error().code == errc::records_expired ? restart_from_kept() : page.error();
    }
    std::lock_guard lock(mutex_);
    for (const auto& it : page->records)
    {
        auto record = decode_share_record(it.data);
        if (record)
        {
            controller_.membership().apply(*record, it.offset, boot_clock().now());
        }
        else
        {
            controller_.membership().skip(it.offset);
        }
        controller_.refresh(boot_clock().now());
    }
    if (controller_.membership().next_offset() >= page->end)
    {
        controller_.record_log_read(began, boot_clock().now());
    }
    bool member = controller_.membership().is_member();
    if (member != was_member_)
    {
        log_info(member ? "share_joined" : "share_left", "members={}",
                 controller_.membership().members().size());
        was_member_ = member;
    }
    return done{};
}

// The response to a read beyond the end of the log names the first record that it still keeps.
verdict<done> share_subsystem::restart_from_kept()
{
    constexpr log_offset beyond(INT64_MAX / 2);
    auto page = log_.read(stream_, beyond, 1, milliseconds(0));
    if (!page)
    {
        return page.error();
    }
    std::lock_guard lock(mutex_);
    controller_.membership().restart_from(page->first_kept);
    controller_.refresh(boot_clock().now());
    log_warning("share_records_expired", "first_kept={}", page->first_kept.count());
    return done{};
}

void share_subsystem::propose()
{
    std::optional<share_record> record;
    {
        std::lock_guard lock(mutex_);
        instant now = boot_clock().now();
        if (!controller_.leaving() || controller_.may_resign(now))
        {
            record = controller_.membership().propose(controller_.leaving(), now);
        }
    }
    if (!record)
    {
        std::this_thread::sleep_for(log_wait);
        return;
    }
    log_entry entry{.id = record_id(fmt::format("share.{}.{:x}.{}", settings_.host.name,
                                                record_seed_, next_record_++)),
                    .data = encode_share_record(*record)};
    // A lost response needs no handling: the next read shows what took effect, and a second copy
    // follows an older record and is void.
    auto appended = log_.append(stream_, std::span(&entry, 1));
    counters_.increment("banyanshunt_share_records_total",
                        {{"result", appended ? "appended" : "failed"}});
}

void share_subsystem::update_limits(instant now)
{
    auto state = state_.cell().get();
    if (state != limits_state_)
    {
        limits_state_ = state;
        controller_.set_limits(limits_of(*state), now);
    }
}

void share_subsystem::update_peers()
{
    std::vector<share_peer> peers;
    std::map<host_id, std::string> addresses;
    for (const auto& it : state_.peers().reachable())
    {
        bool entry = !it.last_heartbeat || it.last_heartbeat->role == "entry";
        if (entry && !it.address.empty())
        {
            peers.push_back({.host = it.host, .domain = it.domain});
            addresses[it.host] = it.address;
        }
    }
    std::lock_guard lock(mutex_);
    controller_.set_peers(peers);
    addresses_ = std::move(addresses);
}

milliseconds share_subsystem::plan_calls()
{
    instant now = boot_clock().now();
    if (now - peers_updated_ >= peers_interval)
    {
        update_peers();
        peers_updated_ = now;
    }
    std::lock_guard lock(mutex_);
    now = boot_clock().now();
    update_limits(now);
    for (auto& outgoing : controller_.outgoing_calls(now))
    {
        host_id to = outgoing.recipient;
        std::string address = addresses_[to];
        if (!outbox_.try_push({.address = std::move(address), .outgoing = std::move(outgoing)}))
        {
            controller_.handle_failure(to, now);
        }
    }
    return plan_interval;
}

void share_subsystem::send_calls()
{
    if (auto it = outbox_.pop(log_wait))
    {
        send_call(*it);
    }
}

void share_subsystem::send_call(const addressed_call& it)
{
    instant sent_at = boot_clock().now();
    auto response =
        send_share_call(channels_, it.address, it.outgoing.call, settings_.shares.call_timeout);
    counters_.increment("banyanshunt_share_calls_total",
                        {{"result", response ? "answered" : "failed"}});
    std::lock_guard lock(mutex_);
    if (!response)
    {
        controller_.handle_failure(it.outgoing.recipient, boot_clock().now());
        return;
    }
    controller_.handle_response(it.outgoing.recipient, *response, sent_at, boot_clock().now());
    for (const auto& loan : response->loans)
    {
        if (loan.amount > millitokens(0))
        {
            counters_.increment("banyanshunt_share_loans_total");
        }
    }
}

share_response share_subsystem::handle_call(const share_call& call)
{
    std::lock_guard lock(mutex_);
    instant now = boot_clock().now();
    update_limits(now);
    return controller_.handle_call(call, now);
}

verdict<reservation> share_subsystem::reserve(const workspace_id& workspace, millitokens amount,
                                              instant)
{
    resource_id resource(workspace.str());
    std::unique_lock lock(mutex_);
    // Reads the clock under the lock, as close to the grant as possible.
    instant now = boot_clock().now();
    update_limits(now);
    if (controller_.acquire(resource, amount, now))
    {
        if (boot_clock().now() - now < max_grant_duration)
        {
            return reservation{.workspace = workspace, .amount = amount};
        }
        controller_.release(resource, amount, boot_clock().now());
    }
    controller_.record_shortage(resource, amount, now);
    auto retry_after = controller_.time_until(resource, amount, now);
    lock.unlock();
    if (plan_thread_)
    {
        plan_thread_->wake();
    }
    return failure{.run = run_state::not_run,
                   .code = errc::over_rate,
                   .detail =
                       fmt::format("workspace {} is above its rate and burst", workspace.str()),
                   .retry_after = retry_after};
}

void share_subsystem::settle(const reservation& held, millitokens used, instant)
{
    check_invariant(used <= held.amount, "more was used than reserved");
    std::lock_guard lock(mutex_);
    controller_.release(resource_id(held.workspace.str()), held.amount - used, boot_clock().now());
}

} // namespace banyanshunt
