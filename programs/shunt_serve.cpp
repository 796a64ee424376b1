// The entry host daemon for the prepared platform: a single process with one event loop.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include <malloc.h>

#include <gflags/gflags.h>

#include "platform/headers.hpp"
#include "platform/settings.hpp"
#include "serve/serving_host.hpp"

DEFINE_int32(metrics_port, 9464, "port of /metrics on the host's own address; 1 to 65535");
DEFINE_string(settings, "", "path of the settings file; by default the one the platform names");
DEFINE_string(sound_prompt_parts, "",
              "parts of prompts that are never banned, as their requests name them; separated by "
              "commas. Ends a ban on all hosts");
DEFINE_bool(
    spread_load, true,
    "spreads requests over servers with regard to what other hosts probably send meanwhile; "
    "otherwise each goes to the least loaded server by the last reports");
DEFINE_int32(max_order_delay_ms, 12000,
             "how long after it was sent an engine may carry out an order that got no response, in "
             "ms; the next host orders the engine a lease later. 0 to 600000");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

constexpr int usage_error = 2;

std::string settings_path()
{
    if (!FLAGS_settings.empty())
    {
        return FLAGS_settings;
    }
    const char* from_environment = std::getenv(banyanshunt::platform::settings_variable);
    return from_environment ? from_environment : "";
}

} // namespace

int main(int argc, char** argv)
{
    // A reload that is requested before the settings are read is no reason to end.
    std::signal(SIGHUP, SIG_IGN);
    // The reader of the log may end before the host does.
    std::signal(SIGPIPE, SIG_IGN);
    // Keeps bodies out of the heap, so that their memory goes back when they are released: by
    // default the threshold grows to the largest body.
    constexpr int mapped_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, mapped_bytes);
    gflags::SetUsageMessage("serves callers on the prepared platform");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string path = settings_path();
    if (path.empty())
    {
        std::cerr << "shunt-serve: no settings file; name one with --settings\n";
        return usage_error;
    }
    auto settings = banyanshunt::platform::read_settings(path);
    if (!settings)
    {
        std::cerr << "shunt-serve: " << path << ": " << settings.error().detail << "\n";
        return usage_error;
    }
    constexpr int last_port = 65535;
    if (FLAGS_metrics_port < 1 || FLAGS_metrics_port > last_port)
    {
        std::cerr << "shunt-serve: --metrics_port is " << FLAGS_metrics_port
                  << "; it takes a port from 1 to 65535\n";
        return usage_error;
    }
    constexpr int longest_order_delay_ms = 600000;
    if (FLAGS_max_order_delay_ms < 0 || FLAGS_max_order_delay_ms > longest_order_delay_ms)
    {
        std::cerr << "shunt-serve: --max_order_delay_ms is " << FLAGS_max_order_delay_ms
                  << "; it takes a time from 0 to 600000 ms\n";
        return usage_error;
    }
    settings->metrics_port = FLAGS_metrics_port;
    settings->bounds.order_delay = banyanshunt::milliseconds(FLAGS_max_order_delay_ms);
    settings->spread_load = FLAGS_spread_load;
    std::istringstream parts(FLAGS_sound_prompt_parts);
    for (std::string part; std::getline(parts, part, ',');)
    {
        settings->sound_parts.push_back(banyanshunt::platform::to_prompt_part(part));
    }
    if (FLAGS_check)
    {
        std::cout << "settings are in order\n";
        return 0;
    }
    return banyanshunt::serving_host(std::move(*settings), path).run();
}
