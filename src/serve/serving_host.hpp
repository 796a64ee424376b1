#pragma once

/// \file
/// A complete entry host on the prepared platform: its subsystems on one event loop, from start to
/// the end of a graceful stop.

#include <memory>

#include "state/host_settings.hpp"

namespace banyanshunt
{

class serving_host
{
public:
    explicit serving_host(host_settings settings);
    ~serving_host();

    /// Serves until a stop is requested and the requests in flight have ended. Returns 0, or 1 if
    /// it cannot listen on an address.
    int run();
    /// Begins a graceful stop, as SIGTERM does. May be called from any thread.
    void request_stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
