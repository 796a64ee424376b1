// Two hosts and an engine that stalls while an order lies unread in its socket.

#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

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

const std::string no_conflict;
constexpr std::chrono::milliseconds lease{1000};

} // namespace

namespace
{

/// Two hosts and one engine behind a link, whose owner always has an order to give.
struct takeover_case
{
    takeover_case()
    {
        REQUIRE(it.started);
        it.engine1.announced_address = link.address();
        announce();
        it.store.put("keyed.servers", "e2", it.engine2.registry_entry("models", true));
        callers = std::make_unique<model_callers>(it);
        REQUIRE(serve_case::eventually([&] { return orders().size() >= 3; }));
    }

    std::vector<received_order> orders() const { return it.engine1.received_orders(); }
    void announce() { it.store.put("keyed.servers", "e1", it.engine1.registry_entry("models")); }
    void remove_entry() { it.store.put("keyed.servers", "e1", ""); }
    /// The number of the host that gave the last order.
    std::size_t owner() const { return orders().back().holder == "h1" ? 0 : 1; }
    void stop(std::size_t host) { it.hosts.at(host)->request_stop(); }
    /// Waits until the next order lies unread in the socket of the engine, and its owner has given
    /// it up.
    void await_unread_order(std::chrono::milliseconds length)
    {
        link.freeze_at("POST /api/order", length);
        REQUIRE(serve_case::eventually([&] { return link.has_frozen(); }));
        std::this_thread::sleep_for(1200ms);
    }
    /// Waits for orders of both hosts, and returns the first conflict.
    std::string conflict_after_takeover() const
    {
        CHECK(serve_case::eventually([&] { return holders_of(orders()).size() == 2; }));
        std::this_thread::sleep_for(500ms);
        return first_conflict(orders(), lease);
    }

    serve_case it{2, store_path::direct,
                  [](store_stand_in& store)
                  { store.put("keyed.op", "config", serve_manifest(1, {"good-key"}, 12)); },
                  4};
    loopback_proxy link{"127.0.0.1", it.engine1.port()};
    std::unique_ptr<model_callers> callers;
};

} // namespace

TEST_CASE("An order that lay unread in an engine's socket does not meet the next owner's (ONE)")
{
    takeover_case fleet;
    const std::size_t first_owner = fleet.owner();
    fleet.await_unread_order(7000ms);

    SECTION("its partition goes to the other host meanwhile")
    {
        fleet.it.store.group().rebalance();
        CHECK(fleet.conflict_after_takeover() == no_conflict);
    }
    SECTION("its owner stops meanwhile")
    {
        fleet.stop(first_owner);
        CHECK(fleet.conflict_after_takeover() == no_conflict);
    }
}

TEST_CASE(
    "A stalled engine that leaves the registry gets no orders of two hosts within a lease (ONE)")
{
    takeover_case fleet;
    const std::size_t first_owner = fleet.owner();
    fleet.await_unread_order(7000ms);

    SECTION("its partition goes to the other host before its entry is gone")
    {
        fleet.it.store.group().rebalance();
        std::this_thread::sleep_for(1000ms);
        fleet.remove_entry();
        std::this_thread::sleep_for(3700ms);
    }
    SECTION("its owner stops after its entry is gone")
    {
        fleet.remove_entry();
        std::this_thread::sleep_for(1000ms);
        fleet.stop(first_owner);
        std::this_thread::sleep_for(3700ms);
    }
    fleet.announce();
    CHECK(fleet.conflict_after_takeover() == no_conflict);
}

TEST_CASE("An order that was held up on its way does not meet the next owner's (ONE)")
{
    takeover_case fleet;
    const std::size_t first_owner = fleet.owner();
    auto hold_next_order = [&](std::chrono::milliseconds length)
    {
        fleet.link.freeze_at("POST /api/order", 1ms);
        fleet.link.hold_requests("POST /api/order", length);
        REQUIRE(serve_case::eventually([&] { return fleet.link.has_frozen(); }));
        fleet.link.hold_requests("", 0ms);
    };

    SECTION("its owner stops right after it")
    {
        hold_next_order(2800ms);
        std::this_thread::sleep_for(1200ms);
        fleet.stop(first_owner);
        CHECK(fleet.conflict_after_takeover() == no_conflict);
    }
    SECTION("its owner stops when the engine has responded to another call")
    {
        hold_next_order(3600ms);
        std::this_thread::sleep_for(2000ms);
        fleet.stop(first_owner);
        CHECK(fleet.conflict_after_takeover() == no_conflict);
    }
}
