/// \file
/// Runs the stand-in for a model engine as a process, for the demo and for scenarios with real
/// processes.

#include <csignal>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "stand_ins/engine_stand_in.hpp"
#include "transport/stop_signal.hpp"

DEFINE_string(listen, "127.0.0.1:0", "IP address and port; port 0 takes a free one");
DEFINE_string(weight_store, "", "address of the weight store; empty makes loads instant");
DEFINE_int64(memory_mib, 80000, "memory for replicas and adapters, in mebibytes");
DEFINE_bool(checks_fencing, true, "refuse orders with an old fencing number");
DEFINE_int64(token_ms, 2, "time of one token, in milliseconds");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    banyanshunt::stop_signal stop;
    banyanshunt::engine_stand_in engine(
        {.address = FLAGS_listen,
         .memory = banyanshunt::mebibytes(FLAGS_memory_mib),
         .checks_fencing = FLAGS_checks_fencing,
         .weight_store = FLAGS_weight_store,
         .time_per_token = banyanshunt::milliseconds(FLAGS_token_ms)});
    if (engine.address().empty())
    {
        fmt::print(stderr, "cannot listen on {}\n", FLAGS_listen);
        return 1;
    }
    fmt::print("{}\n", engine.address());
    std::fflush(stdout);
    stop.wait();
    return 0;
}
