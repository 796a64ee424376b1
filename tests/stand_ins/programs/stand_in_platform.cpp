/// \file
/// Runs the stand-in for the platform as a process, for the demo and for scenarios with real
/// processes.

#include <csignal>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "stand_ins/platform_stand_in.hpp"
#include "transport/stop_signal.hpp"

DEFINE_string(listen, "127.0.0.1:0", "IP address and port; port 0 takes a free one");
DEFINE_int64(load_ms, 300, "time of one load at full speed, in milliseconds");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    banyanshunt::stop_signal stop;
    banyanshunt::platform_stand_in platform(
        {.address = FLAGS_listen,
         .limits = {},
         .load_time = banyanshunt::milliseconds(FLAGS_load_ms)});
    if (platform.address().empty())
    {
        fmt::print(stderr, "cannot listen on {}\n", FLAGS_listen);
        return 1;
    }
    fmt::print("{}\n", platform.address());
    std::fflush(stdout);
    stop.wait();
    return 0;
}
