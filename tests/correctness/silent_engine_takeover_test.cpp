// Two hosts and an engine that stands still while an order lies unread in its socket.

#include <catch2/catch.hpp>

#include "serve_case.hpp"
#include "stand_ins/loopback_proxy.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// Callers that ask for models which the engine does not hold, so that its owner always has an
/// order to give.
class model_callers
{
public:
    explicit model_callers(const serve_case& it)
    {
        for (std::size_t n = 0; n < 4; ++n)
        {
            threads_.emplace_back(
                [&it, n](const std::stop_token& stop)
                {
                    for (int k = 0; !stop.stop_requested(); ++k)
                    {
                        auto id = "c" + std::to_string(n) + "-" + std::to_string(k);
                        auto model = "m" + std::to_string((k + static_cast<int>(n)) % 12);
                        it.send("POST", "/guide/1", id, "good-key", model, n % it.hosts.size());
                        std::this_thread::sleep_for(20ms);
                    }
                });
        }
    }

private:
    std::vector<std::jthread> threads_;
};

/// The first order that follows one of another host within `lease`, or has a lower fencing number
/// than one before it; empty if there is none.
std::string first_conflict(const std::vector<received_order>& orders,
                           std::chrono::milliseconds lease)
{
    std::int64_t highest = 0;
    for (std::size_t n = 0; n < orders.size(); ++n)
    {
        const auto& order = orders[n];
        bool turn =
            n > 0 && orders[n - 1].holder != order.holder && order.at - orders[n - 1].at < lease;
        if (turn || order.fence < highest)
        {
            return order.holder + " with fence " + std::to_string(order.fence) + " after " +
                   orders[n - 1].holder + " with fence " + std::to_string(orders[n - 1].fence);
        }
        highest = order.fence;
    }
    return {};
}

std::set<std::string> holders_of(const std::vector<received_order>& orders)
{
    std::set<std::string> holders;
    for (const auto& it : orders)
    {
        holders.insert(it.holder);
    }
    return holders;
}

constexpr std::chrono::milliseconds lease{1000};

} // namespace

TEST_CASE("An order that lay unread in an engine's socket does not meet the next owner's (ONE)")
{
    serve_case it(
        2, store_path::direct,
        [](store_stand_in& store)
        { store.put("keyed.op", "config", serve_manifest(1, {"good-key"}, 12)); },
        4);
    REQUIRE(it.started);
    loopback_proxy link("127.0.0.1", it.engine1.port());
    it.engine1.announced_address = link.address();
    it.store.put("keyed.servers", "e1", it.engine1.registry_entry("models"));
    it.store.put("keyed.servers", "e2", it.engine2.registry_entry("models", true));
    auto orders = [&] { return it.engine1.received_orders(); };

    model_callers callers(it);
    REQUIRE(serve_case::eventually([&] { return orders().size() >= 3; }));

    auto owner = [&] { return it.hosts.at(orders().back().holder == "h1" ? 0 : 1).get(); };
    auto await_takeover = [&]
    {
        CHECK(serve_case::eventually([&] { return holders_of(orders()).size() == 2; }));
        std::this_thread::sleep_for(500ms);
    };

    SECTION("the engine stands still with the order in its socket")
    {
        auto* first_owner = owner();
        link.freeze_at("POST /api/order", 7000ms);
        REQUIRE(serve_case::eventually([&] { return link.has_frozen(); }));
        std::this_thread::sleep_for(1200ms);

        SECTION("its partition goes to the other host meanwhile")
        {
            it.store.group().rebalance();
        }
        SECTION("its owner stops meanwhile")
        {
            first_owner->request_stop();
        }
        await_takeover();
        CHECK(first_conflict(orders(), lease) == "");
    }
    SECTION("the order is held up on its way, and its owner stops")
    {
        auto* first_owner = owner();
        link.freeze_at("POST /api/order", 1ms);
        link.hold_requests("POST /api/order", 2800ms);
        REQUIRE(serve_case::eventually([&] { return link.has_frozen(); }));
        link.hold_requests("", 0ms);
        std::this_thread::sleep_for(1200ms);
        first_owner->request_stop();
        await_takeover();
        CHECK(first_conflict(orders(), lease) == "");
    }
}
