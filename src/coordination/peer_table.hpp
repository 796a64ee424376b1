#pragma once

/// \file
/// The view of other entry hosts: which ones the platform lists, and which ones sent heartbeats.
///
/// Neither source proves that a host is alive or dead: the list lags, and an unresponsive host may
/// only be partitioned. The two are kept separate so that each decision can state which it relies
/// on.

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

/// The status that an entry host sends with every exchange with another host.
struct heartbeat
{
    host_id host;
    /// "entry", or "placer" for a process that only fetches the state.
    std::string role = entry_role;
    incarnation_id incarnation;
    domain_id domain;
    /// The address for peers (gRPC) and the one for operators (HTTP).
    std::string peer_address;
    std::string admin_address;
    /// The host is stopping: it accepts no new work and releases what it owns.
    bool leaving = false;
    /// The end of the prefix of the tickets stream that the host has applied.
    log_offset next_offset;
    ticket_number last_ticket;
    /// Time since the host's view of the tickets stream was confirmed by the log, or by a peer
    /// whose view was confirmed; empty before the first confirmation.
    std::optional<milliseconds> view_age;
};

/// What is known about one other entry host.
struct peer_info
{
    host_id host;
    domain_id domain;
    std::string address;

    /// From the platform's list.
    bool listed = false;
    bool listed_leaving = false;

    /// From heartbeats: the last one, and when it was received.
    std::optional<heartbeat> last_heartbeat;
    std::optional<instant> heartbeat_at;

    bool leaving() const { return listed_leaving || (last_heartbeat && last_heartbeat->leaving); }
    /// Whether a heartbeat was received within `timeout` before `now`.
    bool heartbeat_within(milliseconds timeout, instant now) const
    {
        return heartbeat_at && now - *heartbeat_at <= timeout;
    }
};

struct peer_table_options
{
    /// The host that holds this table; it is never one of the peers.
    host_id self;
    domain_id domain;
    /// In a small domain, a peer without a heartbeat for this long does not count as live.
    milliseconds peer_timeout{2000};
    /// Lower bound of the timeout per peer of the domain, because peers are contacted one by one.
    milliseconds timeout_per_peer{200};
    /// A peer that is not listed and sent no heartbeat for this long is removed.
    milliseconds retention{60000};
};

/// The table of peers. Not thread-safe; copies are snapshots.
class peer_table
{
public:
    explicit peer_table(peer_table_options options) : options_(std::move(options)) {}

    /// Applies the platform's newest list.
    void handle_host_list(const std::vector<listed_host>& list, instant now);
    /// Applies a heartbeat received at `now`. A heartbeat of an incarnation that a newer one has
    /// replaced is ignored.
    void handle_heartbeat(const heartbeat& it, instant now);

    /// Every known peer, by name.
    const std::map<host_id, peer_info>& peers() const { return peers_; }
    const peer_info* find(const host_id& host) const;

    /// Peers with a heartbeat within `peer_timeout()` that are not leaving.
    std::vector<peer_info> live(instant now) const;
    std::vector<peer_info> live_in(const domain_id& domain, instant now) const;
    /// Peers with a known address, from the list or a heartbeat, even if unresponsive now.
    std::vector<peer_info> reachable() const;

    /// How long a peer counts as live after its last heartbeat.
    milliseconds peer_timeout() const;
    const peer_table_options& options() const { return options_; }

private:
    peer_table_options options_;
    std::map<host_id, peer_info> peers_;
    std::map<host_id, std::vector<incarnation_id>> replaced_incarnations_;
};

} // namespace banyanshunt
