/// \file
/// Guards against all hosts together granting more than a workspace's rate and burst, under random
/// schedules of lost messages, pauses, crashes and changed limits. Planted faults show that the
/// checker detects a violation.

#include <catch2/catch.hpp>

#include "stand_ins/share_fleet.hpp"

using namespace banyanshunt;

namespace
{

const resource_id clinics("clinics");
const resource_id showroom("showroom");

share_size size_of(std::int64_t rate, std::int64_t depth)
{
    return {.rate = millitokens_per_second(tokens(rate).count()), .depth = tokens(depth)};
}

// All times are about a tenth of those in production, so that leases expire and move in a short
// run.
share_fleet_options short_lease_fleet(std::uint64_t seed)
{
    share_fleet_options it;
    it.seed = seed;
    it.hosts_in_domain = {1, 2, 3};
    it.limits = {{clinics, size_of(1000, 500)}, {showroom, size_of(300, 2000)}};
    it.tick = milliseconds(5);
    it.cross_domain_delay = milliseconds(5);
    it.jitter = milliseconds(30);
    it.lost_permille = 50;
    it.duplicated_permille = 50;
    it.clock_drift = 90;
    it.host.ledger = {.loan_duration = milliseconds(200),
                      .loan_margin = milliseconds(20),
                      .surplus_horizon = milliseconds(100)};
    it.host.lease = {.lease = milliseconds(500),
                     .outage = milliseconds(2500),
                     .loan_wait = milliseconds(220),
                     .evict_after = milliseconds(700),
                     .refresh = milliseconds(2000)};
    it.host.heartbeat = milliseconds(50);
    it.host.handover = milliseconds(50);
    it.host.peers.failure_backoff = milliseconds(100);
    return it;
}

// Random demand that starts and stops on every host, with refunds. Idle phases fill the buckets, so
// that the grants right after them show any excess tokens.
class random_load
{
public:
    random_load(share_fleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

    void step()
    {
        idle_steps_ = std::max(idle_steps_ - 1, 0);
        for (std::size_t n = 0; n < fleet_.hosts(); ++n)
        {
            constexpr int phase_steps = 40;
            if (random_() % phase_steps == 0)
            {
                busy_[n] = random_() % 3 == 0;
            }
            if (random_() % (phase_steps * 8) == 0)
            {
                busy_.clear();
                idle_steps_ = phase_steps;
            }
            if (!fleet_.running(n) || !busy_[n] || idle_steps_ > 0)
            {
                continue;
            }
            const auto& resource = random_() % 2 == 0 ? clinics : showroom;
            millitokens amount = tokens(static_cast<std::int64_t>(1 + random_() % 40));
            if (random_() % 4 == 0)
            {
                fleet_.wait(n, resource, amount, milliseconds(300));
            }
            else if (fleet_.acquire(n, resource, amount) && random_() % 4 == 0)
            {
                fleet_.release(n, resource, millitokens(amount.count() / 2));
            }
        }
    }

private:
    share_fleet& fleet_;
    std::mt19937_64 random_;
    std::map<std::size_t, bool> busy_;
    int idle_steps_ = 0;
};

// Injects one random fault or change into the fleet.
class random_faults
{
public:
    random_faults(share_fleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

    void step()
    {
        constexpr int steps_per_fault = 120;
        if (random_() % steps_per_fault != 0)
        {
            return;
        }
        std::size_t n = random_() % fleet_.hosts();
        std::size_t other = random_() % fleet_.hosts();
        switch (random_() % 8)
        {
        case 0:
            fleet_.kill(n);
            break;
        case 1:
        case 2:
            fleet_.start(n);
            break;
        case 3:
            fleet_.pause(n, milliseconds(random_() % 2000));
            break;
        case 4:
            if (n != other)
            {
                fleet_.set_link_cut(n, other, random_() % 2 == 0);
            }
            break;
        case 5:
            fleet_.set_log_cut(n, random_() % 3 == 0);
            break;
        case 6:
            if (fleet_.running(n) && random_() % 2 == 0)
            {
                fleet_.leave(n);
            }
            break;
        default:
            fleet_.set_limits({{clinics, random_size()}, {showroom, random_size()}});
        }
    }

private:
    share_size random_size()
    {
        return size_of(static_cast<std::int64_t>(100 + random_() % 1000),
                       static_cast<std::int64_t>(100 + random_() % 2000));
    }

    share_fleet& fleet_;
    std::mt19937_64 random_;
};

// Runs a schedule and returns whether the bound held; adds the number of grants to `granted`.
bool bound_holds(const share_fleet_options& options, std::int64_t& granted)
{
    share_fleet fleet(options);
    random_load load(fleet, options.seed + 1);
    random_faults faults(fleet, options.seed + 2);
    constexpr int steps = 3000;
    for (int n = 0; n < steps; ++n)
    {
        faults.step();
        load.step();
        fleet.step();
    }
    granted += static_cast<std::int64_t>(fleet.grants().size());
    return fleet.bound_held();
}

void acquire_all(share_fleet& fleet, std::size_t n)
{
    while (fleet.acquire(n, clinics, tokens(1)))
    {
    }
}

// One of two hosts of a domain is paused until the other owns its share. Then both spend all
// tokens.
bool bound_holds_after_pause(bool clock_stops)
{
    auto options = short_lease_fleet(1);
    options.hosts_in_domain = {2};
    options.lost_permille = 0;
    options.clock_stops_in_pause = clock_stops;
    share_fleet fleet(options);
    fleet.run(seconds(4));
    fleet.pause(0, seconds(8));
    fleet.run(seconds(8) - milliseconds(100));
    REQUIRE(fleet.host(1).membership().divisor(share_layer::outage) == 1);
    acquire_all(fleet, 1);
    while (!fleet.running(0))
    {
        fleet.step();
    }
    acquire_all(fleet, 0);
    return fleet.bound_held();
}

// A host collects loans for a large request, which takes some time. Then the others spend all
// tokens.
bool bound_holds_with_loans_kept(milliseconds loan_margin)
{
    auto options = short_lease_fleet(1);
    options.hosts_in_domain = {3};
    options.lost_permille = 0;
    options.duplicated_permille = 0;
    options.host.ledger.loan_duration = milliseconds(1000);
    options.host.ledger.loan_margin = loan_margin;
    share_fleet fleet(options);
    fleet.run(seconds(4));
    fleet.set_link_cut(1, 2, true);
    fleet.run(milliseconds(300));
    fleet.on_outcome(
        [&fleet](std::size_t, const share_outcome&)
        {
            acquire_all(fleet, 0);
            acquire_all(fleet, 2);
        });
    fleet.wait(1, clinics, tokens(450), milliseconds(900));
    fleet.run(milliseconds(900));
    return fleet.bound_held();
}

} // namespace

TEST_CASE("no schedule of faults lets all hosts together grant more than rate and burst")
{
    std::int64_t granted = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        INFO("seed " << seed);
        CHECK(bound_holds(short_lease_fleet(seed), granted));
    }
    // Without enough grants the bound would hold trivially.
    CHECK(granted > 300 * 400);
}

TEST_CASE("the bound checker detects violations")
{
    SECTION("a host whose clock stops while it is paused")
    {
        CHECK(bound_holds_after_pause(false));
        CHECK_FALSE(bound_holds_after_pause(true));
    }
    SECTION("a lender that treats a loan as ended before its borrower does")
    {
        CHECK(bound_holds_with_loans_kept(milliseconds(20)));
        CHECK_FALSE(bound_holds_with_loans_kept(milliseconds(-990)));
    }
    SECTION("an excess grant in a short window")
    {
        test_clock clock;
        grant_checker checker(size_of(100, 50), clock.now());
        checker.record(tokens(50), clock.now());
        CHECK_FALSE(checker.exceeded());
        clock.advance(milliseconds(100));
        checker.record(tokens(10), clock.now());
        CHECK_FALSE(checker.exceeded());
        checker.record(tokens(1), clock.now());
        CHECK(checker.exceeded());
    }
}
