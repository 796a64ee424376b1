/// \file
/// Parts of a state that were cut, changed, repeated or crossed are refused or read back whole, and
/// never end the process.

#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "coordination/state_follower.hpp"
#include "protocol/admin_codec.hpp"
#include "protocol/snapshot_codec.hpp"
#include "protocol/state_codec.hpp"
#include "protocol/ticket_codec.hpp"

using namespace banyanshunt;

namespace
{

fleet_state state_with(int models)
{
    std::string text = R"({"format":1,"ticket":1,"models":{)";
    for (int i = 0; i < models; ++i)
    {
        text += fmt::format(R"({}"m{}":{{"version":"v","memory_mib":1,"replicas":1}})",
                            i ? "," : "", i);
    }
    log_record record{.offset = log_offset(0), .id = record_id("t"), .data = text + "}}"};
    return apply_record(fleet_state(), record, decode_ticket).first;
}

} // namespace

TEST_CASE("bytes that were changed at random never pass for a part unnoticed by its reader")
{
    std::mt19937_64 random(1);
    auto state = state_with(20);
    auto parts = encode_delta(changes_since(state, log_offset(0)));
    REQUIRE(parts.size() == 1);
    for (int i = 0; i < 2000; ++i)
    {
        std::string text = parts.front();
        for (auto n = random() % 4; n > 0; --n)
        {
            text[random() % text.size()] = static_cast<char>(random());
        }
        text.resize(text.size() - random() % 3 * (random() % text.size()) / 2);
        delta_assembler joiner;
        auto added = joiner.add(text);
        CHECK((!added || joiner.complete()));
        (void)json_snapshot_codec().decode({text});
        (void)json_snapshot_codec().decode_entry(text);
        (void)decode_status(text);
    }
}

TEST_CASE("parts in any wrong order are refused")
{
    auto state = state_with(9000);
    auto parts = encode_delta(changes_since(state, log_offset(0)));
    REQUIRE(parts.size() > 2);
    SECTION("a part left out")
    {
        delta_assembler joiner;
        REQUIRE(joiner.add(parts[0]));
        CHECK_FALSE(joiner.add(parts[2]));
        CHECK_FALSE(joiner.complete());
    }
    SECTION("a part twice")
    {
        delta_assembler joiner;
        REQUIRE(joiner.add(parts[0]));
        CHECK_FALSE(joiner.add(parts[0]));
    }
    SECTION("a part of another state")
    {
        auto other = state;
        other.next_offset += log_offset(1);
        delta_assembler joiner;
        REQUIRE(joiner.add(parts[0]));
        CHECK_FALSE(joiner.add(encode_delta(changes_since(other, log_offset(0)))[1]));
    }
    SECTION("all in order are the state itself")
    {
        delta_assembler joiner;
        for (const auto& part : parts)
        {
            REQUIRE(joiner.add(part));
        }
        REQUIRE(joiner.complete());
        CHECK(same_state(joiner.delta().entries, state));
    }
}
