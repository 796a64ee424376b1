#pragma once

/// \file
/// Defines a whole entry host on the prepared platform: its duties on one event loop, from start to
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

    /// Serves until a stop was asked for and what was under way has ended. Returns 0, or 1 if an
    /// address cannot be listened on.
    int run();
    /// Begins a graceful stop, as SIGTERM does. May be called from any thread.
    void request_stop();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace banyanshunt
