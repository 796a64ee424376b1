// Claims and releases of engines behind a log that returned with an older copy of itself.

#include <algorithm>
#include <atomic>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include "coordination/assignment_record.hpp"
#include "coordination/order_history.hpp"
#include "coordination/rendezvous.hpp"
#include "peers.pb.h"
#include "serve/peer_message_check.hpp"
#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const std::string no_conflict;
constexpr std::chrono::milliseconds test_lease{1000};
const std::string append_path = "/api/log-append";

std::vector<std::string> records(const serve_case& it, int partition = 0)
{
    return it.store.values("shunt-duties/" + std::to_string(partition));
}

void put_record(store_stand_in& store, const std::string& record, int partition = 0)
{
    store.put("shunt-duties/" + std::to_string(partition), "", record);
}

/// Whether the last record says that a host has completed its takeover.
bool is_complete(const std::vector<std::string>& records, const std::string& host)
{
    auto last = records.empty() ? std::nullopt : parse_assignment_record(records.back());
    return last && last->takeover_complete && last->holder == host_id(host);
}

bool contains(const std::vector<std::string>& records, const std::string& record)
{
    return std::find(records.begin(), records.end(), record) != records.end();
}

std::int64_t number_at(std::int64_t position, const std::string& machine)
{
    return make_fencing_number(claim_position(position), machine_number_of(machine)).count();
}

/// The offset of the claim that has a number; of one whose number was not raised.
std::int64_t claim_offset(std::int64_t number)
{
    return position_of(fencing_number(number)).count() - 1;
}

/// The record of a host, h9 at 10.9.9.9, that completed its takeover under a number at `position`.
std::string complete_record(std::int64_t position)
{
    auto number = std::to_string(number_at(position, "10.9.9.9"));
    return "h9 begun " + number + " 10.9.9.9 number " + number;
}

/// The other engine takes no models any more, so that all loads are ordered from the first one.
void leave_one_engine(serve_case& it)
{
    it.store.put("keyed.servers", "e2", it.engine2.registry_entry("models", true));
}

/// Hosts and one engine whose owner always has an order to give.
struct busy_fleet
{
    explicit busy_fleet(
        std::size_t host_count, const std::function<void(store_stand_in&)>& prepare = {},
        std::function<void(host_settings&)> adjust = [](host_settings&) {})
        : it{host_count, store_path::direct,
             [&](store_stand_in& store)
             {
                 store.put("keyed.op", "config", serve_manifest(1, {"good-key"}, 12));
                 if (prepare)
                 {
                     prepare(store);
                 }
             },
             host_count > 1 ? 4 : 1, std::move(adjust)},
          partition(static_cast<int>(rendezvous_weight("partition", "e1") %
                                     static_cast<std::uint64_t>(it.partitions)))
    {
        REQUIRE(it.started);
        leave_one_engine(it);
        start_callers("c");
        REQUIRE(serve_case::eventually([&] { return !orders().empty(); }));
    }

    void start_callers(const std::string& name)
    {
        for (std::size_t n = 0; n < 4; ++n)
        {
            callers.emplace_back(
                [this, n, name](const std::stop_token& stop)
                {
                    for (int k = 0; !stop.stop_requested(); ++k)
                    {
                        auto id = name + std::to_string(n) + "-" + std::to_string(k);
                        auto model = "m" + std::to_string((k + static_cast<int>(n)) % 12);
                        it.send("POST", "/guide/1", id, "good-key", model, n % it.hosts.size());
                        std::this_thread::sleep_for(20ms);
                    }
                });
        }
    }
    /// Ends a host, lets the store lose records while it is away, and starts it again.
    void restart(const std::string& host, const std::function<void()>& lose_records)
    {
        callers.clear();
        auto n = static_cast<std::size_t>(host.at(1) - '1');
        it.hosts.at(n)->request_stop();
        REQUIRE(serve_case::eventually([&] { return it.hosts.at(n)->exit_code >= 0; }));
        lose_records();
        REQUIRE(it.restart_host(n));
        start_callers("r");
    }

    std::vector<received_order> orders() const { return it.engine1.received_orders(); }
    /// Waits until a host orders after the orders that there are now.
    bool awaits_order_of(const std::string& host) const
    {
        const auto before = orders().size();
        return serve_case::eventually(
            [&]
            {
                auto now = orders();
                return std::any_of(now.begin() + static_cast<std::ptrdiff_t>(before), now.end(),
                                   [&](const auto& order) { return order.holder == host; });
            });
    }
    /// Waits until a host has claimed the partition behind the records that there are now.
    bool awaits_claim_of(const std::string& host, std::size_t before) const
    {
        return serve_case::eventually(
            [&]
            {
                auto now = log();
                return std::any_of(now.begin() + static_cast<std::ptrdiff_t>(before), now.end(),
                                   [&](const auto& text)
                                   {
                                       auto record = parse_assignment_record(text);
                                       return record && record->holder == host_id(host) &&
                                              !record->released_for;
                                   });
            });
    }
    std::vector<std::string> log() const { return records(it, partition); }
    /// The group assigns the engine's partition to a host at once.
    void assign_to(const std::string& host)
    {
        const auto& ip = it.hosts.at(static_cast<std::size_t>(host.at(1) - '1'))->ip;
        it.store.group().move(partition, host + "@" + ip);
    }
    /// The log of the engine's partition loses all records behind these.
    void lose_records_behind(const std::vector<std::string>& kept)
    {
        std::vector<std::vector<std::string>> logs;
        logs.reserve(static_cast<std::size_t>(it.partitions));
        for (int n = 0; n < it.partitions; ++n)
        {
            logs.push_back(n == partition ? kept : records(it, n));
        }
        it.store.begin_anew("shunt-duties");
        for (int n = 0; n < it.partitions; ++n)
        {
            for (const auto& record : logs.at(static_cast<std::size_t>(n)))
            {
                put_record(it.store, record, n);
            }
        }
    }
    /// The store refuses the calls of hosts to the group and to the log that have one of these
    /// texts.
    void refuse_calls_with(const std::vector<std::string>& texts)
    {
        it.store.set_call_faults(
            [texts](const std::string&, const std::string& body)
            {
                bool refuses = std::any_of(texts.begin(), texts.end(),
                                           [&](const auto& text)
                                           { return body.find(text) != std::string::npos; });
                return call_fault{.refused_with = refuses ? 503 : 0};
            });
    }
    std::string first_conflict(std::chrono::milliseconds lease = test_lease) const
    {
        auto all = orders();
        auto judged = judge_orders(all, order_dating::arrival, lease,
                                   [](const received_order&) { return false; });
        std::string text;
        for (const auto& record : log())
        {
            text += record + "; ";
        }
        UNSCOPED_INFO("breaches " << judged.breaches.size() << ", records " << text);
        return judged.breaches.empty()
                   ? ""
                   : describe(judged.breaches.front(), all, order_dating::arrival, all.front().at);
    }

    serve_case it;
    /// The partition of the engine.
    int partition;
    std::vector<std::jthread> callers;
};

/// Tells the first host that another one owns its engine under a number.
void announce_owner(const serve_case& it, std::int64_t number)
{
    constexpr int peer_port = 17600;
    peers::peer_message message;
    message.set_host("h9");
    message.set_domain("north");
    message.set_life(7);
    auto& owner = *message.add_pending_owners();
    owner.set_server("e1");
    owner.set_fence(number);
    auto bytes = message.SerializeAsString();
    boost::asio::io_context loop;
    boost::asio::ip::udp::socket peer(loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
    peer.send_to(boost::asio::buffer(bytes),
                 {boost::asio::ip::make_address_v4(it.hosts.front()->ip), peer_port});
}

std::string other(const std::string& host)
{
    return host == "h1" ? "h2" : "h1";
}

/// The first order whose number is not that of a claim of its host in a log that lost nothing.
std::string first_foreign_number(const busy_fleet& fleet)
{
    const auto log = fleet.log();
    for (const auto& order : fleet.orders())
    {
        auto at = static_cast<std::size_t>(claim_offset(order.fence));
        auto record = at < log.size() ? parse_assignment_record(log[at]) : std::nullopt;
        if (!record || record->holder != host_id(order.holder))
        {
            return order.holder + " with " + std::to_string(order.fence);
        }
    }
    return "";
}

} // namespace

TEST_CASE("A release of an unused claim does not let a host go on before the log went back (ONE)")
{
    busy_fleet fleet(2);
    const std::string first = fleet.orders().back().holder;
    const std::string second = other(first);
    REQUIRE(serve_case::eventually([&] { return is_complete(fleet.log(), first); }));
    const auto kept = fleet.log();
    fleet.assign_to(second);
    REQUIRE(fleet.awaits_order_of(second));
    REQUIRE(serve_case::eventually([&] { return is_complete(fleet.log(), second); }));
    REQUIRE(fleet.awaits_order_of(second));

    // The store refuses the release of the second owner.
    fleet.refuse_calls_with({second + " released"});
    fleet.lose_records_behind(kept);
    for (const auto& host : {first, second, first})
    {
        const auto before = fleet.log().size();
        fleet.assign_to(host);
        REQUIRE(fleet.awaits_claim_of(host, before));
        fleet.it.store.set_call_faults(nullptr);
        std::this_thread::sleep_for(400ms);
    }
    CHECK(fleet.awaits_order_of(first));
    std::this_thread::sleep_for(500ms);
    CHECK(fleet.first_conflict() == no_conflict);
}

TEST_CASE("A claim is above a number that the log states, whatever lies between (ONE)")
{
    const std::string stated = complete_record(21);
    std::atomic<int> refused = 0;
    std::int64_t highest = number_at(21, "10.9.9.9");
    std::function<void(store_stand_in&)> prepare;

    SECTION("a host has claimed the partition, and did not get to state its number")
    {
        prepare = [&](store_stand_in& store)
        {
            put_record(store, stated);
            put_record(store, "h8");
        };
    }
    SECTION("the store refuses the first statement of this host")
    {
        prepare = [&](store_stand_in& store)
        {
            put_record(store, stated);
            store.set_call_faults(
                [&](const std::string& path, const std::string& body)
                {
                    bool states =
                        path == append_path && body.find("h1 number ") != std::string::npos;
                    bool refuses = states && refused++ == 0;
                    return call_fault{.refused_with = refuses ? 503 : 0};
                });
        };
    }
    SECTION("a late release of the owner before follows the statement")
    {
        highest = number_at(22, "10.9.9.8");
        prepare = [&](store_stand_in& store)
        {
            put_record(store, stated);
            put_record(store, "h8");
            put_record(store, "h8 number " + std::to_string(highest));
            put_record(store, "h9 released 100 after 0 number " +
                                  std::to_string(number_at(21, "10.9.9.9")));
        };
    }
    busy_fleet fleet(1, prepare);
    CHECK(fleet.orders().front().fence > highest);
}

TEST_CASE("A host that has just started is above the owners that the log forgot (ONE)")
{
    busy_fleet fleet(2);
    const std::string first = fleet.orders().back().holder;
    const std::string second = other(first);
    REQUIRE(serve_case::eventually([&] { return is_complete(fleet.log(), first); }));
    const auto kept = fleet.log();
    fleet.assign_to(second);
    REQUIRE(fleet.awaits_order_of(second));
    // The first host goes on as one that owns nothing.
    fleet.refuse_calls_with({first});

    SECTION("the log begins anew")
    {
        fleet.restart(second, [&] { fleet.lose_records_behind({}); });
    }
    SECTION("the log returns as it was before the last owner")
    {
        fleet.restart(second, [&] { fleet.lose_records_behind(kept); });
    }
    CHECK(fleet.awaits_order_of(second));
    CHECK(fleet.first_conflict() == no_conflict);
}

TEST_CASE("A claim behind records that cannot be read is above the number that they state (ONE)")
{
    std::atomic<int> refused = 0;
    busy_fleet fleet(1,
                     [&](store_stand_in& store)
                     {
                         put_record(store, complete_record(21));
                         store.set_call_faults(
                             [&](const std::string& path, const std::string&)
                             {
                                 bool refuses = path == "/api/log-read" && refused++ < 6;
                                 return call_fault{.refused_with = refuses ? 503 : 0};
                             });
                     });
    CHECK(refused > 0);
    CHECK(fleet.orders().front().fence > number_at(21, "10.9.9.9"));
}

TEST_CASE("A release sent to the hosts does not count for a claim after the log went back (ONE)")
{
    static constexpr std::chrono::milliseconds lease{2000};
    busy_fleet fleet(3, {},
                     [](host_settings& settings)
                     {
                         settings.bounds.lease = lease;
                         // Each domain has two members, so that all three hosts are.
                         settings.domain =
                             domain_id(settings.name == host_id("h3") ? "south" : "north");
                     });
    const std::string first = fleet.orders().back().holder;
    REQUIRE(serve_case::eventually([&] { return is_complete(fleet.log(), first); }));
    const auto kept = fleet.log();
    // Its membership lapses, so that it sends a release to the other hosts.
    fleet.refuse_calls_with({first});
    REQUIRE(serve_case::eventually([&] { return fleet.orders().back().holder != first; }));
    const std::string second = fleet.orders().back().holder;
    const std::string third = first != "h1" && second != "h1"   ? "h1"
                              : first != "h2" && second != "h2" ? "h2"
                                                                : "h3";
    REQUIRE(fleet.awaits_order_of(second));
    REQUIRE(fleet.first_conflict(lease) == no_conflict);

    // The second owner has no access to the store either, and its membership still lasts.
    fleet.refuse_calls_with({first, second});
    fleet.lose_records_behind(kept);
    fleet.assign_to(third);
    CHECK(fleet.awaits_order_of(third));
    std::this_thread::sleep_for(500ms);
    CHECK(fleet.first_conflict(lease) == no_conflict);
}

TEST_CASE("A message with a number that has no successor does not lower later ones (ONE)")
{
    constexpr auto last = std::numeric_limits<std::int64_t>::max();
    SECTION("the message is not applied")
    {
        peers::peer_message message;
        message.set_host("front-1");
        message.set_domain("north");
        auto& owner = *message.add_pending_owners();
        owner.set_server("engine-1");
        owner.set_fence(last);
        remove_odd_items(message, [](const char*) {});
        CHECK(message.pending_owners_size() == 0);
    }
    SECTION("a claim that knows it")
    {
        const assignment_claim claim{
            .own = {.host = host_id("front-1"), .machine = machine_id("10.0.0.1")},
            .at = log_offset(12),
            .highest_known = fencing_number(last),
            .sent_at = instant{1h},
            .read_at = instant{1h}};
        CHECK(number_of(claim).count() > 0);
    }
}

TEST_CASE("A host that goes on with a takeover waits for late orders seen since (ONE)")
{
    const order_terms terms{
        .lease = 3000ms, .membership = 2700ms, .transit = 450ms, .order_delay = 12000ms};
    const claimant own{.host = host_id("front-2"), .machine = machine_id("10.0.0.2")};
    const instant start{1h};
    const server_id engine("engine-1");
    auto any_engine = [](const server_id&) { return true; };
    order_history history({.lease = 3000ms, .open_order_time = 12450ms, .order_delay = 12450ms});
    history.observe({{engine, {.start_time_ms = 1, .process_started_at = instant{1min}}}}, start);

    // The owner before is gone, and no late order is known.
    const assignment_claim first{.own = own,
                                 .at = log_offset(4),
                                 .before = assignment_record{.holder = host_id("front-1")},
                                 .sent_at = start,
                                 .read_at = start};
    const order_history::claim held{.taken = take_over(first, terms), .fence = fencing_number(5)};
    history.record_response(engine, held, start + 3150ms, start + 3150ms);
    const auto orders_at = history.first_order_at(engine, held);
    REQUIRE(orders_at);
    // The host records here that its takeover is complete.
    const bool recorded = history.is_settled(held, any_engine, *orders_at);
    REQUIRE(*orders_at < start + 7s);

    history.record_late_order(start + 5s);
    REQUIRE(history.first_order_at(engine, held).value_or(start) >= held.taken.late_orders_end);

    assignment_claim again{.own = own,
                           .at = log_offset(6),
                           .before = assignment_record{.holder = own.host},
                           .sent_at = start + 8s,
                           .read_at = start + 8s};
    if (recorded)
    {
        again.before = assignment_record{.holder = own.host,
                                         .takeover_complete = true,
                                         .fence = fencing_number(5),
                                         .machine = own.machine};
    }
    const order_history::claim resumed{.taken = take_over(again, terms),
                                       .fence = fencing_number(5)};
    auto at = history.first_order_at(engine, resumed);
    CHECK((!at || *at >= *held.taken.late_orders_end));
}

TEST_CASE("An owner that hears of a higher number than its own claims anew")
{
    std::int64_t heard = number_at(1, "10.9.9.9");
    SECTION("the number that it hears of is lower") {}
    SECTION("the number that it hears of is higher")
    {
        heard = number_at(50, "10.9.9.9");
    }
    serve_case it(
        1, store_path::direct,
        [](store_stand_in& store)
        {
            store.put("keyed.op", "config", serve_manifest(1, {"good-key"}, 12));
            put_record(store, "h8");
        },
        1, [](host_settings& settings) { settings.bounds.lease = 2000ms; });
    REQUIRE(it.started);
    leave_one_engine(it);
    REQUIRE(records(it).back() == "h1");
    REQUIRE(it.engine1.received_orders().empty());

    announce_owner(it, heard);

    const auto until = std::chrono::steady_clock::now() + 15s;
    for (int n = 0;
         it.engine1.received_orders().empty() && std::chrono::steady_clock::now() < until; ++n)
    {
        it.send("POST", "/guide/1", "r" + std::to_string(n), "good-key",
                "m" + std::to_string(n % 12));
    }
    for (const auto& order : it.engine1.received_orders())
    {
        CHECK(order.fence > heard);
    }
    CHECK_FALSE(it.engine1.received_orders().empty());
}

TEST_CASE("An owner goes on after the log has lost its records and the group has changed")
{
    busy_fleet fleet(1);
    REQUIRE(serve_case::eventually([&] { return is_complete(fleet.log(), "h1"); }));
    fleet.it.store.begin_anew("shunt-duties");
    fleet.assign_to("h1");
    std::this_thread::sleep_for(1000ms);
    const auto before = fleet.orders().size();
    CHECK(serve_case::eventually([&] { return fleet.orders().size() > before + 2; }));
}

TEST_CASE("A host claims its partitions with a store that takes its time")
{
    std::string before;
    SECTION("their offsets give the numbers")
    {
        before = "h9 begun 1 10.9.9.9";
    }
    SECTION("their claims state the numbers")
    {
        before = complete_record(21);
    }
    constexpr int partition_count = 4;
    serve_case it(
        1, store_path::direct,
        [&](store_stand_in& store)
        {
            for (int n = 0; n < partition_count; ++n)
            {
                put_record(store, before, n);
            }
            store.set_call_faults(
                [](const std::string& path, const std::string&)
                { return call_fault{.response_delay = path == append_path ? 80ms : 0ms}; });
        },
        partition_count);
    auto complete = [&]
    {
        for (int n = 0; n < partition_count; ++n)
        {
            if (!is_complete(records(it, n), "h1"))
            {
                return false;
            }
        }
        return true;
    };
    CHECK(serve_case::eventually(complete));
}

TEST_CASE("A late release ends the wait of a claim that states its number")
{
    serve_case it(
        1, store_path::direct,
        [](store_stand_in& store) { put_record(store, complete_record(21)); }, 1,
        [](host_settings& settings) { settings.bounds.lease = 6000ms; });
    const auto stated = "h1 number " + std::to_string(number_at(22, it.hosts.front()->ip));
    REQUIRE(serve_case::eventually([&] { return contains(records(it), stated); }));
    put_record(it.store,
               "h9 released 0 after 0 number " + std::to_string(number_at(21, "10.9.9.9")));
    const auto released_at = std::chrono::steady_clock::now();
    REQUIRE(serve_case::eventually([&] { return is_complete(records(it), "h1"); }));
    CHECK(std::chrono::steady_clock::now() - released_at < 4s);
}

TEST_CASE("A host takes over behind many claims that were not used")
{
    // Reads that are refused for 45 s leave as many: each dropped claim is a record.
    constexpr int unused_claims = 150;
    busy_fleet fleet(
        1,
        [](store_stand_in& store)
        {
            put_record(store, complete_record(21));
            for (int n = 0; n < unused_claims; ++n)
            {
                put_record(store, "h8");
            }
            store.set_call_faults(
                [](const std::string& path, const std::string&)
                { return call_fault{.response_delay = path == "/api/log-read" ? 10ms : 0ms}; });
        },
        [](host_settings& settings) { settings.bounds.lease = 2000ms; });
    CHECK(fleet.orders().front().fence > number_at(21, "10.9.9.9"));
}

TEST_CASE("A host takes over from a log whose reads are of an earlier time")
{
    busy_fleet fleet(2);
    const std::string first = fleet.orders().back().holder;
    REQUIRE(serve_case::eventually([&] { return is_complete(fleet.log(), first); }));
    fleet.it.store.stale_ms = 1200;
    fleet.assign_to(other(first));
    CHECK(fleet.awaits_order_of(other(first)));
    CHECK(fleet.first_conflict() == no_conflict);
}

TEST_CASE("A partition that cannot be read does not keep a host from claiming others")
{
    constexpr int partition_count = 4;
    serve_case it(
        1, store_path::direct,
        [&](store_stand_in& store)
        {
            for (int n = 0; n < partition_count; ++n)
            {
                put_record(store, complete_record(21), n);
            }
            store.set_call_faults(
                [](const std::string& path, const std::string& text)
                {
                    bool lost = path == "/api/log-read" && text == "shunt-duties/0";
                    return call_fault{.response_lost = lost};
                });
        },
        partition_count, [](host_settings& settings) { settings.bounds.lease = 3000ms; });
    for (int n = 1; n < partition_count; ++n)
    {
        CHECK(serve_case::eventually([&] { return records(it, n).size() > 1; }));
    }
}

TEST_CASE("A host that has just started asks others that the store has forgotten, too (ONE)")
{
    busy_fleet fleet(2);
    const std::string first = fleet.orders().back().holder;
    const std::string second = other(first);
    REQUIRE(serve_case::eventually([&] { return is_complete(fleet.log(), first); }));
    fleet.assign_to(second);
    REQUIRE(fleet.awaits_order_of(second));
    fleet.refuse_calls_with({first});
    fleet.restart(second, [&] { fleet.it.store.return_older(10min); });
    CHECK(fleet.awaits_order_of(second));
    CHECK(fleet.first_conflict() == no_conflict);
}

TEST_CASE("A host that goes on under an earlier number hears late of a higher one in use (ONE)")
{
    busy_fleet fleet(1);
    REQUIRE(serve_case::eventually([&] { return is_complete(fleet.log(), "h1"); }));
    const auto record = fleet.log().back();
    // An owner repeats its record, so that later offsets lie above the number that was lost.
    constexpr int repeats = 30;
    fleet.restart("h1",
                  [&]
                  {
                      for (int n = 0; n < repeats; ++n)
                      {
                          put_record(fleet.it.store, record);
                      }
                  });
    REQUIRE(fleet.awaits_order_of("h1"));
    const std::int64_t heard = number_at(15, "10.9.9.9");
    REQUIRE(fleet.orders().back().fence < heard);

    announce_owner(fleet.it, heard);
    std::this_thread::sleep_for(500ms);
    const auto before = fleet.orders().size();
    REQUIRE(fleet.awaits_order_of("h1"));
    for (std::size_t n = before; n < fleet.orders().size(); ++n)
    {
        CHECK(fleet.orders().at(n).fence > heard);
    }
}

TEST_CASE("Orders have the numbers of claims of their own host, whatever calls to the log do (ONE)")
{
    static constexpr std::chrono::milliseconds lease{2000};
    std::atomic<int> appends = 0;
    call_fault fault;
    std::chrono::milliseconds period{1200};
    int stale_ms = 0;
    std::string path = append_path;
    bool drops_history = false;

    SECTION("all calls are sound, and partitions move faster than they can be taken over")
    {
        period = 800ms;
    }
    SECTION("the response to an append is lost")
    {
        fault.response_lost = true;
    }
    SECTION("the response to an append comes right after its time-out")
    {
        fault.response_delay = 1030ms;
    }
    SECTION("an append is carried out late, behind the claim of the next host")
    {
        fault.carry_out_delay = 1700ms;
    }
    SECTION("a read is refused")
    {
        path = "/api/log-read";
        fault.refused_with = 503;
    }
    SECTION("a read is stale")
    {
        stale_ms = 1500;
    }
    SECTION("the log drops its history")
    {
        drops_history = true;
    }
    busy_fleet fleet(2, {}, [](host_settings& settings) { settings.bounds.lease = lease; });
    const std::string first = fleet.orders().back().holder;
    fleet.it.store.set_call_faults(
        [&](const std::string& called, const std::string&)
        { return called == path && appends++ % 2 == 0 ? fault : call_fault{}; });
    fleet.it.store.stale_ms = stale_ms;
    for (int n = 0; n < 10; ++n)
    {
        fleet.assign_to(n % 2 == 0 ? other(first) : first);
        std::this_thread::sleep_for(period);
        if (drops_history)
        {
            fleet.it.store.expire("shunt-duties/" + std::to_string(fleet.partition),
                                  fleet.log().size());
        }
    }
    fleet.it.store.stale_ms = 0;
    fleet.it.store.set_call_faults(nullptr);
    CHECK(appends > 2);
    CHECK(fleet.awaits_order_of(first));
    CHECK(fleet.first_conflict(lease) == no_conflict);
    CHECK(first_foreign_number(fleet) == no_conflict);
}

TEST_CASE("A host that has just started is above a number that it cannot read (ONE)")
{
    std::int64_t stated = 5;
    bool refuses = true;
    SECTION("the store refuses to read it") {}
    SECTION("the log has dropped it")
    {
        stated = 8;
        refuses = false;
    }
    busy_fleet fleet(2,
                     [&](store_stand_in& store)
                     {
                         for (int n = 0; n < 4; ++n)
                         {
                             put_record(store, complete_record(stated), n);
                         }
                     });
    const std::string first = fleet.orders().back().holder;
    const std::string second = other(first);
    REQUIRE(serve_case::eventually([&] { return is_complete(fleet.log(), first); }));
    fleet.refuse_calls_with({second});
    fleet.callers.clear();
    auto& ended = *fleet.it.hosts.at(static_cast<std::size_t>(first.at(1) - '1'));
    ended.request_stop();
    REQUIRE(serve_case::eventually([&] { return ended.exit_code >= 0; }));
    const auto duties = "shunt-duties/" + std::to_string(fleet.partition);
    std::atomic<int> reads = 0;
    fleet.restart(second,
                  [&]
                  {
                      if (!refuses)
                      {
                          fleet.it.store.expire(duties, fleet.log().size());
                      }
                      fleet.it.store.set_call_faults(
                          [&](const std::string&, const std::string& text)
                          {
                              bool is_refused = refuses && text == duties && reads++ < 2;
                              return call_fault{.refused_with = is_refused ? 503 : 0};
                          });
                  });
    CHECK(fleet.awaits_order_of(second));
    CHECK(fleet.first_conflict() == no_conflict);
}
