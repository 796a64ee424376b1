#pragma once

/// \file
/// The callers' connections that one entry host keeps open.
///
/// Made for callers that open connections and send nothing on them, or never complete a request: a
/// host that has no descriptor left serves nobody. Connections whose caller is awaited make room
/// for new ones, the one that is awaited longest first; those with a request in progress stay.
/// Pure.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "state/strong_type.hpp"

namespace banyanshunt
{

using connection_number = strong_number<struct connection_number_tag>;

class connection_limit
{
public:
    explicit connection_limit(std::size_t max_open) : max_open_(max_open) {}

    /// Counts a new connection, whose first request is awaited.
    connection_number add();
    /// A request was read completely.
    void begin_request(connection_number connection);
    /// The head of a request was read; the rest of it is awaited from now on.
    void renew(connection_number connection)
    {
        begin_request(connection);
        end_request(connection);
    }
    /// Its response ended; the next request is awaited.
    void end_request(connection_number connection);
    void remove(connection_number connection);
    /// The connection to close while more than the limit are open; nothing if all have requests in
    /// progress.
    std::optional<connection_number> excess() const;

    std::size_t open() const { return awaited_since_.size(); }
    std::size_t max_open() const { return max_open_; }

private:
    std::size_t max_open_;
    std::int64_t last_number_ = 0;
    std::uint64_t last_turn_ = 0;
    /// The turn since which each connection is awaited; 0 while a request is in progress.
    std::map<connection_number, std::uint64_t> awaited_since_;
    std::map<std::uint64_t, connection_number> by_turn_;
};

} // namespace banyanshunt
