// Which hosts own a workspace's rate, whom a host asks for tokens, and how loans end at once.

#include <set>

#include <catch2/catch.hpp>

#include "coordination/lender_choice.hpp"
#include "coordination/share_ledger.hpp"
#include "coordination/share_owners.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

std::vector<share_member> fleet()
{
    std::vector<share_member> all;
    for (const char* domain : {"north", "south", "west"})
    {
        for (int n = 0; n < 4; ++n)
        {
            all.push_back({.host = host_id(std::string(domain) + std::to_string(n)),
                           .domain = domain_id(domain)});
        }
    }
    return all;
}

std::string domain_of(const host_id& host)
{
    return host.str().substr(0, host.str().size() - 1);
}

} // namespace

TEST_CASE("owners of a workspace's rate")
{
    const workspace_id workspace("planners");

    SECTION("every host reaches the same owners, in whatever order it learned of the hosts")
    {
        auto reversed = fleet();
        std::reverse(reversed.begin(), reversed.end());
        CHECK(share_owners(workspace, fleet(), 5) == share_owners(workspace, reversed, 5));

        SECTION("and other workspaces have others")
        {
            std::set<host_id> first;
            for (const char* name : {"a", "b", "c", "d", "e", "f"})
            {
                first.insert(share_owners(workspace_id(name), fleet(), 1).front());
            }
            CHECK(first.size() > 2);
        }
    }
    SECTION("failure domains take turns")
    {
        auto homes = share_owners(workspace, fleet(), 6);
        REQUIRE(homes.size() == 6);
        for (std::size_t begin : {0U, 3U})
        {
            std::set<std::string> domains;
            for (std::size_t n = begin; n < begin + 3; ++n)
            {
                domains.insert(domain_of(homes[n]));
            }
            CHECK(domains.size() == 3);
        }
    }
    SECTION("there are no more owners than hosts")
    {
        CHECK(share_owners(workspace, fleet(), 100).size() == 12);
    }
}

TEST_CASE("lenders for a request that lacks tokens")
{
    std::mt19937_64 random(7);

    SECTION("many hosts with the same old report do not all ask the same lender")
    {
        std::vector<lender_offer> offers;
        offers.reserve(10);
        for (int n = 0; n < 10; ++n)
        {
            // The first told a little more than the others.
            offers.push_back({.host = host_id("h" + std::to_string(n)),
                              .lendable = tokens(n == 0 ? 3000 : 2900)});
        }
        std::map<host_id, int> asked;
        for (int n = 0; n < 100; ++n)
        {
            auto asks = choose_lenders(offers, tokens(1500), 3, random);
            REQUIRE(asks.size() == 1);
            CHECK(asks[0].amount == tokens(1500));
            ++asked[asks[0].host];
        }
        for (const auto& [host, n] : asked)
        {
            CHECK(n < 30);
        }
    }
    SECTION("a lender of the own domain that has plenty goes first")
    {
        auto asks = choose_lenders(
            {{.host = host_id("far"), .lendable = tokens(50000)},
             {.host = host_id("near"), .lendable = tokens(5000), .same_domain = true}},
            tokens(1500), 3, random);
        REQUIRE(asks.size() == 1);
        CHECK(asks[0].host == host_id("near"));
    }
    SECTION("what one lacks is asked of the next, of no more than allowed")
    {
        auto asks = choose_lenders({{.host = host_id("a"), .lendable = tokens(400)},
                                    {.host = host_id("b"), .lendable = tokens(400)},
                                    {.host = host_id("c"), .lendable = tokens(400)},
                                    {.host = host_id("d"), .lendable = tokens(0)}},
                                   tokens(1000), 3, random);
        REQUIRE(asks.size() == 3);
        CHECK(asks[0].amount + asks[1].amount + asks[2].amount == tokens(1000));
        CHECK(choose_lenders({}, tokens(1000), 3, random).empty());
    }
}

TEST_CASE("loans that were not enough go back at once")
{
    const resource_id resource("planners");
    const instant now{10s};
    share_ledger lender({.loan_duration = 600ms, .loan_margin = 200ms, .surplus_horizon = 200ms});
    share_ledger borrower({.loan_duration = 600ms, .loan_margin = 200ms, .surplus_horizon = 200ms});
    for (auto* ledger : {&lender, &borrower})
    {
        ledger->confirm_until(share_layer::outage, instant::max());
    }
    share_size size{.rate = millitokens_per_second(0), .depth = tokens(1000)};
    lender.set_share(resource, {.confirmed = {}, .outage = size}, true, now);
    borrower.set_share(resource, {.confirmed = {}, .outage = {}}, true, now);
    host_incarnation lender_life{.host = host_id("lender"), .incarnation = incarnation_id(1)};

    auto ask = borrower.make_request(resource, tokens(1500), 1ms, now);
    borrower.accept_loan(lender_life, lender.lend(ask, tokens(0), now), now);
    REQUIRE_FALSE(borrower.acquire(resource, tokens(1500), now));
    REQUIRE(lender.available(resource, now) == tokens(0));

    SECTION("the lender has them again with the first report")
    {
        borrower.return_loans(resource, now);
        CHECK(borrower.available(resource, now) == tokens(0));
        auto reports = borrower.drain_reports(lender_life);
        REQUIRE(reports.size() == 1);
        lender.end_loan(reports[0], now);
        CHECK(lender.available(resource, now) == tokens(1000));
        CHECK(lender.depth(resource, now) == tokens(1000));

        SECTION("and a repeated report changes nothing")
        {
            lender.end_loan(reports[0], now);
            CHECK(lender.available(resource, now) == tokens(1000));
        }
    }
    SECTION("loans of another resource stay")
    {
        borrower.return_loans(resource_id("other"), now);
        CHECK(borrower.available(resource, now) == tokens(1000));
    }
}
