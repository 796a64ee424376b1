#include "transport/stop_signal.hpp"

namespace banyanshunt
{

stop_signal::stop_signal()
{
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    // A caller that disconnects during a response must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void stop_signal::wait() const
{
    int signal = 0;
    sigwait(&signals_, &signal);
}

} // namespace banyanshunt
