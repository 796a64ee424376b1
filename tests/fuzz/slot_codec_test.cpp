/// \file
/// Slot records: any bytes from the log are decoded or refused without a crash, and encoded records
/// are decoded unchanged.

#include <random>

#include <catch2/catch.hpp>

#include "protocol/slot_codec.hpp"

using namespace banyanshunt;

TEST_CASE("slot records are unchanged by encoding and decoding")
{
    std::mt19937_64 random(11);
    for (int round = 0; round < 500; ++round)
    {
        slot_record record{.server = server_id("s" + std::to_string(random() % 9)),
                           .fencing = fencing_number(1 + static_cast<int>(random() % 999)),
                           .sequence = 1 + static_cast<int>(random() % 999),
                           .slots = {}};
        for (std::uint64_t n = random() % 6; n > 0; --n)
        {
            record.slots.insert({.model = model_id("m" + std::to_string(random() % 50)),
                                 .index = static_cast<int>(random() % 4)});
        }
        auto read = decode_slot_record(encode_slot_record(record));
        REQUIRE(read);
        CHECK(read->server == record.server);
        CHECK(read->fencing == record.fencing);
        CHECK(read->sequence == record.sequence);
        CHECK(read->slots == record.slots);
    }
}

TEST_CASE("damaged slot records are refused or decoded without a crash")
{
    std::mt19937_64 random(12);
    slot_record record{.server = server_id("s1"),
                       .fencing = fencing_number(3),
                       .sequence = 4,
                       .slots = {{.model = model_id("guide"), .index = 0}}};
    const std::string intact = encode_slot_record(record);
    int refused = 0;
    for (int round = 0; round < 5000; ++round)
    {
        std::string text = intact;
        for (std::uint64_t n = 1 + random() % 4; n > 0; --n)
        {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        text.resize(random() % 3 == 0 ? random() % text.size() : text.size());
        refused += decode_slot_record(text) ? 0 : 1;
    }
    CHECK(refused > 4000);
}
