/// \file
/// Guards against hosts that disagree on the owners of a workspace's rate, against many hosts that
/// all borrow from the same lender, and against insufficient loans that stay with the borrower.

#include <set>

#include <catch2/catch.hpp>

#include "coordination/host_ranking.hpp"
#include "coordination/lender_choice.hpp"
#include "coordination/share_ledger.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

std::vector<ranked_host> fleet()
{
    std::vector<ranked_host> all;
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
    const std::string workspace("planners");

    SECTION("every host selects the same owners, whatever the order of its host list")
    {
        auto reversed = fleet();
        std::reverse(reversed.begin(), reversed.end());
        CHECK(first_in_ranking(workspace, fleet(), 5) == first_in_ranking(workspace, reversed, 5));

        SECTION("different workspaces have different owners")
        {
            std::set<host_id> first;
            for (const char* name : {"a", "b", "c", "d", "e", "f"})
            {
                first.insert(first_in_ranking(name, fleet(), 1).front());
            }
            CHECK(first.size() > 2);
        }
    }
    SECTION("owners alternate between failure domains")
    {
        auto owners = first_in_ranking(workspace, fleet(), 6);
        REQUIRE(owners.size() == 6);
        for (std::size_t begin : {0U, 3U})
        {
            std::set<std::string> domains;
            for (std::size_t n = begin; n < begin + 3; ++n)
            {
                domains.insert(domain_of(owners[n]));
            }
            CHECK(domains.size() == 3);
        }
    }
    SECTION("there are no more owners than hosts")
    {
        CHECK(first_in_ranking(workspace, fleet(), 100).size() == 12);
    }
}

TEST_CASE("lenders for a request that lacks tokens")
{
    std::mt19937_64 random(7);

    SECTION("many hosts with the same old report do not all choose the same lender")
    {
        std::vector<lender_offer> offers;
        offers.reserve(10);
        for (int n = 0; n < 10; ++n)
        {
            // The first lender reported slightly more than the others.
            offers.push_back({.host = host_id("h" + std::to_string(n)),
                              .lendable = tokens(n == 0 ? 3000 : 2900)});
        }
        std::map<host_id, int> request_counts;
        for (int n = 0; n < 100; ++n)
        {
            auto requests = choose_lenders(offers, tokens(1500), 3, random);
            REQUIRE(requests.size() == 1);
            CHECK(requests[0].amount == tokens(1500));
            ++request_counts[requests[0].host];
        }
        for (const auto& [host, n] : request_counts)
        {
            CHECK(n < 30);
        }
    }
    SECTION("a lender of the own domain with ample tokens comes first")
    {
        auto requests = choose_lenders(
            {{.host = host_id("far"), .lendable = tokens(50000)},
             {.host = host_id("near"), .lendable = tokens(5000), .same_domain = true}},
            tokens(1500), 3, random);
        REQUIRE(requests.size() == 1);
        CHECK(requests[0].host == host_id("near"));
    }
    SECTION("the missing amount is split over lenders, up to the allowed number")
    {
        auto requests = choose_lenders({{.host = host_id("a"), .lendable = tokens(400)},
                                        {.host = host_id("b"), .lendable = tokens(400)},
                                        {.host = host_id("c"), .lendable = tokens(400)},
                                        {.host = host_id("d"), .lendable = tokens(0)}},
                                       tokens(1000), 3, random);
        REQUIRE(requests.size() == 3);
        CHECK(requests[0].amount + requests[1].amount + requests[2].amount == tokens(1000));
        CHECK(choose_lenders({}, tokens(1000), 3, random).empty());
    }
}

TEST_CASE("insufficient loans are returned at once")
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
    host_incarnation lender_incarnation{.host = host_id("lender"),
                                        .incarnation = incarnation_id(1)};

    auto request = borrower.make_request(resource, tokens(1500), 1ms, now);
    borrower.accept_loan(lender_incarnation, lender.lend(request, tokens(0), now), now);
    REQUIRE_FALSE(borrower.acquire(resource, tokens(1500), now));
    REQUIRE(lender.available(resource, now) == tokens(0));

    SECTION("the first report makes the tokens available to the lender again")
    {
        borrower.return_loans(resource, now);
        CHECK(borrower.available(resource, now) == tokens(0));
        auto reports = borrower.drain_reports(lender_incarnation);
        REQUIRE(reports.size() == 1);
        lender.end_loan(reports[0], now);
        CHECK(lender.available(resource, now) == tokens(1000));
        CHECK(lender.depth(resource, now) == tokens(1000));

        SECTION("a repeated report changes nothing")
        {
            lender.end_loan(reports[0], now);
            CHECK(lender.available(resource, now) == tokens(1000));
        }
    }
    SECTION("loans of another resource are kept")
    {
        borrower.return_loans(resource_id("other"), now);
        CHECK(borrower.available(resource, now) == tokens(1000));
    }
}
