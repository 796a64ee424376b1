#include "soak/odd_records.hpp"

#include <array>
#include <iterator>
#include <span>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace banyanshunt::soak
{

namespace
{

using nlohmann::json;

/// Far more than a parser that recurses has stack for.
constexpr std::size_t max_depth = 150'000;
/// No record that the platform allows is nested so deep.
constexpr std::size_t min_depth = 1'000;
constexpr std::size_t random_bytes = 200;
/// The longest key that the log's framing can state.
constexpr std::size_t max_key_size = 255;
constexpr int small_odd_keys = 40;

/// A field and the text of a value that it may not have; an empty text stands for a deep nesting.
struct odd_field
{
    const char* name;
    const char* value;
};

constexpr odd_field entry_fields[] = {
    {"at_hand", ""},
    {"models", ""},
    {"unknown", ""},
    {"at_hand", "7"},
    {"models", R"([{"name":["a"]}])"},
    {"slots", "4294967297"},
    {"slots", "9223372036854775808"},
    {"slots", "-3"},
    {"slots", "1e300"},
    {"born", "18446744073709551615"},
    {"born", "1e300"},
    {"sequence", "1e300"},
    {"sequence", "18446744073709551615"},
    {"cold_remaining_ms", "1e300"},
    {"cold_remaining_ms", "-1e300"},
    {"address", R"("127.0.0.1:99999")"},
    {"address", R"("127.0.0.1:0")"},
    {"address", R"("127.0.0.1:")"},
    {"address", R"("127.0.0.300:80")"},
    {"address", R"("127.1:8")"},
    {"address", R"("127.0.0.1:80:90")"},
    {"address", R"(".:")"},
    {"service", "null"},
    {"zone", "[]"},
};

constexpr odd_field configuration_fields[] = {
    {"routes", ""},
    {"services", ""},
    {"tenants", ""},
    {"routes", "null"},
    {"routes", R"([{"name":7}])"},
    {"services", R"("desk")"},
    {"tenants", R"([{"name":"clinics","api_keys":"key-1","rate_per_s":"many"}])"},
    {"version", "1e300"},
    {"version", "18446744073709551616"},
    {"version", R"("next")"},
};

std::size_t draw(std::mt19937_64& random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

odd_record with_field(std::mt19937_64& random, const std::string& good, const odd_field& field)
{
    std::string value = field.value;
    std::string description = fmt::format("{} is {}", field.name, value);
    if (value.empty())
    {
        auto depth =
            draw(random, 2) == 0 ? max_depth : min_depth + draw(random, max_depth - min_depth);
        value = std::string(depth, '[') + std::string(depth, ']');
        description = fmt::format("{} is nested {} deep", field.name, depth);
    }
    auto from = json::parse(good);
    from.erase(field.name);
    auto text = from.dump();
    text.pop_back();
    return {.description = std::move(description),
            .value = fmt::format(R"({},"{}":{}}})", text, field.name, value)};
}

odd_record no_object(std::mt19937_64& random, const std::string& good)
{
    constexpr const char* texts[] = {"null", "[]", "{}", "\"", "7", "{\"a\":", "\xff\xfe"};
    auto kind = draw(random, std::size(texts) + 2);
    if (kind == std::size(texts))
    {
        return {.description = "the text is truncated",
                .value = good.substr(0, 1 + draw(random, good.size() - 1))};
    }
    if (kind > std::size(texts))
    {
        std::string bytes(random_bytes, ' ');
        for (auto& it : bytes)
        {
            it = static_cast<char>(random());
        }
        return {.description = "the value is random bytes", .value = std::move(bytes)};
    }
    return {.description = fmt::format("the value is no table, number {}", kind),
            .value = texts[kind]};
}

odd_record make_odd(std::mt19937_64& random, const std::string& good,
                    std::span<const odd_field> fields)
{
    return draw(random, 5) == 0 ? no_object(random, good)
                                : with_field(random, good, fields[draw(random, fields.size())]);
}

} // namespace

odd_record make_odd_entry(std::mt19937_64& random, const std::string& good)
{
    return make_odd(random, good, entry_fields);
}

odd_record make_odd_configuration(std::mt19937_64& random, const std::string& good)
{
    return make_odd(random, good, configuration_fields);
}

std::string make_odd_key(std::mt19937_64& random)
{
    const std::array<std::string, 6> keys = {
        "", std::string(max_key_size, 'k'), "../servers", "\x01\x02\n", "\xc3\xa9", "odd key/1"};
    return draw(random, 3) == 0 ? keys[draw(random, keys.size())]
                                : fmt::format("odd-{}", draw(random, small_odd_keys));
}

} // namespace banyanshunt::soak
