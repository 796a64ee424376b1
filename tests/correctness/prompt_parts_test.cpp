// The parts of prompts as callers state them, and bans of parts as records of the store.

#include <catch2/catch.hpp>

#include "platform/headers.hpp"
#include "platform/store.hpp"

using namespace banyanshunt;

namespace
{

std::vector<std::int64_t> shared_parts(const std::vector<std::string>& values)
{
    platform::caller_fields fields;
    for (const auto& value : values)
    {
        platform::read_caller_field("X-Prompt-Prefix", value, fields);
    }
    std::vector<std::int64_t> parts;
    for (auto part : fields.shared_parts)
    {
        parts.push_back(part.count());
    }
    return parts;
}

using parts = std::vector<std::int64_t>;

} // namespace

TEST_CASE("The shared parts of a prompt are all but the last")
{
    CHECK(shared_parts({"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}) ==
          parts{0x5c1e07a2, 0x91bd3f06});
    CHECK(shared_parts({"5c1e07a2:800"}).empty());
    CHECK(shared_parts({""}).empty());

    SECTION("also with spaces, without tokens, and in a field that comes twice")
    {
        CHECK(shared_parts({"a:1, b:2 ,c"}) == parts{0xa, 0xb});
        CHECK(shared_parts({"a:1,b:2", "c:3,d:4"}) == parts{0xa, 0xb, 0xc});
    }
    SECTION("each once, and no empty one")
    {
        CHECK(shared_parts({"a:1,a:1,A:1,,b:2,c:3"}) == parts{0xa, 0xb});
    }
    SECTION("a name that is no number of 16 digits is told apart from others")
    {
        auto found = shared_parts({"x1:1,x2:1,10000000000000001:1,c:3"});
        REQUIRE(found.size() == 3);
        CHECK(found[0] != found[1]);
    }
    SECTION("at most so many")
    {
        std::string text;
        for (std::size_t n = 1; n < 4 * platform::max_shared_parts; ++n)
        {
            text += std::to_string(n) + ":1,";
        }
        CHECK(shared_parts({text + "f:1"}).size() == platform::max_shared_parts);
    }
}

TEST_CASE("A ban of a part is read back from its record")
{
    platform::ban_record ban{.part = prompt_part(-2),
                             .unix_ms = 1796400000000,
                             .with = {prompt_part(-2), prompt_part(0x5a)}};
    auto record = platform::to_record(ban);
    CHECK(record.key == "fffffffffffffffe");
    auto read = platform::parse_ban(record);
    REQUIRE(read);
    CHECK(read->part == ban.part);
    CHECK(read->unix_ms == ban.unix_ms);
    CHECK(read->with == ban.with);

    SECTION("one that is none, or was dropped, says nothing")
    {
        CHECK_FALSE(platform::parse_ban({.key = record.key, .value = std::nullopt}));
        CHECK_FALSE(platform::parse_ban({.key = "part", .value = record.value}));
        for (const char* value :
             {"", "1", "[]", "{}", R"({"unix_ms":-1,"with":[]})", R"({"unix_ms":1e300,"with":[]})",
              R"({"unix_ms":1,"with":{}})", R"({"unix_ms":9999999999999999,"with":[]})"})
        {
            INFO(value);
            CHECK_FALSE(platform::parse_ban({.key = record.key, .value = value}));
        }
        CHECK_FALSE(platform::parse_ban({.key = record.key, .value = std::string(200000, '[')}));
    }
}
