#pragma once

/// \file
/// Waits for SIGTERM or SIGINT, which request a graceful stop of a daemon.

#include <csignal>

namespace banyanshunt
{

/// Blocks the stop signals in this thread and all that it starts; construct it first in `main`.
class stop_signal
{
public:
    stop_signal();
    /// Blocks until a stop signal arrives.
    void wait() const;

private:
    sigset_t signals_{};
};

} // namespace banyanshunt
