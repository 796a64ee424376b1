// What a host holds for callers: bodies, and open connections.

#include <catch2/catch.hpp>

#include "coordination/connection_limit.hpp"
#include "coordination/memory_budget.hpp"

using namespace banyanshunt;

// Guards against hosts that are killed because bodies outgrow their memory, and against one
// workspace that leaves no memory to the others.
TEST_CASE("bodies are held within the budget of a host")
{
    auto budget = std::make_shared<memory_budget>(1000);
    const workspace_id loud("loud");
    const workspace_id quiet("quiet");

    SECTION("what does not fit is refused, and fits again once others have ended")
    {
        memory_reservation first(budget, loud);
        memory_reservation second(budget, quiet);
        CHECK(first.grow_to(700));
        CHECK_FALSE(second.grow_to(400));
        CHECK(budget->is_short());
        CHECK(budget->take_new_shortage());
        CHECK_FALSE(budget->take_new_shortage());
        CHECK_FALSE(budget->end_shortage());
        first = memory_reservation();
        CHECK(second.grow_to(400));
        CHECK(budget->held() == 400);
        CHECK(budget->end_shortage());
        CHECK_FALSE(budget->end_shortage());
    }
    SECTION("one workspace takes all of it only while nobody else asks")
    {
        memory_reservation first(budget, loud);
        memory_reservation second(budget, loud);
        CHECK(first.grow_to(500));
        CHECK(second.grow_to(450));
        memory_reservation other(budget, quiet);
        CHECK_FALSE(other.grow_to(100));
        second = memory_reservation();
        memory_reservation third(budget, loud);
        CHECK_FALSE(third.grow_to(300));
        CHECK(other.grow_to(100));
    }
    SECTION("callers without a known key share a small part")
    {
        memory_reservation sound(budget, loud);
        REQUIRE(sound.grow_to(10));
        memory_reservation unknown(budget, workspace_id());
        CHECK(unknown.grow_to(200));
        CHECK_FALSE(unknown.grow_to(300));
    }
    SECTION("one workspace does not take all of it beside another")
    {
        memory_reservation other(budget, quiet);
        REQUIRE(other.grow_to(10));
        memory_reservation first(budget, loud);
        memory_reservation second(budget, loud);
        CHECK(first.grow_to(700));
        CHECK_FALSE(second.grow_to(100));
        memory_reservation third(budget, quiet);
        CHECK(third.grow_to(100));
    }
    SECTION("a request that is alone is held whatever its size")
    {
        memory_reservation only(budget, loud);
        CHECK(only.grow_to(600));
        CHECK(only.grow_to(2000));
        memory_reservation second(budget, quiet);
        CHECK_FALSE(second.grow_to(1));
    }
    SECTION("what was moved is released once")
    {
        {
            memory_reservation first(budget, loud);
            REQUIRE(first.grow_to(500));
            memory_reservation taken_over = std::move(first);
            CHECK(budget->held() == 500);
        }
        CHECK(budget->held() == 0);
    }
}

// Guards against hosts without a descriptor left for ordinary callers.
TEST_CASE("connections whose caller is awaited make room for new ones")
{
    connection_limit limit(3);
    auto first = limit.add();
    auto second = limit.add();
    auto third = limit.add();
    CHECK_FALSE(limit.excess());

    SECTION("the one that is awaited longest goes first")
    {
        limit.begin_request(first);
        limit.add();
        CHECK(limit.excess() == second);
        limit.remove(second);
        CHECK_FALSE(limit.excess());
        limit.end_request(first);
        limit.add();
        CHECK(limit.excess() == third);
    }
    SECTION("one with a request in progress stays")
    {
        limit.begin_request(first);
        limit.begin_request(second);
        limit.begin_request(third);
        auto fourth = limit.add();
        CHECK(limit.excess() == fourth);
        limit.begin_request(fourth);
        CHECK_FALSE(limit.excess());
        CHECK(limit.open() == 4);
    }
}
