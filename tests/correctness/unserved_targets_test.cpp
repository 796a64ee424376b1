// The count of models and adapters that are requested and never served.

#include <catch2/catch.hpp>

#include "coordination/unserved_targets.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;
using change = unserved_targets::change;

TEST_CASE("A target that is requested for seconds and never served counts as unserved")
{
    unserved_targets it(
        unserved_targets_options{.min_requests = 3, .min_span = 4000ms, .forget_after = 60000ms});
    model_target adapter{.model = model_id("m0"), .adapter = adapter_id("a1")};
    instant start{std::chrono::hours(1)};
    CHECK(it.record(adapter, false, start) == change::none);
    CHECK(it.record(adapter, false, start + 2s) == change::none);
    CHECK(it.count(start + 2s) == 0);
    CHECK(it.record(adapter, false, start + 5s) == change::became_unserved);
    CHECK(it.count(start + 5s) == 1);
    CHECK(it.requests(adapter) == 3);

    SECTION("it is reported once")
    {
        CHECK(it.record(adapter, false, start + 6s) == change::none);
        CHECK(it.count(start + 6s) == 1);
    }
    SECTION("until it is served")
    {
        CHECK(it.record(adapter, true, start + 6s) == change::served_again);
        CHECK(it.count(start + 6s) == 0);
        CHECK(it.record(adapter, true, start + 7s) == change::none);
    }
    SECTION("its model is another target")
    {
        CHECK(it.record({.model = model_id("m0"), .adapter = {}}, true, start + 6s) ==
              change::none);
        CHECK(it.count(start + 6s) == 1);
    }
    SECTION("it is forgotten when nobody requests it any more")
    {
        CHECK(it.count(start + 66s) == 0);
    }
}

TEST_CASE("Requests refused within a moment are a burst, not an unserved target")
{
    unserved_targets it(unserved_targets_options{});
    model_target model{.model = model_id("m0"), .adapter = {}};
    instant start{std::chrono::hours(1)};
    for (int n = 0; n < 20; ++n)
    {
        CHECK(it.record(model, false, start + n * 100ms) == change::none);
    }
    CHECK(it.count(start + 2s) == 0);
}
