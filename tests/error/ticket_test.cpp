/// \file
/// Bad tickets are refused with a sentence that names the field and what is allowed.

#include <catch2/catch.hpp>

#include "coordination/ticket_acceptance.hpp"
#include "protocol/ticket_codec.hpp"
#include "state/errors.hpp"

using namespace banyanshunt;

namespace
{

std::string complaint(const std::string& text)
{
    auto it = decode_ticket(text);
    return it ? "accepted" : it.error().detail;
}

} // namespace

TEST_CASE("a malformed ticket is refused by its first wrong field")
{
    CHECK(complaint("{") == "not a JSON document");
    CHECK(complaint(R"({"format":2,"ticket":1})") ==
          "format: is 2, but must be a whole number from 1 to 1");
    CHECK(complaint(R"({"format":1,"ticket":0})") ==
          "ticket: is 0, but must be a whole number from 1 to 9223372036854775807");
    CHECK(complaint(R"({"format":1,"ticket":1,"modles":{}})") == "modles: is not a known field");
    CHECK(
        complaint(
            R"({"format":1,"ticket":1,"workspaces":{"w":{"tokens_per_second":-1,"burst_tokens":1}}})") ==
        "workspaces.w.tokens_per_second: is -1, but must be a whole number from 0 to "
        "1000000000000");
    CHECK(complaint(std::string(ticket_size_limit + 1, ' ')) ==
          "the ticket has 4194305 bytes, but at most 4194304 are allowed");
}

TEST_CASE("a ticket that does not fit the state before it is refused")
{
    fleet_state state;
    auto first = decode_ticket(R"({"format":1,"ticket":5})");
    state = accept_ticket(state, *first, log_offset(0))->state;

    SECTION("a number that was passed is out of order")
    {
        auto late =
            accept_ticket(state, *decode_ticket(R"({"format":1,"ticket":4})"), log_offset(1));
        REQUIRE_FALSE(late);
        CHECK(late.error().code == errc::ticket_out_of_order);
        CHECK(late.error().detail == "ticket: number 4 is not above the last accepted one, 5");
    }
    SECTION("the same ticket again is harmless")
    {
        auto again = accept_ticket(state, *first, log_offset(1));
        REQUIRE(again);
        CHECK(again->duplicate);
        CHECK(again->state.next_offset == log_offset(2));
        CHECK(again->state.accepted == state.accepted);
    }
    SECTION("another ticket with its number is refused, and the first holds")
    {
        auto other = decode_ticket(R"({"format":1,"ticket":5,"note":"other"})");
        auto lost = accept_ticket(state, *other, log_offset(1));
        REQUIRE_FALSE(lost);
        CHECK(lost.error().code == errc::ticket_out_of_order);
        CHECK(lost.error().detail == "ticket: number 5 was taken by another ticket, at offset 0");
    }
    SECTION("a reference to nothing is named")
    {
        auto dangling = decode_ticket(
            R"({"format":1,"ticket":6,"adapters":{"a":{"base":"m","memory_mib":1}}})");
        auto refused = accept_ticket(state, *dangling, log_offset(1));
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == errc::ticket_malformed);
        CHECK(refused.error().detail == "adapters.a.base: no model is named \"m\"");
    }
}
