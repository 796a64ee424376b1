// Two hosts and an engine that stalls while an order lies unread in its socket, or carries one out
// late.

#include <functional>
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

/// The first pair of orders that breaks the platform's rule; empty if there is none.
std::string first_conflict(const std::vector<received_order>& orders,
                           std::chrono::milliseconds lease)
{
    for (auto dating : {order_dating::arrival, order_dating::effect})
    {
        auto judged =
            judge_orders(orders, dating, lease, [](const received_order&) { return false; });
        if (!judged.breaches.empty())
        {
            return describe(judged.breaches.front(), orders, dating, orders.front().at);
        }
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
    explicit takeover_case(
        std::chrono::milliseconds order_delay = 0ms,
        const std::function<void(host_settings&)>& adjust = [](host_settings&) {})
        : it{2, store_path::direct,
             [](store_stand_in& store)
             { store.put("keyed.op", "config", serve_manifest(1, {"good-key"}, 12)); },
             4,
             [order_delay, adjust](host_settings& settings)
             {
                 settings.bounds.order_delay = order_delay;
                 adjust(settings);
             }}
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
    /// The store refuses all calls of a host to the group and to the log.
    void refuse_calls_of(std::size_t host)
    {
        it.store.set_call_faults(
            [name = "h" + std::to_string(host + 1)](const std::string&, const std::string& body)
            { return call_fault{.refused_with = body.find(name) == std::string::npos ? 0 : 503}; });
    }
    /// Waits until the next order lies unread in the socket of the engine, and its owner has given
    /// it up.
    void await_unread_order(std::chrono::milliseconds length)
    {
        link.freeze_at("POST /api/order", length);
        REQUIRE(serve_case::eventually([&] { return link.has_frozen(); }));
        std::this_thread::sleep_for(1200ms);
    }
    /// Waits for an order that gets no response and is carried out after this time.
    void await_late_order(std::chrono::milliseconds delay)
    {
        it.engine1.min_order_delay_ms = static_cast<int>(delay.count());
        it.engine1.max_order_delay_ms = static_cast<int>(delay.count());
        it.engine1.late_order_percent = 100;
        REQUIRE(serve_case::eventually([&] { return orders().back().is_late; }));
        it.engine1.late_order_percent = 0;
        std::this_thread::sleep_for(1200ms);
    }
    /// Waits for orders of both hosts, and returns the first conflict.
    std::string conflict_after_takeover() const
    {
        CHECK(serve_case::eventually([&] { return holders_of(orders()).size() == 2; }));
        std::this_thread::sleep_for(500ms);
        return first_conflict(orders(), lease);
    }

    serve_case it;
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

TEST_CASE("An order that an engine carries out late does not follow the next owner's (ONE)")
{
    constexpr auto order_delay = 5000ms;
    takeover_case fleet(order_delay);
    const std::size_t first_owner = fleet.owner();
    const std::size_t late = fleet.orders().size();
    fleet.await_late_order(order_delay);

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
    SECTION("its owner has no more access to the store")
    {
        fleet.refuse_calls_of(first_owner);
        CHECK(fleet.conflict_after_takeover() == no_conflict);
    }
    SECTION("its owner loses the partition and gets it back")
    {
        fleet.it.store.group().rebalance();
        std::this_thread::sleep_for(800ms);
        fleet.it.store.group().rebalance();
        const auto before = fleet.orders().size();
        CHECK(serve_case::eventually([&] { return fleet.orders().size() > before + 2; }));
        CHECK(first_conflict(fleet.orders(), lease) == no_conflict);
    }
    CHECK(
        serve_case::eventually([&] { return fleet.orders().at(late).carried_out_at.has_value(); }));
    CHECK(first_conflict(fleet.orders(), lease) == no_conflict);
}

TEST_CASE("An owner after the log went back orders under a higher number (ONE)")
{
    takeover_case fleet;
    const std::size_t first_owner = fleet.owner();
    fleet.it.store.begin_anew("shunt-duties");

    SECTION("its partition goes to the other host")
    {
        fleet.it.store.group().rebalance();
        CHECK(fleet.conflict_after_takeover() == no_conflict);
    }
    SECTION("its owner stops")
    {
        fleet.stop(first_owner);
        CHECK(fleet.conflict_after_takeover() == no_conflict);
    }
    SECTION("its owner has no more access to the store")
    {
        fleet.refuse_calls_of(first_owner);
        CHECK(fleet.conflict_after_takeover() == no_conflict);
    }
}

TEST_CASE("Two machines under one name are two holders (ONE)")
{
    takeover_case fleet(0ms, [](host_settings& settings) { settings.name = host_id("h1"); });
    auto order_on = [&]
    {
        const auto before = fleet.orders().size();
        std::this_thread::sleep_for(6 * lease);
        CHECK(fleet.orders().size() > before);
        CHECK(first_conflict(fleet.orders(), lease) == no_conflict);
    };

    SECTION("both are members of the group")
    {
        order_on();
    }
    SECTION("the partitions move from one to the other")
    {
        fleet.it.store.group().rebalance();
        order_on();
    }
}
