/// \file
/// Runs the stand-in for a plain service as a process, for the demo and for scenarios with real
/// processes.

#include <csignal>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "stand_ins/service_stand_in.hpp"
#include "transport/stop_signal.hpp"

DEFINE_string(listen, "127.0.0.1:0", "IP address and port; port 0 takes a free one");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    banyanshunt::stop_signal stop;
    banyanshunt::service_stand_in service({.address = FLAGS_listen});
    if (service.address().empty())
    {
        fmt::print(stderr, "cannot listen on {}\n", FLAGS_listen);
        return 1;
    }
    fmt::print("{}\n", service.address());
    std::fflush(stdout);
    stop.wait();
    return 0;
}
