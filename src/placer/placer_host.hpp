#pragma once

/// \file
/// The placer: the process on each entry host that holds leases on the backend servers of its own
/// failure domain and orders their loads.

#include <memory>
#include <string>

#include "placer/placer_settings.hpp"

namespace banyanshunt
{

/// Runs from `start` to `stop`.
class placer_host
{
public:
    explicit placer_host(const placer_settings& settings);
    ~placer_host();
    placer_host(const placer_host&) = delete;
    placer_host& operator=(const placer_host&) = delete;

    /// Returns false and logs a warning if an address cannot be bound.
    bool start();
    /// Stops all threads, then releases the leases on servers to which no order can be in flight.
    void stop();

    std::string peer_address() const;
    std::string admin_address() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
