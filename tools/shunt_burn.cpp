/// \file
/// shunt-burn: reports the burn rate of service-level objectives from scrapes of /metrics.

#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "state/clock.hpp"
#include "tools/burn_report.hpp"
#include "tools/workload.hpp"
#include "transport/daemon_main.hpp"
#include "transport/http_client.hpp"

DEFINE_string(objectives, "", "INI file with the objectives, such as examples/agency/burn.ini");
DEFINE_string(hosts, "", "admin addresses of entry hosts to scrape, joined by commas");
DEFINE_int64(duration_s, 60, "how long to scrape");
DEFINE_int64(interval_s, 5, "seconds between scrapes");
DEFINE_string(save, "", "file to write the scrapes to");
DEFINE_string(scrapes, "", "file with saved scrapes, in place of --hosts");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(page, "", "file to write the HTML page to");

namespace
{

using namespace banyanshunt;

std::vector<metric_scrape> scrape_hosts()
{
    std::vector<metric_scrape> out;
    http_client http;
    instant started = boot_clock().now();
    for (std::int64_t s = 0; s <= FLAGS_duration_s;
         s += std::max<std::int64_t>(FLAGS_interval_s, 1))
    {
        std::this_thread::sleep_for(started + seconds(s) - boot_clock().now());
        for (const auto& host : split_names(FLAGS_hosts))
        {
            auto response = http.send(
                {.address = host, .method = "GET", .path = "/metrics", .headers = {}, .body = {}});
            if (response && response->status == 200)
            {
                out.push_back(
                    {.at = seconds(s), .host = host, .samples = parse_metrics(response->body)});
            }
        }
    }
    return out;
}

std::vector<metric_scrape> read_scrapes(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return decode_scrapes(text.str());
}

bool write_file(const std::string& path, const std::string& text)
{
    std::ofstream out(path);
    out << text;
    return path.empty() || out.good();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("reports service-level burn.\n  shunt-burn --objectives FILE "
                            "(--hosts ADDR,ADDR | --scrapes FILE) [--json] [--page FILE]");
    gflags::SetVersionString(BANYANSHUNT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto file = settings_file::read(FLAGS_objectives);
    objectives requested = read_objectives(file);
    if (!check_settings(file) || (FLAGS_hosts.empty() && FLAGS_scrapes.empty()))
    {
        fmt::print(stderr, "{}\n", gflags::ProgramUsage());
        return exit_usage;
    }
    auto scrapes = FLAGS_scrapes.empty() ? scrape_hosts() : read_scrapes(FLAGS_scrapes);
    auto report = make_burn_report(requested, scrapes);
    fmt::print("{}", FLAGS_json ? burn_json(report) : burn_text(report));
    bool saved = write_file(FLAGS_save, encode_scrapes(scrapes)) &&
                 write_file(FLAGS_page, FLAGS_page.empty() ? "" : burn_html(report));
    return scrapes.empty() || !saved ? exit_failed : exit_success;
}
