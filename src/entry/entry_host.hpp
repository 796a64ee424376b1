#pragma once

/// \file
/// An entry host: its subsystems and the threads that run them.

#include <memory>
#include <string>

#include "entry/entry_settings.hpp"

namespace banyanshunt
{

/// Runs from `start` to `stop`.
class entry_host
{
public:
    explicit entry_host(const entry_settings& settings);
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// Returns false, after a log line, when an address cannot be bound.
    bool start();
    /// Stops gracefully: reports not ready, refuses new requests, waits for the running ones, then
    /// stops everything else. Returns whether every request ended within the drain limit.
    bool stop();

    /// Addresses in use, for settings with port 0.
    std::string caller_address() const;
    std::string admin_address() const;
    std::string peer_address() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
