#pragma once

/// \file
/// The request rates that backend servers in need state in their responses, each for all hosts
/// together.
///
/// Made for a load pattern in which each host gets few of a server's responses, and these overtake
/// each other: a response counts as the end of a limit only if its request was sent after the limit
/// was last seen.

#include <deque>
#include <map>
#include <optional>

#include "coordination/response_proof.hpp"
#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// What is known of one server's limit.
struct limit_statement
{
    /// Start time of the server's incarnation that stated it.
    std::int64_t start_time_ms = 0;
    /// Nothing if the server stated none.
    std::optional<millirequests_per_second> rate;
    /// When the response that stated a rate was received, or when the request was sent whose
    /// response stated none.
    instant at;
};

/// How a server's limit changed.
enum class limit_change
{
    none,
    began,
    /// Its rate changed by an eighth or more since the last change that was returned.
    adjusted,
    ended,
};

constexpr const char* to_text(limit_change it)
{
    switch (it)
    {
    case limit_change::began:
        return "began";
    case limit_change::adjusted:
        return "adjusted";
    case limit_change::ended:
        return "ended";
    default:
        return "none";
    }
}

/// The limit of a server that takes fewer requests than usual for a time, because it is cold.
struct cold_limit
{
    std::int64_t start_time_ms = 0;
    millirequests_per_second rate{0};
    instant until;
};

/// The rate at which permits for a cold server may be granted so that no second has more requests
/// than `allowed`: those of a burst, and those whose permits were still valid, come on top of it.
millirequests_per_second cold_permit_rate(double allowed, double per_s);

class server_limits
{
public:
    /// Records what a response stated: `rate`, or nothing. `start_time_ms` is that of the entry by
    /// which the request was sent at `sent_at`.
    limit_change record_response(const server_id& server, std::int64_t start_time_ms,
                                 std::optional<millirequests_per_second> rate, response_match match,
                                 instant sent_at, instant now);
    /// Records a statement, also one that a peer has made. Older ones change nothing.
    limit_change record(const server_id& server, const limit_statement& statement);
    /// Forgets what other incarnations of the server stated.
    void forget_earlier(const server_id& server, std::int64_t start_time_ms);
    /// Limits a server that is cold until then, beside what it states itself. Returns whether it
    /// was not limited so before.
    bool set_cold(const server_id& server, const cold_limit& limit);
    /// Ends that limit, because the server is warm; returns whether there was one.
    bool end_cold(const server_id& server) { return cold_.erase(server) > 0; }
    /// The limits of cold servers.
    const std::map<server_id, cold_limit>& cold() const { return cold_; }
    /// Forgets limits that no response has stated for a minute, and that ended a minute ago.
    void expire(instant now);

    /// The rate in force, or nothing.
    std::optional<millirequests_per_second> rate(const server_id& server) const;
    bool in_force(const server_id& server) const { return rate(server).has_value(); }
    /// Whether the limit was stated so recently that it need not be tried again.
    bool is_fresh(const server_id& server, instant now) const;
    /// A permit for the server was refused until then.
    void record_next_permit(const server_id& server, instant at) { next_permits_[server] = at; }
    /// How long until a permit for the server may be free, as far as this host knows.
    nanoseconds permit_wait(const server_id& server, instant now) const;
    /// All statements, also of limits that have ended.
    const std::map<server_id, limit_statement>& statements() const { return statements_; }

    void record_sent(const server_id& server, instant now);
    /// Requests that this host sent to the server in the last second.
    int recent_sends(const server_id& server, instant now);

private:
    std::map<server_id, limit_statement> statements_;
    std::map<server_id, cold_limit> cold_;
    /// The rates that `limit_change` results have shown.
    std::map<server_id, millirequests_per_second> shown_rates_;
    std::map<server_id, std::deque<instant>> sends_;
    std::map<server_id, instant> next_permits_;
};

} // namespace banyanshunt
