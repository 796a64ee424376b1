/// \file
/// The operators' command line.

#include <sstream>

#include <gflags/gflags.h>

#include "control/commands.hpp"
#include "platform/manifest.hpp"

DEFINE_string(log, "", "address of the platform's log service");
DEFINE_string(entry, "", "admin addresses of some entry hosts, comma-separated");
DEFINE_int64(patience_ms, 2000, "longest wait for one response, in milliseconds");
DEFINE_int64(wait_ms, 0, "how long to wait until every live host has the ticket in force");
DEFINE_string(against, "", "file with the serving configuration in effect, for check");
DEFINE_bool(json, false, "JSON instead of tables");

namespace
{

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> items;
    std::istringstream in(list);
    for (std::string item; std::getline(in, item, ',');)
    {
        items.push_back(item);
    }
    return items;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(banyanshunt::control_usage);
    gflags::SetVersionString(BANYANSHUNT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    banyanshunt::control_options options{
        .log_address = FLAGS_log,
        .admin_addresses = split(FLAGS_entry),
        .timeout = banyanshunt::milliseconds(FLAGS_patience_ms),
        .confirm_timeout = banyanshunt::milliseconds(FLAGS_wait_ms),
        .against = FLAGS_against,
        .parse_config = banyanshunt::platform::parse_manifest,
        .json = FLAGS_json,
    };
    return banyanshunt::run_control(std::vector<std::string>(argv + 1, argv + argc), options);
}
