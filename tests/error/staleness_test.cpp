/// \file
/// Requests of a workspace with a staleness limit are refused once the state has been unconfirmed
/// for longer than the limit.

#include <catch2/catch.hpp>

#include "coordination/staleness.hpp"
#include "coordination/state_follower.hpp"
#include "protocol/ticket_codec.hpp"
#include "state/errors.hpp"

using namespace banyanshunt;

TEST_CASE("a workspace's staleness limit")
{
    log_record record{.offset = log_offset(0), .id = record_id("t"), .data = R"({
        "format": 1, "ticket": 1,
        "workspaces": {
            "strict": {"tokens_per_second": 1, "burst_tokens": 1, "refuse_when_stale_s": 60},
            "serving": {"tokens_per_second": 1, "burst_tokens": 1}
        }
    })"};
    auto state = apply_record(fleet_state(), record, decode_ticket).first;
    const workspace_id strict("strict");
    const workspace_id serving("serving");

    SECTION("serves up to the limit, and refuses beyond it")
    {
        CHECK_FALSE(refuse_if_stale(state, strict, milliseconds(60000)));
        auto refused = refuse_if_stale(state, strict, milliseconds(60001));
        REQUIRE(refused);
        CHECK(refused->code == errc::state_unavailable);
        CHECK(refused->run == run_state::not_run);
        CHECK(refused->retry_after);
    }
    SECTION("refuses when the state was never confirmed")
    {
        CHECK(refuse_if_stale(state, strict, std::nullopt));
    }
    SECTION("serves indefinitely without a limit")
    {
        CHECK_FALSE(refuse_if_stale(state, serving, std::nullopt));
    }
}
