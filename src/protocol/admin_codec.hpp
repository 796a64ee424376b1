#pragma once

/// \file
/// The responses of an entry host to operators at its admin address: its own status with its view
/// of peers at /state, and the applied objects at /state/objects.

#include <string>
#include <vector>

#include "coordination/peer_table.hpp"
#include "state/fleet_state.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// One peer in a host's view.
struct peer_status
{
    host_id host;
    domain_id domain;
    std::string peer_address;
    /// Empty until a heartbeat from the peer was received.
    std::string admin_address;
    bool listed = false;
    bool alive = false;
    bool leaving = false;
    ticket_number last_ticket;
    friend bool operator==(const peer_status&, const peer_status&) = default;
};

/// A host's own status.
struct host_status
{
    host_id host;
    domain_id domain;
    incarnation_id incarnation;
    bool leaving = false;
    log_offset next_offset;
    ticket_number last_ticket;
    /// Time since the state was last confirmed; nothing if it never was.
    std::optional<milliseconds> view_age;
    std::vector<peer_status> peers;
    friend bool operator==(const host_status&, const host_status&) = default;
};

/// Combines a host's own heartbeat and its view of peers.
host_status status_of(const heartbeat& self, const peer_table& peers, instant now);

std::string encode_status(const host_status& it);
/// Fails with `errc::bad_answer`.
verdict<host_status> decode_status(const std::string& body);

/// Encodes the applied objects by kind and name. Keys are written without salt and hash.
std::string encode_objects(const fleet_state& state);

} // namespace banyanshunt
