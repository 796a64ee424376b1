/// \file
/// Every reader of the platform's records either reads a mutated record with all values in range or
/// refuses it with a reason, however deep and large it is.

#include <catch2/catch.hpp>

#include "fuzz/mutator.hpp"
#include "platform/manifest.hpp"
#include "platform/registry.hpp"
#include "platform/settings.hpp"
#include "platform/store.hpp"

using namespace banyanshunt;
using banyanshunt::fuzz::mutator;

namespace
{

constexpr int mutant_count = 5'000;

/// Reads every mutant, each hundredth with deep nesting at some position.
template <class Parse, class Check>
void read_mutants(mutator& source, Parse parse, Check check)
{
    int read = 0;
    int refused = 0;
    for (int n = 0; n < mutant_count; ++n)
    {
        std::string text = source.next();
        if (n % 100 == 0)
        {
            std::size_t depth = 1 + source.draw(120'000);
            text.insert(source.draw(text.size()),
                        std::string(depth, '[') + std::string(depth, ']'));
        }
        auto it = parse(text);
        ++(it ? read : refused);
        if (it ? !check(*it) : it.error().detail.empty())
        {
            FAIL("read out of range, or refused without a reason: " << text.substr(0, 2000));
        }
    }
    CHECK(read > 0);
    CHECK(refused > 0);
}

} // namespace

TEST_CASE("mutated entries of servers are read with all values in range or refused")
{
    mutator source("entry", 21);
    read_mutants(
        source, [](const auto& text) { return platform::parse_server_entry(server_id("i"), text); },
        [](const backend_entry& it)
        {
            return it.slots > 0 && it.start_time_ms >= 0 && it.sequence >= 0 &&
                   it.warmup_left >= milliseconds(0) && !it.service.empty();
        });
}

TEST_CASE("mutated reports of servers are read with all values in range or refused")
{
    mutator source("server_report", 22);
    read_mutants(source, platform::parse_server_report,
                 [](const residency_report& it)
                 { return it.orders_accepted >= 0 && it.start_time_ms >= 0; });
}

TEST_CASE("mutated configurations are read with all values in range or refused")
{
    mutator source("manifest", 23);
    read_mutants(source, platform::parse_manifest,
                 [](const serving_config_ptr& it)
                 {
                     for (const auto& route : it->routes)
                     {
                         if (route.timeout < milliseconds(0) || route.max_attempts < 0)
                         {
                             return false;
                         }
                     }
                     return it->version >= 0;
                 });
}

TEST_CASE("mutated pages of the store are read with all values in range or refused")
{
    mutator source("newest", 24);
    read_mutants(source, platform::parse_newest,
                 [](const platform::newest_page& it)
                 { return it.end >= log_offset(0) && it.unreadable >= 0; });
}

TEST_CASE("mutated settings of a host are read with all values in range or refused")
{
    mutator source("host_settings", 25);
    read_mutants(source, platform::parse_settings,
                 [](const host_settings& it)
                 {
                     return !it.name.empty() && it.log.partitions >= 1 && it.first_peer_port >= 1 &&
                            it.first_peer_port <= it.last_peer_port && it.last_peer_port <= 65535 &&
                            it.cores >= 0 && it.bounds.retry_ratio >= 0 &&
                            it.bounds.key_revocation >= milliseconds(0) &&
                            it.bounds.stop_grace >= milliseconds(0) &&
                            it.bounds.stop_grace <= std::chrono::hours(365 * 24);
                 });
}
