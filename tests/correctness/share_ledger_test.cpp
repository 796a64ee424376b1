/// \file
/// Guards against a ledger that grants or lends tokens that its host does not own: from a share
/// that is not confirmed, from the depth of an outstanding loan, or from an expired or repeated
/// loan.

#include <catch2/catch.hpp>

#include "coordination/share_ledger.hpp"

using namespace banyanshunt;

namespace
{

const resource_id clinics("clinics");
const host_incarnation south{.host = host_id("s1"), .incarnation = incarnation_id(7)};

layered<share_size> share_of(std::int64_t rate, std::int64_t depth, bool permits = false)
{
    share_size half{.rate = millitokens_per_second(tokens(rate).count() / 2),
                    .depth = millitokens(tokens(depth).count() / 2),
                    .permits = permits};
    return {.confirmed = half, .outage = half};
}

struct one_host
{
    test_clock clock;
    share_ledger ledger{share_ledger_options()};

    one_host()
    {
        confirm(seconds(1000));
        ledger.set_share(clinics, share_of(100, 400), false, clock.now());
    }

    void confirm(nanoseconds length)
    {
        for (auto layer : all_layers)
        {
            ledger.confirm_until(layer, clock.now() + length);
        }
    }

    bool acquire(std::int64_t n) { return ledger.acquire(clinics, tokens(n), clock.now()); }
    std::int64_t available()
    {
        return ledger.available(clinics, clock.now()).count() / millitokens_per_token;
    }
    token_loan lend(std::int64_t n)
    {
        token_request request{.number = share_number(1),
                              .resource = clinics,
                              .amount = tokens(n),
                              .waited = milliseconds(1)};
        return ledger.lend(request, tokens(0), clock.now());
    }
};

} // namespace

TEST_CASE("a share starts empty and refills at its rate up to its depth")
{
    one_host host;
    CHECK_FALSE(host.acquire(1));
    host.clock.advance(seconds(2));
    CHECK(host.available() == 200);
    host.clock.advance(seconds(60));
    CHECK(host.available() == 400);

    SECTION("unused tokens are released up to the depth, and the excess is returned")
    {
        REQUIRE(host.acquire(300));
        host.clock.advance(seconds(2));
        CHECK(host.ledger.release(clinics, tokens(250), host.clock.now()) == tokens(150));
        CHECK(host.available() == 400);
    }
    SECTION("an increased share starts empty and a reduction takes effect at once")
    {
        host.ledger.set_share(clinics, share_of(100, 800), false, host.clock.now());
        CHECK(host.available() == 400);
        host.ledger.set_share(clinics, share_of(100, 200), false, host.clock.now());
        CHECK(host.available() == 200);
    }
    SECTION("after the confirmed time nothing is granted, lent or refilled")
    {
        REQUIRE(host.acquire(400));
        host.confirm(seconds(1));
        host.clock.advance(seconds(3));
        CHECK(host.available() == 0);
        CHECK(host.lend(10).amount == tokens(0));

        SECTION("a new log read without a change of owners adds the refill of the gap")
        {
            host.confirm(seconds(10));
            CHECK(host.available() == 300);
        }
        SECTION("a change of owners discards the refill of the gap")
        {
            for (auto layer : all_layers)
            {
                host.ledger.discard_unconfirmed(layer, host.clock.now());
            }
            host.confirm(seconds(10));
            CHECK(host.available() == 100);
        }
    }
}

TEST_CASE("the first share of a resource starts full if no other host can have spent from it")
{
    one_host host;
    host.ledger.set_share(resource_id("schools"), share_of(100, 400), true, host.clock.now());
    auto schools = [&]
    {
        return host.ledger.available(resource_id("schools"), host.clock.now()).count() /
               millitokens_per_token;
    };
    CHECK(schools() == 400);

    SECTION("a later increase starts empty")
    {
        host.ledger.set_share(resource_id("schools"), share_of(100, 800), true, host.clock.now());
        CHECK(schools() == 400);
    }
    SECTION("a workspace that is withdrawn and created again starts empty")
    {
        host.ledger.forget(resource_id("schools"), host.clock.now());
        host.ledger.set_share(resource_id("schools"), share_of(100, 400), true, host.clock.now());
        CHECK(schools() == 0);
    }
}

TEST_CASE("a loan is debited before the response and lowers the lender's depth until it ends")
{
    one_host host;
    host.clock.advance(seconds(60));
    token_loan loan = host.lend(300);
    REQUIRE(loan.amount == tokens(300));
    CHECK(host.available() == 100);
    host.clock.advance(seconds(1));
    CHECK(host.available() == 100);

    SECTION("a report that it is spent restores the depth, which only refills over time")
    {
        host.ledger.end_loan({.loan = loan.loan, .returned = {}}, host.clock.now());
        CHECK(host.available() == 100);
        host.clock.advance(seconds(1));
        CHECK(host.available() == 200);

        SECTION("a repeated report changes nothing")
        {
            host.ledger.end_loan({.loan = loan.loan, .returned = tokens(300)}, host.clock.now());
            CHECK(host.available() == 200);
        }
    }
    SECTION("returned tokens are available at once")
    {
        host.ledger.end_loan({.loan = loan.loan, .returned = tokens(200)}, host.clock.now());
        CHECK(host.available() == 300);
    }
    SECTION("without a report the loan ends after its duration and margin")
    {
        host.clock.advance(seconds(1));
        CHECK(host.available() == 100);
        host.clock.advance(seconds(1));
        CHECK(host.available() == 150);
    }
    SECTION("a reduction below the loan is complete only when the loan has ended")
    {
        host.ledger.set_share(clinics, share_of(100, 200), false, host.clock.now());
        CHECK_FALSE(host.ledger.cut_is_complete(host.clock.now()));
        host.ledger.end_loan({.loan = loan.loan, .returned = {}}, host.clock.now());
        CHECK(host.ledger.cut_is_complete(host.clock.now()));
    }
}

TEST_CASE("a borrower spends a loan once and within its duration")
{
    one_host host;
    token_request request =
        host.ledger.make_request(clinics, tokens(50), milliseconds(1), host.clock.now());
    token_loan loan{.request = request.number,
                    .loan = share_number(9),
                    .resource = clinics,
                    .amount = tokens(50),
                    .remaining = {}};

    SECTION("a repeated response counts once")
    {
        host.ledger.accept_loan(south, loan, host.clock.now());
        host.ledger.accept_loan(south, loan, host.clock.now());
        CHECK(host.available() == 50);
        REQUIRE(host.acquire(50));
        auto reports = host.ledger.drain_reports(south);
        REQUIRE(reports.size() == 1);
        CHECK(reports[0].returned == tokens(0));
        CHECK(host.ledger.drain_reports(south).empty());
    }
    SECTION("its duration counts from the request, not from the response")
    {
        host.clock.advance(milliseconds(1900));
        host.ledger.accept_loan(south, loan, host.clock.now());
        CHECK(host.available() == 240);
        host.clock.advance(milliseconds(100));
        CHECK(host.available() == 200);
    }
    SECTION("an overdue response is discarded")
    {
        host.clock.advance(seconds(2));
        host.ledger.accept_loan(south, loan, host.clock.now());
        CHECK(host.available() == 200);
    }
}

TEST_CASE("permits are held and released, never lent, and a reduction waits for those in use")
{
    one_host host;
    share_ledger& ledger = host.ledger;
    instant now = host.clock.now();
    const resource_id loads("loads_at_once");
    ledger.set_share(loads, share_of(0, 4, true), false, now);
    REQUIRE(ledger.acquire(loads, tokens(4), now));
    CHECK_FALSE(ledger.acquire(loads, tokens(1), now));
    ledger.set_share(loads, share_of(0, 2, true), false, now);
    CHECK_FALSE(ledger.cut_is_complete(now));
    CHECK(ledger.release(loads, tokens(2), now) == tokens(0));
    CHECK(ledger.cut_is_complete(now));
    CHECK_FALSE(ledger.acquire(loads, tokens(1), now));
    ledger.release(loads, tokens(1), now);
    CHECK(ledger.acquire(loads, tokens(1), now));
    ledger.release(loads, tokens(1), now);
    token_request request{.number = share_number(1),
                          .resource = loads,
                          .amount = tokens(1),
                          .waited = milliseconds(1)};
    CHECK(ledger.lend(request, tokens(0), now).amount == tokens(0));
}
