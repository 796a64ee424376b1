#pragma once

/// \file
/// Permits for requests to a backend server that states a limit. One host grants them for all
/// hosts.
///
/// Made for a load pattern in which many hosts have few requests each for a server that takes only
/// a few a second: a rate split over them would give each host one request in minutes. A permit may
/// be granted for a later time, so that waiting requests are not released together.

#include <map>
#include <vector>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// The host that grants permits for a server: the first of `hosts` by rendezvous weight. Hosts that
/// see the same hosts choose the same one. Precondition: `hosts` is not empty.
host_id permit_granter(const server_id& server, const std::vector<host_id>& hosts);

/// The rate at which a host may grant permits if it is in touch with `in_touch` of `hosts` hosts,
/// itself included. Hosts that are cut off from each other grant no more than the limit in sum.
millirequests_per_second reachable_rate(millirequests_per_second limit, std::size_t in_touch,
                                        std::size_t hosts);

struct permit_grant
{
    bool granted = false;
    /// Until the permit may be used; if it was refused, until the next one is free.
    nanoseconds wait{0};
};

/// The permits for one server.
class permit_schedule
{
public:
    permit_schedule(millirequests_per_second rate, instant now);

    /// Sets the rate of permits; those that are due keep their number.
    void set_rate(millirequests_per_second rate, instant now);
    /// Counts requests that were sent in the second before their hosts knew the limit. What exceeds
    /// the limit delays the next permit.
    void charge(int requests, instant now);
    /// Grants a permit if one is free within `max_wait`.
    permit_grant request(nanoseconds max_wait, instant now);

private:
    nanoseconds interval() const;
    /// How early a permit may be granted, which allows small bursts at high rates.
    nanoseconds tolerance() const;

    millirequests_per_second rate_;
    /// When the next permit is due at an even rate.
    instant due_at_;
};

/// The permits of all servers for which this host grants them.
class permit_ledger
{
public:
    permit_grant request(const server_id& server, std::int64_t start_time_ms,
                         millirequests_per_second rate, nanoseconds max_wait, instant now);
    void charge(const server_id& server, std::int64_t start_time_ms, millirequests_per_second rate,
                int requests, instant now);
    void forget(const server_id& server) { schedules_.erase(server); }

private:
    struct server_schedule
    {
        std::int64_t start_time_ms;
        permit_schedule schedule;
    };
    permit_schedule& find(const server_id& server, std::int64_t start_time_ms,
                          millirequests_per_second rate, instant now);

    std::map<server_id, server_schedule> schedules_;
};

} // namespace banyanshunt
