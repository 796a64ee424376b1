/// \file
/// The daemon that serves callers' requests on an entry host.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "entry/entry_host.hpp"
#include "transport/daemon_main.hpp"
#include "transport/stop_signal.hpp"

DEFINE_string(settings, "", "INI file with this host's settings (docs/SETTINGS.md)");
DEFINE_bool(check, false, "check the settings, print every mistake, and exit");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("takes callers' requests.\n  shunt-entry --settings FILE [--check]");
    gflags::SetVersionString(BANYANSHUNT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto file = banyanshunt::settings_file::read(FLAGS_settings);
    auto settings = banyanshunt::read_entry_settings(file);
    if (!banyanshunt::check_settings(file))
    {
        return banyanshunt::exit_usage;
    }
    if (FLAGS_check)
    {
        return banyanshunt::exit_success;
    }
    banyanshunt::stop_signal stop;
    banyanshunt::entry_host host(settings);
    if (!host.start())
    {
        return banyanshunt::exit_failed;
    }
    stop.wait();
    return host.stop() ? banyanshunt::exit_success : banyanshunt::exit_unclean;
}
