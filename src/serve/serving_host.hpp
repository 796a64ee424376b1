#pragma once

/// \file
/// A complete entry host on the prepared platform: its subsystems on one event loop, from start to
/// the end of a graceful stop.

#include <memory>
#include <string>

#include "state/host_settings.hpp"

namespace banyanshunt
{

class serving_host
{
public:
    /// `settings_path` is the file that holds the settings, which is checked again when the
    /// platform says that it has changed.
    explicit serving_host(host_settings settings, std::string settings_path = {});
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
