#pragma once

/// \file
/// Defines the wait of a daemon for SIGTERM or SIGINT, its orders to stop gracefully.

#include <csignal>

namespace banyanshunt
{

/// Blocks the stop signals in this thread and all that it starts; construct it first in `main`.
class stop_signal
{
public:
    stop_signal();
    /// Returns when a stop signal has come.
    void wait() const;

private:
    sigset_t signals_{};
};

} // namespace banyanshunt
