#include "stand_ins/share_fleet.hpp"

#include <algorithm>

#include "transport/share_rpc.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds read_interval(200);
constexpr milliseconds proposal_interval(400);
constexpr milliseconds log_delay(4);
constexpr milliseconds call_limit(200);
constexpr int thousand = 1000;

} // namespace

share_fleet::share_fleet(const share_fleet_options& options)
    : options_(options), random_(options.seed), logs_(options.hosts_in_domain.size()),
      limits_(options.limits)
{
    for (std::size_t domain = 0; domain < options.hosts_in_domain.size(); ++domain)
    {
        for (int n = 0; n < options.hosts_in_domain[domain]; ++n)
        {
            node it;
            it.domain = domain;
            it.name = host_id("h" + std::to_string(nodes_.size()));
            nodes_.push_back(std::move(it));
        }
    }
    for (const auto& [resource, fleet] : limits_)
    {
        checkers_.emplace(resource, grant_checker(fleet, now_));
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n)
    {
        start(n);
    }
}

instant share_fleet::local_time(std::size_t n) const
{
    const node& it = nodes_[n];
    auto since = std::chrono::duration<double, std::nano>(now_.time_since_epoch());
    auto run = std::chrono::duration_cast<nanoseconds>(since * it.clock_rate);
    return instant(run - it.clock_lag);
}

bool share_fleet::running(std::size_t n) const
{
    return nodes_[n].host && now_ >= nodes_[n].paused_until;
}

bool share_fleet::chance(int per_thousand)
{
    return static_cast<int>(random_() % thousand) < per_thousand;
}

milliseconds share_fleet::delay(std::size_t a, std::size_t b)
{
    auto base = nodes_[a].domain == nodes_[b].domain ? options_.same_domain_delay
                                                     : options_.cross_domain_delay;
    auto jitter = static_cast<std::int64_t>(random_() % (options_.jitter.count() + 1));
    return base + milliseconds(jitter);
}

void share_fleet::start(std::size_t n)
{
    node& it = nodes_[n];
    ++it.incarnation;
    it.paused_until = now_;
    it.clock_lag = nanoseconds(0);
    auto span = 2 * static_cast<std::uint64_t>(options_.clock_drift) + 1;
    auto drift = static_cast<double>(random_() % span) - options_.clock_drift;
    constexpr double ten_thousand = 10'000;
    it.clock_rate = 1 + drift / ten_thousand;
    share_controller_options options = options_.host;
    options.self = {.host = it.name, .incarnation = incarnation_id(it.incarnation)};
    options.domain = domain_id("d" + std::to_string(it.domain));
    options.domains = static_cast<int>(options_.hosts_in_domain.size());
    it.host = std::make_unique<share_controller>(options);
    it.waits.clear();
    it.limits = limits_;
    it.host->set_limits(it.limits, local_time(n));
    std::vector<share_peer> peers;
    for (const auto& other : nodes_)
    {
        peers.push_back(
            {.host = other.name, .domain = domain_id("d" + std::to_string(other.domain))});
    }
    it.host->set_peers(peers);
    it.next_read = now_ + milliseconds(random_() % read_interval.count());
    it.next_proposal = it.next_read + milliseconds(1);
    update_checkers();
}

void share_fleet::kill(std::size_t n)
{
    nodes_[n].host.reset();
    update_checkers();
}

void share_fleet::pause(std::size_t n, milliseconds length)
{
    nodes_[n].paused_until = now_ + length;
    if (options_.clock_stops_in_pause)
    {
        nodes_[n].clock_lag += length;
    }
}

void share_fleet::set_link_cut(std::size_t a, std::size_t b, bool is_cut)
{
    auto pair = std::minmax(a, b);
    if (is_cut)
    {
        cuts_.insert(pair);
    }
    else
    {
        cuts_.erase(pair);
    }
}

void share_fleet::post(milliseconds after, std::size_t to, std::function<void()> action)
{
    events_.emplace(
        now_ + after,
        event{.to = to, .incarnation = nodes_[to].incarnation, .action = std::move(action)});
}

void share_fleet::deliver()
{
    while (!events_.empty() && events_.begin()->first <= now_)
    {
        event it = std::move(events_.extract(events_.begin()).mapped());
        if (!it.to)
        {
            it.action();
            continue;
        }
        const node& to = nodes_[*it.to];
        if (!to.host || to.incarnation != it.incarnation)
        {
            continue;
        }
        if (now_ < to.paused_until)
        {
            instant resumed = to.paused_until;
            events_.emplace(resumed, std::move(it));
            continue;
        }
        it.action();
    }
}

void share_fleet::step()
{
    now_ += options_.tick;
    deliver();
    for (std::size_t n = 0; n < nodes_.size(); ++n)
    {
        if (running(n))
        {
            run_host(n);
        }
    }
}

void share_fleet::run(milliseconds length)
{
    for (milliseconds done(0); done < length; done += options_.tick)
    {
        step();
    }
}

void share_fleet::run_host(std::size_t n)
{
    node& it = nodes_[n];
    if (now_ >= it.next_read)
    {
        it.next_read = now_ + read_interval;
        read_log(n);
    }
    if (now_ >= it.next_proposal)
    {
        it.next_proposal = now_ + proposal_interval;
        append(n);
    }
    for (const auto& outgoing : it.host->outgoing_calls(local_time(n)))
    {
        send(n, outgoing);
    }
    for (const auto& outcome : it.host->process_queues(local_time(n)))
    {
        auto [resource, amount] = it.waits.at(outcome.id);
        it.waits.erase(outcome.id);
        if (outcome.granted)
        {
            record_grant(n, resource, amount);
        }
        if (outcome_sink_)
        {
            outcome_sink_(n, outcome);
        }
    }
}

void share_fleet::read_log(std::size_t n)
{
    if (nodes_[n].log_cut)
    {
        return;
    }
    instant read_start = local_time(n);
    auto from = static_cast<std::size_t>(nodes_[n].host->membership().next_offset().count());
    post(log_delay / 2, n,
         [this, n, read_start, from]
         {
             const auto& log = logs_[nodes_[n].domain];
             std::size_t begin = std::min(from, log.size());
             std::vector<share_record> page(log.begin() + static_cast<std::ptrdiff_t>(begin),
                                            log.end());
             auto back = log_delay / 2 + milliseconds(random_() % (options_.jitter.count() + 1));
             post(back, n,
                  [this, n, read_start, from, page] { handle_page(n, read_start, from, page); });
         });
}

void share_fleet::handle_page(std::size_t n, instant read_start, std::size_t from,
                              const std::vector<share_record>& page)
{
    share_controller& host = *nodes_[n].host;
    auto next_offset = static_cast<std::size_t>(host.membership().next_offset().count());
    for (std::size_t at = from; at < from + page.size(); ++at)
    {
        if (at >= next_offset)
        {
            host.membership().apply(page[at - from], log_offset(static_cast<std::int64_t>(at)),
                                    local_time(n));
            host.refresh(local_time(n));
        }
    }
    host.record_log_read(read_start, local_time(n));
}

void share_fleet::append(std::size_t n)
{
    share_controller& host = *nodes_[n].host;
    if (nodes_[n].log_cut || (host.leaving() && !host.may_resign(local_time(n))))
    {
        return;
    }
    // A host that has not read the stream does not know the newest record.
    if (host.membership().usable_until(share_layer::outage) == instant::min())
    {
        return;
    }
    auto record = host.membership().propose(host.leaving(), local_time(n));
    if (!record)
    {
        return;
    }
    // An append may take effect after its writer has crashed, and may take effect twice.
    auto effect = [this, domain = nodes_[n].domain, record = *record]
    { logs_[domain].push_back(record); };
    int copies = chance(options_.duplicated_permille) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        auto after = log_delay / 2 + milliseconds(random_() % (options_.jitter.count() + 1));
        events_.emplace(now_ + after, event{.to = {}, .action = effect});
    }
}

// A refund counts when its tokens become available at the recipient, so refunds are delivered and
// recorded separately.
share_response share_fleet::deliver_call(std::size_t to, share_call call)
{
    share_controller& host = *nodes_[to].host;
    share_call refunds = call;
    refunds.requests.clear();
    refunds.reports.clear();
    call.refunds.clear();
    for (const auto& refund : refunds.refunds)
    {
        if (!limits_.contains(refund.resource))
        {
            continue;
        }
        millitokens before = host.available(refund.resource, local_time(to));
        share_call one = refunds;
        one.refunds = {refund};
        host.handle_call(one, local_time(to));
        record_grant(to, refund.resource, before - host.available(refund.resource, local_time(to)));
    }
    return host.handle_call(call, local_time(to));
}

void share_fleet::send(std::size_t n, const outgoing_share_call& outgoing)
{
    std::size_t to = 0;
    while (nodes_[to].name != outgoing.recipient)
    {
        ++to;
    }
    instant call_start = local_time(n);
    auto responded = std::make_shared<bool>(false);
    post(call_limit, n,
         [this, n, to, responded]
         {
             if (!*responded)
             {
                 nodes_[n].host->handle_failure(nodes_[to].name, local_time(n));
             }
         });
    int copies = chance(options_.duplicated_permille) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        ++messages_;
        bytes_ += encoded_size(outgoing.call);
        if (chance(options_.lost_permille) || cuts_.contains(std::minmax(n, to)))
        {
            continue;
        }
        post(delay(n, to), to,
             [this, n, to, call_start, responded, call = outgoing.call]
             {
                 auto response = deliver_call(to, call);
                 if (!nodes_[n].host || chance(options_.lost_permille) ||
                     cuts_.contains(std::minmax(n, to)))
                 {
                     return;
                 }
                 ++messages_;
                 bytes_ += encoded_size(response);
                 int response_copies = chance(options_.duplicated_permille) ? 2 : 1;
                 for (int response_copy = 0; response_copy < response_copies; ++response_copy)
                 {
                     post(delay(n, to), n,
                          [this, n, to, call_start, responded, response,
                           incarnation = call.from.incarnation]
                          {
                              if (incarnation.count() != nodes_[n].incarnation)
                              {
                                  return;
                              }
                              *responded = true;
                              nodes_[n].host->handle_response(nodes_[to].name, response, call_start,
                                                              local_time(n));
                          });
                 }
             });
    }
}

bool share_fleet::acquire(std::size_t n, const resource_id& resource, millitokens amount)
{
    if (!running(n) || !nodes_[n].host->acquire(resource, amount, local_time(n)))
    {
        return false;
    }
    record_grant(n, resource, amount);
    return true;
}

std::optional<share_number> share_fleet::wait(std::size_t n, const resource_id& resource,
                                              millitokens amount, milliseconds timeout)
{
    auto id = nodes_[n].host->enqueue(resource, amount, local_time(n) + timeout, local_time(n));
    if (id)
    {
        nodes_[n].waits[*id] = {resource, amount};
    }
    return id;
}

void share_fleet::release(std::size_t n, const resource_id& resource, millitokens amount)
{
    if (running(n))
    {
        share_controller& host = *nodes_[n].host;
        millitokens before = host.available(resource, local_time(n));
        host.release(resource, amount, local_time(n));
        record_grant(n, resource, before - host.available(resource, local_time(n)));
    }
}

void share_fleet::record_grant(std::size_t n, const resource_id& resource, millitokens amount)
{
    grants_.push_back({.resource = resource, .amount = amount, .at = now_, .host = n});
    checkers_.at(resource).record(amount, now_);
}

void share_fleet::set_limits(const std::map<resource_id, share_size>& limits)
{
    limits_ = limits;
    constexpr int max_delay_ms = 2000;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
    {
        if (nodes_[n].host)
        {
            post(milliseconds(random_() % max_delay_ms), n,
                 [this, n, limits]
                 {
                     nodes_[n].limits = limits;
                     nodes_[n].host->set_limits(limits, local_time(n));
                     update_checkers();
                 });
        }
    }
    update_checkers();
}

// The largest limit that any running host applies, because tickets reach hosts at different times.
share_size share_fleet::max_applied_limit(const resource_id& resource) const
{
    share_size largest = limits_.at(resource);
    for (const auto& it : nodes_)
    {
        if (it.host)
        {
            largest.rate = std::max(largest.rate, it.limits.at(resource).rate);
            largest.depth = std::max(largest.depth, it.limits.at(resource).depth);
        }
    }
    return largest;
}

void share_fleet::update_checkers()
{
    for (auto& [resource, checker] : checkers_)
    {
        share_size limit = max_applied_limit(resource);
        if (limit != checker.limits())
        {
            checker.reset(limit, now_);
        }
    }
}

bool share_fleet::bound_held() const
{
    return std::ranges::none_of(checkers_, [](const auto& it) { return it.second.exceeded(); });
}

} // namespace banyanshunt
