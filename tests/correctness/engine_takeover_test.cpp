// Whether the orders of two hosts to one engine stay a lease apart, whatever happens to the hosts,
// the group and calls to the log in between.

#include <vector>

#include <catch2/catch.hpp>

#include "coordination/assignment_record.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr order_terms terms{.lease = 3000ms, .membership = 2700ms, .transit = 450ms};

machine_id machine_of(const host_id& host)
{
    return machine_id("machine-of-" + host.str());
}

assignment_record complete_record(const host_id& host)
{
    return {.holder = host,
            .takeover_complete = true,
            .fence = fencing_number(1),
            .machine = machine_of(host)};
}

/// The log of one assignment, with the store's conditional appends.
class assignment_log
{
public:
    /// A claim that is carried out at once, and what it entitles its host to.
    takeover claim(const host_id& host, instant now)
    {
        records_.push_back(to_text({.holder = host}));
        auto before = records_.size() > 1 ? parse_assignment_record(records_[records_.size() - 2])
                                          : std::nullopt;
        return take_over({.own = {.host = host, .machine = machine_of(host)},
                          .at = log_offset(static_cast<std::int64_t>(records_.size()) - 1),
                          .before = before,
                          .sent_at = now,
                          .read_at = now},
                         terms);
    }

    std::size_t end() const { return records_.size(); }

    /// Appends if the log ends at `at`; returns whether it did.
    bool append_at(std::size_t at, const assignment_record& record)
    {
        if (at != records_.size())
        {
            return false;
        }
        records_.push_back(to_text(record));
        return true;
    }

private:
    std::vector<std::string> records_;
};

assignment_record release_record(const host_id& host, const takeover& held, instant now)
{
    return {.holder = host,
            .released_for = release_delay(held.last_order_at, held.may_order_at, terms.lease, now)};
}

} // namespace

TEST_CASE("the orders of two hosts to one engine are a lease apart")
{
    const host_id first_host("front-1");
    const host_id second_host("front-2");
    const instant start{std::chrono::hours(1)};
    assignment_log log;

    auto held = log.claim(first_host, start);
    REQUIRE(held.may_order_at == start);
    REQUIRE(log.append_at(log.end(), complete_record(first_host)));

    SECTION("its owner is killed right after an order, restarts and claims it again")
    {
        const instant last_order = start + 10s;
        const instant restart = last_order + 900ms;
        auto again = log.claim(first_host, restart);

        SECTION("it is the same machine and may order at once, under the number that it had")
        {
            CHECK(again.may_order_at == restart);
            CHECK(again.resumed_fence == fencing_number(1));
        }
        SECTION("it is stopped before it has given another order")
        {
            const instant stop = restart + 800ms;
            REQUIRE(log.append_at(log.end(), release_record(first_host, again, stop)));
            auto next = log.claim(second_host, stop + 400ms);
            CHECK(next.may_order_at >= last_order + terms.lease);
        }
        SECTION("an order of the killed process is still in transit at the claim")
        {
            const instant arrival = restart + terms.transit;
            REQUIRE(log.append_at(log.end(), release_record(first_host, again, restart)));
            auto next = log.claim(second_host, restart);
            CHECK(next.may_order_at >= arrival + terms.lease);
        }
        SECTION("it is stopped much later without another order: the next owner need not wait")
        {
            const instant stop = restart + 5s;
            REQUIRE(log.append_at(log.end(), release_record(first_host, again, stop)));
            CHECK(log.claim(second_host, stop).may_order_at == stop);
        }
    }

    SECTION("the store is silent beyond the membership, and the owner returns")
    {
        const instant last_order = start + 10s;
        const instant back = last_order + 500ms;
        auto again = log.claim(first_host, back);
        REQUIRE(log.append_at(log.end(), release_record(first_host, again, back + 100ms)));
        auto next = log.claim(second_host, back + 100ms);
        CHECK(next.may_order_at >= last_order + terms.lease);
    }

    SECTION("the group reassigns it right after it renewed an owner that is then cut off")
    {
        const instant renewal = start + 10s;
        // The owner has not heard of the reassignment and trusts its membership to the end.
        const instant last_order = renewal + terms.membership;
        auto next = log.claim(second_host, renewal);
        CHECK(next.may_order_at >= last_order + terms.transit + terms.lease);
    }

    SECTION("a claim gets no response but was carried out: the second claim waits in full")
    {
        const instant claimed = start + 10s;
        log.claim(second_host, claimed);
        auto next = log.claim(second_host, claimed + 1s);
        CHECK(next.may_order_at == claimed + 1s + takeover_expiry(terms));
    }

    SECTION("calls that got no response are carried out late")
    {
        const instant released = start + 10s;
        const std::size_t end = log.end();
        const auto late_release = release_record(first_host, held, released);

        SECTION("a release, after the next owner's claim: it is rejected and changes nothing")
        {
            log.claim(second_host, released);
            CHECK_FALSE(log.append_at(end, late_release));
            auto next = log.claim(host_id("front-3"), released + 1s);
            CHECK(next.may_order_at == released + 1s + takeover_expiry(terms));
        }
        SECTION("the record of a completed takeover, after another host's claim")
        {
            log.claim(second_host, released);
            CHECK_FALSE(log.append_at(end, complete_record(first_host)));
            auto again = log.claim(first_host, released + 1s);
            CHECK(again.may_order_at == released + 1s + takeover_expiry(terms));
        }
        SECTION("a claim, after the assignment went to another host that completed its takeover")
        {
            log.claim(second_host, released);
            REQUIRE(log.append_at(log.end(), complete_record(second_host)));
            log.claim(first_host, released);
            auto again = log.claim(second_host, released + 6s);
            CHECK(again.may_order_at == released + 6s + takeover_expiry(terms));
        }
    }

    SECTION("engines are asked whether they respond only if an order may be unread")
    {
        const instant claimed = start + 10s;

        SECTION("another host owned it: after its last order can have been sent")
        {
            auto next = log.claim(second_host, claimed);
            CHECK(next.from_other_host);
            CHECK(next.ask_engines_after == claimed + terms.membership + terms.transit);
        }
        SECTION("its owner claims it again: after the claim")
        {
            auto again = log.claim(first_host, claimed);
            CHECK_FALSE(again.from_other_host);
            CHECK(again.ask_engines_after == claimed);
        }
        SECTION("the previous owner released it, as every order had a response: never")
        {
            REQUIRE(log.append_at(log.end(), release_record(first_host, held, claimed)));
            CHECK_FALSE(log.claim(second_host, claimed).ask_engines_after);
        }
    }

    SECTION("another machine with the owner's place but its own name waits in full")
    {
        const instant claimed = start + 10s;
        auto next = log.claim(host_id("front-1b"), claimed);
        CHECK(next.may_order_at == claimed + takeover_expiry(terms));
    }
}
