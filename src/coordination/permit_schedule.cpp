#include "coordination/permit_schedule.hpp"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{

namespace
{

/// Permits are granted at this rate if the limit is lower: without a request nobody would learn
/// that the limit has ended.
constexpr millirequests_per_second min_rate(250);
/// Requests that are spread over this time may also arrive at once.
constexpr milliseconds burst_duration{250};
/// A new schedule starts with the permits of this time, against which requests before it are
/// charged.
constexpr milliseconds charged_duration{1000};
/// More requests than this are charged as this many; the delay below is far shorter than theirs.
constexpr int max_charged = 100000;
/// The longest that charged requests delay the next permit.
constexpr milliseconds max_settling{3000};

constexpr double nanoseconds_per_second = 1e9;

} // namespace

host_id permit_granter(const server_id& server, const std::vector<host_id>& hosts)
{
    std::pair<std::uint64_t, host_id> best;
    for (const auto& host : hosts)
    {
        best = std::max(best, std::pair(rendezvous_weight(server.str(), host.str()), host));
    }
    return best.second;
}

millirequests_per_second reachable_rate(millirequests_per_second limit, std::size_t in_touch,
                                        std::size_t hosts)
{
    double fraction = std::min(1.0, static_cast<double>(in_touch) /
                                        static_cast<double>(std::max(hosts, in_touch)));
    return millirequests_per_second(
        static_cast<std::int64_t>(static_cast<double>(limit.count()) * fraction));
}

permit_schedule::permit_schedule(millirequests_per_second rate, instant now)
    : rate_(std::max(rate, min_rate)), due_at_(now - charged_duration)
{
}

nanoseconds permit_schedule::interval() const
{
    return nanoseconds(static_cast<std::int64_t>(
        nanoseconds_per_second * millirequests_per_request / static_cast<double>(rate_.count())));
}

nanoseconds permit_schedule::tolerance() const
{
    return std::max<nanoseconds>(burst_duration - interval(), nanoseconds(0));
}

void permit_schedule::set_rate(millirequests_per_second rate, instant now)
{
    auto old_interval = static_cast<double>(interval().count());
    rate_ = std::max(rate, min_rate);
    if (due_at_ > now)
    {
        auto backlog = static_cast<double>((due_at_ - now).count()) / old_interval;
        due_at_ = now + nanoseconds(static_cast<std::int64_t>(
                            backlog * static_cast<double>(interval().count())));
    }
}

void permit_schedule::charge(int requests, instant now)
{
    due_at_ =
        std::max(due_at_, now - charged_duration) + std::min(requests, max_charged) * interval();
    due_at_ = std::min<instant>(due_at_, now + max_settling);
}

permit_grant permit_schedule::request(nanoseconds max_wait, instant now)
{
    auto wait = std::max<nanoseconds>(due_at_ - tolerance() - now, nanoseconds(0));
    if (wait > max_wait)
    {
        return {.granted = false, .wait = wait};
    }
    due_at_ = std::max(due_at_, now) + interval();
    return {.granted = true, .wait = wait};
}

permit_schedule& permit_ledger::find(const server_id& server, std::int64_t start_time_ms,
                                     millirequests_per_second rate, instant now)
{
    auto it = schedules_.find(server);
    if (it == schedules_.end() || it->second.start_time_ms != start_time_ms)
    {
        it = schedules_
                 .insert_or_assign(server, server_schedule{.start_time_ms = start_time_ms,
                                                           .schedule = permit_schedule(rate, now)})
                 .first;
    }
    it->second.schedule.set_rate(rate, now);
    return it->second.schedule;
}

permit_grant permit_ledger::request(const server_id& server, std::int64_t start_time_ms,
                                    millirequests_per_second rate, nanoseconds max_wait,
                                    instant now)
{
    return find(server, start_time_ms, rate, now).request(max_wait, now);
}

void permit_ledger::charge(const server_id& server, std::int64_t start_time_ms,
                           millirequests_per_second rate, int requests, instant now)
{
    find(server, start_time_ms, rate, now).charge(requests, now);
}

} // namespace banyanshunt
