/// \file
/// The choice of a server: affinity within a bound on load, ejection of servers that fail, their
/// return after a probe, and retries within their budget.

#include <map>

#include <catch2/catch.hpp>

#include "coordination/replica_choice.hpp"
#include "coordination/retry_budget.hpp"
#include "coordination/server_health.hpp"
#include "state/errors.hpp"

using namespace banyanshunt;

namespace
{

replica_table table_of(const std::vector<int>& loads)
{
    replica_table table;
    for (std::size_t i = 0; i < loads.size(); ++i)
    {
        table.replicas.push_back({.server = server_id("e" + std::to_string(i)),
                                  .address = "127.0.0.1:1",
                                  .model = model_id("m"),
                                  .version = version_id("v1"),
                                  .adapters = {},
                                  .load = loads[i]});
    }
    return table;
}

replica_filter filter_of(const std::string& prefix)
{
    return {.model = model_id("m"), .adapter = {}, .prefix = prefix, .refused_by = {}};
}

} // namespace

TEST_CASE("the choice of a replica")
{
    std::mt19937_64 random(1);
    replica_choice_options options{.slots = 8};
    auto choose = [&](const replica_table& table, const replica_filter& filter)
    { return choose_replica(table, filter, options, random); };

    SECTION("one prefix stays on one replica, many prefixes spread over all")
    {
        auto table = table_of({1, 1, 1, 1});
        std::map<server_id, int> chosen;
        for (int i = 0; i < 400; ++i)
        {
            auto filter = filter_of("system prompt " + std::to_string(i));
            auto first = choose(table, filter);
            CHECK(choose(table, filter)->server == first->server);
            ++chosen[first->server];
        }
        CHECK(chosen.size() == 4);
        for (const auto& [server, n] : chosen)
        {
            CHECK(n > 50);
        }
    }
    SECTION("a replica above the bound loses its affinity")
    {
        auto filter = filter_of("hot");
        auto preferred = choose(table_of({0, 0, 0, 0}), filter)->server;
        auto table = table_of({0, 0, 0, 0});
        for (auto& it : table.replicas)
        {
            it.load = it.server == preferred ? 7 : 0;
        }
        CHECK(choose(table, filter)->server != preferred);
    }
    SECTION("without a free slot no replica is chosen")
    {
        CHECK(!choose(table_of({8, 9}), filter_of("p")));
        CHECK(choose(table_of({8, 7}), filter_of("p"))->server == server_id("e1"));
    }
    SECTION("a server that refused the request is tried again only when it is the only one")
    {
        auto filter = filter_of("p");
        filter.refused_by = {server_id("e0")};
        CHECK(choose(table_of({0, 5}), filter)->server == server_id("e1"));
        CHECK(choose(table_of({0}), filter)->server == server_id("e0"));
    }
    SECTION("a draining server is never chosen, and one in the same domain is preferred")
    {
        auto table = table_of({0, 0, 0});
        table.replicas[0].leaving = true;
        table.replicas[2].same_domain = true;
        for (int i = 0; i < 50; ++i)
        {
            CHECK(choose(table, filter_of(std::to_string(i)))->server == server_id("e2"));
        }
    }
}

TEST_CASE("the health of a server")
{
    std::mt19937_64 random(1);
    server_health health({.failure_threshold = 3, .base_ejection = milliseconds(400)});
    server_id e1("e1");
    test_clock clock;
    auto fail = [&]
    {
        health.record_sent(e1);
        health.record_outcome(e1, server_outcome::failed, clock.now(), random);
    };
    fail();
    fail();
    CHECK(health.usable(e1, clock.now()));

    SECTION("a response in between resets the count")
    {
        health.record_outcome(e1, server_outcome::responded, clock.now(), random);
        fail();
        fail();
        CHECK(health.usable(e1, clock.now()));
    }
    SECTION("the third failure in a row ejects it")
    {
        fail();
        CHECK(health.ejected(e1));
        CHECK(!health.usable(e1, clock.now()));

        SECTION("a failure of a request sent before does not lengthen the ejection")
        {
            health.record_outcome(e1, server_outcome::failed, clock.now(), random);
            clock.advance(milliseconds(500));
            CHECK(health.usable(e1, clock.now()));
        }
        SECTION("exactly one request probes it after the ejection")
        {
            clock.advance(milliseconds(500));
            CHECK(health.usable(e1, clock.now()));
            health.record_sent(e1);
            CHECK(!health.usable(e1, clock.now()));

            SECTION("success brings it back")
            {
                health.record_outcome(e1, server_outcome::responded, clock.now(), random);
                CHECK(!health.ejected(e1));
            }
            SECTION("failure ejects it for longer")
            {
                health.record_outcome(e1, server_outcome::failed, clock.now(), random);
                clock.advance(milliseconds(500));
                CHECK(!health.usable(e1, clock.now()));
                clock.advance(milliseconds(500));
                CHECK(health.usable(e1, clock.now()));
            }
        }
    }
    SECTION("a well-formed refusal is not a failure")
    {
        CHECK(outcome_of({.run = run_state::not_run,
                          .code = errc::memory_full,
                          .detail = {},
                          .retry_after = {}}) == server_outcome::refused);
        CHECK(outcome_of({.run = run_state::not_run,
                          .code = errc::unreachable,
                          .detail = {},
                          .retry_after = {}}) == server_outcome::failed);
    }
}

TEST_CASE("retries stay within their budget")
{
    retry_budget budget({.percent = 10, .reserve = 5});
    int reserve = 0;
    while (budget.acquire())
    {
        ++reserve;
    }
    CHECK(reserve == 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.record_request();
        retries += budget.acquire() ? 1 : 0;
    }
    CHECK(retries == 100);

    std::mt19937_64 random(7);
    for (int attempt = 1; attempt < 20; ++attempt)
    {
        auto backoff = retry_backoff(attempt, random);
        CHECK(backoff >= milliseconds(1));
        CHECK(backoff <= milliseconds(256));
    }
}
