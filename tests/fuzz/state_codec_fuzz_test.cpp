/// \file
/// Chunks of a state that are truncated, modified, duplicated or mixed up are refused or decoded
/// completely, and never crash the process.

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

TEST_CASE("a randomly modified chunk is refused or decoded completely")
{
    std::mt19937_64 random(1);
    auto state = state_with(20);
    auto chunks = encode_delta(changes_since(state, log_offset(0)));
    REQUIRE(chunks.size() == 1);
    for (int i = 0; i < 2000; ++i)
    {
        std::string text = chunks.front();
        for (auto n = random() % 4; n > 0; --n)
        {
            text[random() % text.size()] = static_cast<char>(random());
        }
        text.resize(text.size() - random() % 3 * (random() % text.size()) / 2);
        delta_assembler assembler;
        auto added = assembler.add(text);
        CHECK((!added || assembler.complete()));
        (void)json_snapshot_codec().decode({text});
        (void)json_snapshot_codec().decode_entry(text);
        (void)decode_status(text);
    }
}

TEST_CASE("chunks in a wrong order are refused")
{
    auto state = state_with(9000);
    auto chunks = encode_delta(changes_since(state, log_offset(0)));
    REQUIRE(chunks.size() > 2);
    SECTION("a missing chunk")
    {
        delta_assembler assembler;
        REQUIRE(assembler.add(chunks[0]));
        CHECK_FALSE(assembler.add(chunks[2]));
        CHECK_FALSE(assembler.complete());
    }
    SECTION("a duplicated chunk")
    {
        delta_assembler assembler;
        REQUIRE(assembler.add(chunks[0]));
        CHECK_FALSE(assembler.add(chunks[0]));
    }
    SECTION("a chunk of another state")
    {
        auto other = state;
        other.next_offset += log_offset(1);
        delta_assembler assembler;
        REQUIRE(assembler.add(chunks[0]));
        CHECK_FALSE(assembler.add(encode_delta(changes_since(other, log_offset(0)))[1]));
    }
    SECTION("all chunks in order give the state")
    {
        delta_assembler assembler;
        for (const auto& chunk : chunks)
        {
            REQUIRE(assembler.add(chunk));
        }
        REQUIRE(assembler.complete());
        CHECK(same_state(assembler.delta().entries, state));
    }
}
