/// \file
/// The placer daemon, which loads and unloads replicas on the backend servers of its failure
/// domain.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "placer/placer_host.hpp"
#include "transport/daemon_main.hpp"
#include "transport/stop_signal.hpp"

DEFINE_string(settings, "", "INI file with this host's settings (docs/SETTINGS.md)");
DEFINE_bool(check, false, "check the settings, print every mistake, and exit");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("places replicas.\n  shunt-placer --settings FILE [--check]");
    gflags::SetVersionString(BANYANSHUNT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto file = banyanshunt::settings_file::read(FLAGS_settings);
    auto settings = banyanshunt::read_placer_settings(file);
    if (!banyanshunt::check_settings(file))
    {
        return banyanshunt::exit_usage;
    }
    if (FLAGS_check)
    {
        return banyanshunt::exit_success;
    }
    banyanshunt::stop_signal stop;
    banyanshunt::placer_host host(settings);
    if (!host.start())
    {
        return banyanshunt::exit_failed;
    }
    stop.wait();
    host.stop();
    return banyanshunt::exit_success;
}
