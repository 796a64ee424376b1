// The rule on orders to one engine, as tests, the soak and shunt-timeline apply it.

#include <catch2/catch.hpp>

#include "tools/order_rule.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

TEST_CASE("Two hosts with one fencing number break the rule however far apart (ONE)")
{
    const std::chrono::steady_clock::time_point begun{};
    constexpr std::chrono::milliseconds lease{3000};
    auto order = [&](std::chrono::seconds at, const std::string& holder, std::int64_t fence)
    { return received_order{.at = begun + at, .holder = holder, .fence = fence, .status = 202}; };
    auto kinds = [&](const std::vector<received_order>& orders)
    {
        std::vector<order_breach_kind> found;
        auto judged = judge_orders(orders, order_dating::arrival, lease,
                                   [](const received_order&) { return false; });
        for (const auto& it : judged.breaches)
        {
            found.push_back(it.kind);
        }
        return found;
    };

    SECTION("one host goes on under its number")
    {
        CHECK(kinds({order(0s, "h1", 4), order(90s, "h1", 4)}).empty());
    }
    SECTION("another host has the highest number, 90 s later")
    {
        CHECK(kinds({order(0s, "h1", 4), order(90s, "h2", 4)}) ==
              std::vector{order_breach_kind::shared_fence});
    }
    SECTION("another host has an earlier number than the highest one")
    {
        CHECK(kinds({order(0s, "h1", 4), order(30s, "h2", 6), order(90s, "h3", 4)}) ==
              std::vector{order_breach_kind::lower_fence, order_breach_kind::shared_fence});
    }
}
