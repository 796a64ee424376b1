/// \file
/// Invalid tickets are refused with an error that names the field and what is allowed.

#include <catch2/catch.hpp>

#include "coordination/ticket_acceptance.hpp"
#include "protocol/ticket_codec.hpp"
#include "state/errors.hpp"

using namespace banyanshunt;

namespace
{

std::string decode_error(const std::string& text)
{
    auto it = decode_ticket(text);
    return it ? "accepted" : it.error().detail;
}

} // namespace

TEST_CASE("a malformed ticket is refused with an error about its first invalid field")
{
    CHECK(decode_error("{") == "not a JSON document");
    CHECK(decode_error(R"({"format":2,"ticket":1})") ==
          "format: is 2, but must be a whole number from 1 to 1");
    CHECK(decode_error(R"({"format":1,"ticket":0})") ==
          "ticket: is 0, but must be a whole number from 1 to 9223372036854775807");
    CHECK(decode_error(R"({"format":1,"ticket":1,"modles":{}})") == "modles: is not a known field");
    CHECK(
        decode_error(
            R"({"format":1,"ticket":1,"workspaces":{"w":{"tokens_per_second":-1,"burst_tokens":1}}})") ==
        "workspaces.w.tokens_per_second: is -1, but must be a whole number from 0 to "
        "1000000000000");
    CHECK(decode_error(std::string(ticket_size_limit + 1, ' ')) ==
          "the ticket has 4194305 bytes, but at most 4194304 are allowed");
}

TEST_CASE("a ticket that conflicts with the state before it is refused")
{
    fleet_state state;
    auto first = decode_ticket(R"({"format":1,"ticket":5})");
    state = accept_ticket(state, *first, log_offset(0))->state;

    SECTION("a number below the last accepted one is out of order")
    {
        auto outdated =
            accept_ticket(state, *decode_ticket(R"({"format":1,"ticket":4})"), log_offset(1));
        REQUIRE_FALSE(outdated);
        CHECK(outdated.error().code == errc::ticket_out_of_order);
        CHECK(outdated.error().detail == "ticket: number 4 is not above the last accepted one, 5");
    }
    SECTION("a duplicate of an accepted ticket is harmless")
    {
        auto again = accept_ticket(state, *first, log_offset(1));
        REQUIRE(again);
        CHECK(again->duplicate);
        CHECK(again->state.next_offset == log_offset(2));
        CHECK(again->state.accepted == state.accepted);
    }
    SECTION("a different ticket with the same number is refused, and the first stays valid")
    {
        auto other = decode_ticket(R"({"format":1,"ticket":5,"note":"other"})");
        auto conflict = accept_ticket(state, *other, log_offset(1));
        REQUIRE_FALSE(conflict);
        CHECK(conflict.error().code == errc::ticket_out_of_order);
        CHECK(conflict.error().detail ==
              "ticket: number 5 was taken by another ticket, at offset 0");
    }
    SECTION("a reference to a missing object is named")
    {
        auto dangling = decode_ticket(
            R"({"format":1,"ticket":6,"adapters":{"a":{"base":"m","memory_mib":1}}})");
        auto refused = accept_ticket(state, *dangling, log_offset(1));
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == errc::ticket_malformed);
        CHECK(refused.error().detail == "adapters.a.base: no model is named \"m\"");
    }
}
