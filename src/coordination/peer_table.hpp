#pragma once

/// \file
/// Defines the view of other entry hosts: which are listed by the platform, and which were heard.
///
/// Both are evidence, neither is proof: the list lags, and a silent host may only be cut off. The
/// two are kept apart so that each decision can say which it rests on.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/host_list.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// The roles that the platform's list and heartbeats name.
inline constexpr const char* entry_role = "entry";
inline constexpr const char* placer_role = "placer";

/// What an entry host says of itself whenever it speaks to another.
struct heartbeat
{
    host_id host;
    /// "entry", or "placer" for one that only asks for the state.
    std::string role = entry_role;
    incarnation_id incarnation;
    domain_id domain;
    /// Where peers reach it over gRPC, and operators over HTTP.
    std::string peer_address;
    std::string admin_address;
    /// It is stopping: it takes no new work and gives up what it owns.
    bool leaving = false;
    /// The prefix of the tickets' stream that it has in force.
    log_offset next_offset;
    ticket_number last_ticket;
    /// How long ago its view of the tickets' stream was confirmed by the log or by a peer that had
    /// it confirmed; nothing before the first time.
    std::optional<milliseconds> view_age;
};

/// What is known of one other entry host.
struct peer_info
{
    host_id host;
    domain_id domain;
    std::string address;

    /// Evidence of the platform's list.
    bool listed = false;
    bool listed_leaving = false;

    /// Evidence of heartbeats: the last one, and when it came.
    std::optional<heartbeat> last_heartbeat;
    std::optional<instant> heartbeat_at;

    bool leaving() const { return listed_leaving || (last_heartbeat && last_heartbeat->leaving); }
    /// Whether a heartbeat came within `timeout` before `now`.
    bool heartbeat_within(milliseconds patience, instant now) const
    {
        return heartbeat_at && now - *heartbeat_at <= patience;
    }
};

struct peer_table_options
{
    /// The host that holds this table; it is never one of the peers.
    host_id self;
    domain_id domain;
    /// A peer that was not heard for this long does not count as live, in a small domain.
    milliseconds peer_timeout{2000};
    /// The patience is at least this for each peer of the domain, as they are heard in turn.
    milliseconds timeout_per_peer{200};
    /// A peer that is neither listed nor was heard for this long is forgotten.
    milliseconds retention{60000};
};

/// The table of peers. Not safe from several threads; copies are snapshots.
class peer_table
{
public:
    explicit peer_table(peer_table_options options) : options_(std::move(options)) {}

    /// Takes the platform's newest list.
    void handle_host_list(const std::vector<listed_host>& list, instant now);
    /// Takes an entry host's heartbeat that came now. One of an older life than the last heard
    /// changes nothing once that life was replaced.
    void handle_heartbeat(const heartbeat& it, instant now);

    /// Every known peer, by name.
    const std::map<host_id, peer_info>& peers() const { return peers_; }
    const peer_info* find(const host_id& host) const;

    /// Peers heard within the patience and not leaving.
    std::vector<peer_info> live(instant now) const;
    std::vector<peer_info> live_in(const domain_id& domain, instant now) const;
    /// Peers worth trying to reach: listed or heard, whether or not they are silent now.
    std::vector<peer_info> reachable() const;

    /// How long a peer may be silent and still count as live.
    milliseconds peer_timeout() const;
    const peer_table_options& options() const { return options_; }

private:
    peer_table_options options_;
    std::map<host_id, peer_info> peers_;
    std::map<host_id, std::vector<incarnation_id>> replaced_;
};

} // namespace banyanshunt
