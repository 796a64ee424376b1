// A host that was told that its settings file has changed said "settings unchanged" without a look
// at it, also when its next start would fail with the file.

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <unistd.h>

#include "platform/settings.hpp"
#include "serve/settings_reload.hpp"
#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const std::string good_settings = "node_name=h1\n"
                                  "zone=north\n"
                                  "ip=127.0.0.1\n"
                                  "listen.front=127.0.0.1:8221\n"
                                  "listen.ready=127.0.0.1:8224\n"
                                  "internal_ports=7600,7615\n"
                                  "bounds.drain_ms=2000\n"
                                  "platform.address=127.0.0.1:1\n"
                                  "platform.parts=12\n";

std::string replaced(const std::string& line, const std::string& by)
{
    std::string text = good_settings;
    return text.replace(text.find(line), line.size(), by);
}

/// A file of this test case, removed with it.
struct settings_file_case
{
    settings_file_case()
    {
        path = (std::filesystem::temp_directory_path() /
                ("settings-" + std::to_string(::getpid()) + ".conf"))
                   .string();
    }
    ~settings_file_case() { std::filesystem::remove(path); }
    settings_file_case(const settings_file_case&) = delete;
    settings_file_case& operator=(const settings_file_case&) = delete;

    void write(const std::string& text) const { std::ofstream(path) << text; }

    std::string path;
};

} // namespace

TEST_CASE("A host that is told of changed settings says what it found")
{
    settings_file_case file;
    file.write(good_settings);
    auto in_force = platform::read_settings(file.path);
    REQUIRE(in_force);
    asio::io_context loop;
    host_context context(*in_force, loop.get_executor());
    auto found = [&]
    {
        check_settings_file(context, file.path);
        return compare_settings(context.settings, platform::read_settings(file.path));
    };
    auto counts = [&](const std::string& result)
    {
        return context.stats.text().find("banyanshunt_settings_reloads_total{result=\"" + result +
                                         "\"} 1") != std::string::npos;
    };

    SECTION("the same")
    {
        auto report = found();
        CHECK(report.result == reload_result::unchanged);
        CHECK(counts("unchanged"));
    }
    SECTION("the same for this host, with another field that it does not read")
    {
        file.write(good_settings + "a.b=c\n");
        CHECK(found().result == reload_result::unchanged);
    }
    SECTION("other fields, which take effect at the next start")
    {
        file.write(replaced("drain_ms=2000\n", "drain_ms=1500\nbounds.grace_s=7\n"));
        auto report = found();
        CHECK(report.result == reload_result::changed);
        CHECK(report.fields == std::vector<std::string>{"bounds.drain_ms", "bounds.grace_s"});
        CHECK(report.detail == "they take effect at the next start");
        CHECK(counts("changed"));
    }
    SECTION("an error, and the settings in force stay")
    {
        file.write(replaced("parts=12", "parts=0"));
        auto report = found();
        CHECK(report.result == reload_result::refused);
        CHECK(report.detail == "the setting 'platform.parts' is '0'; it takes a whole number from "
                               "1 to 65535; the settings in force stay");
        CHECK(counts("refused"));
    }
    SECTION("a file that is cut short, or is not there")
    {
        file.write(good_settings.substr(0, good_settings.size() / 2));
        CHECK(found().result == reload_result::refused);
        std::filesystem::remove(file.path);
        CHECK(found().result == reload_result::refused);
    }
    CHECK(context.settings.bounds.drain == 2000ms);
    CHECK(context.settings.log.partitions == 12);
}

TEST_CASE("A running host checks its settings file when it is told to")
{
    serve_case it;
    REQUIRE(it.started);
    // Hosts of tests have no settings file.
    ::kill(::getpid(), SIGHUP);
    CHECK(serve_case::eventually(
        [&]
        {
            return it.scrape().find("banyanshunt_settings_reloads_total{result=\"refused\"} 1") !=
                   std::string::npos;
        }));
    CHECK(it.get("/read/1", "after-reload").first == 200);
}
