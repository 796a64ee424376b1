// A host whose membership of the group ends while it claims, holds or releases a partition, and one
// whose claim is followed by another host's.

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "coordination/assignment_record.hpp"
#include "coordination/host_ranking.hpp"
#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const std::string join_path = "/api/log-join";
const std::string append_path = "/api/log-append";

/// Whether a call appends this record.
bool is_record(const std::string& record, const std::string& path, const std::string& body)
{
    constexpr std::size_t length_bytes = 4;
    return path == append_path && body.substr(std::min(length_bytes, body.size())) == record;
}

std::vector<std::string> records(const serve_case& it, int partition = 0)
{
    return it.store.values("shunt-duties/" + std::to_string(partition));
}

bool ends_with(const std::vector<std::string>& records, const std::string& last)
{
    return !records.empty() && records.back() == last;
}

/// Whether the last record says that a host has completed its takeover.
bool is_complete(const std::vector<std::string>& records, const std::string& host = "h1")
{
    auto last = records.empty() ? std::nullopt : parse_assignment_record(records.back());
    return last && last->takeover_complete && last->holder == host_id(host);
}

/// The value of a metric of the first host; 0 if it is not stated.
int metric(const serve_case& it, const std::string& name)
{
    std::string text = it.scrape();
    auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + name.size() + 2));
}

/// Refuses the calls that renew memberships.
void refuse_joins(serve_case& it)
{
    it.store.set_call_faults([](const std::string& path, const std::string&)
                             { return call_fault{.refused_with = path == join_path ? 429 : 0}; });
}

/// Ends the membership of the first host and lets it claim the partition behind another host's
/// claim, so that its takeover takes 2350 ms. Returns whether it has claimed it.
bool take_over_from_other_host(serve_case& it)
{
    refuse_joins(it);
    std::this_thread::sleep_for(1500ms);
    it.store.put("shunt-duties/0", "", "h9");
    const auto before = records(it).size();
    it.store.set_call_faults(nullptr);
    return serve_case::eventually([&] { return records(it).size() > before; }) &&
           ends_with(records(it), "h1");
}

/// Checks that the first host has given its engines up and orders them by a later claim than the
/// other host's alone.
void check_orders_of_new_claim(const serve_case& it, std::int64_t fence_of_other)
{
    // It gets 503 while no host may order the engines.
    int attempts = 0;
    auto is_served = [&]
    {
        auto id = "r" + std::to_string(++attempts);
        return it.send("POST", "/guide/1", id, "good-key", "rare").status == 200;
    };
    REQUIRE(serve_case::eventually(is_served));

    auto orders = it.engine1.received_orders();
    auto others = it.engine2.received_orders();
    orders.insert(orders.end(), others.begin(), others.end());
    REQUIRE_FALSE(orders.empty());
    for (const auto& order : orders)
    {
        CHECK(order.fence > fence_of_other);
    }
    CHECK(metric(it, R"(banyanshunt_partitions_lost_total{reason="superseded"})") == 1);
}

} // namespace

TEST_CASE("A claim that outlasts its host's membership is not used (ONE)")
{
    SECTION("its response comes after the membership has ended")
    {
        serve_case it;
        REQUIRE(it.started);
        REQUIRE(serve_case::eventually([&] { return is_complete(records(it)); }));
        auto lapsed = [&]
        { return metric(it, R"(banyanshunt_partitions_lost_total{reason="lapsed"})"); };
        const int lapsed_before = lapsed();
        it.store.set_call_faults(
            [](const std::string& path, const std::string& body)
            {
                return call_fault{.response_delay = path == join_path             ? 600ms
                                                    : is_record("h1", path, body) ? 700ms
                                                                                  : 0ms};
            });
        const auto before = records(it).size();
        REQUIRE(serve_case::eventually([&] { return records(it).size() >= before + 2; }));
        std::this_thread::sleep_for(1000ms);

        auto last = records(it);
        last.erase(last.begin(), last.begin() + static_cast<std::ptrdiff_t>(before));
        CHECK(std::none_of(last.begin(), last.end(),
                           [](const auto& record) { return is_complete({record}); }));
        CHECK(lapsed() == lapsed_before + 1);

        it.store.set_call_faults(nullptr);
        CHECK(serve_case::eventually([&] { return is_complete(records(it)); }));
    }

    SECTION("the membership ends while the host claims one partition after the other")
    {
        serve_case it(1, store_path::direct, {}, 4);
        REQUIRE(it.started);
        auto complete = [&]
        {
            for (int n = 0; n < it.partitions; ++n)
            {
                if (!is_complete(records(it, n)))
                {
                    return false;
                }
            }
            return true;
        };
        REQUIRE(serve_case::eventually(complete));

        struct call_times
        {
            std::mutex mutex;
            std::chrono::steady_clock::time_point last_join;
            std::chrono::milliseconds latest_claim{0};
            int joins = 0;
            int claims = 0;
        };
        auto calls = std::make_shared<call_times>();
        it.store.set_call_faults(
            [calls](const std::string& path, const std::string& body)
            {
                std::lock_guard lock(calls->mutex);
                auto now = std::chrono::steady_clock::now();
                if (path == join_path)
                {
                    calls->last_join = now;
                    bool ends_membership = ++calls->joins <= 20;
                    return call_fault{.refused_with = ends_membership ? 429 : 0};
                }
                if (!is_record("h1", path, body))
                {
                    return call_fault{};
                }
                ++calls->claims;
                calls->latest_claim =
                    std::max(calls->latest_claim,
                             std::chrono::floor<std::chrono::milliseconds>(now - calls->last_join));
                return call_fault{.response_delay = 700ms};
            });
        auto claims = [&]
        {
            std::lock_guard lock(calls->mutex);
            return calls->claims;
        };
        REQUIRE(serve_case::eventually([&] { return claims() >= 4; }));
        it.store.set_call_faults(nullptr);
        // A membership lasts 900 ms from the call that renewed it.
        CHECK(calls->latest_claim < 1200ms);
        CHECK(serve_case::eventually(complete));
    }
}

TEST_CASE("A takeover is not recorded after its host's membership has ended (ONE)")
{
    serve_case it;
    REQUIRE(it.started);
    REQUIRE(serve_case::eventually([&] { return is_complete(records(it)); }));
    REQUIRE(take_over_from_other_host(it));

    SECTION("the host cannot renew its membership for longer than the takeover takes")
    {
        refuse_joins(it);
        std::this_thread::sleep_for(4000ms);
        CHECK(ends_with(records(it), "h1"));

        it.store.set_call_faults(nullptr);
        CHECK(serve_case::eventually([&] { return is_complete(records(it)); }));
    }

    SECTION("the membership lasts")
    {
        CHECK(serve_case::eventually([&] { return is_complete(records(it)); }));
    }
}

TEST_CASE("A host that stops releases only the partitions of a membership that lasts (ONE)")
{
    serve_case it;
    REQUIRE(it.started);
    REQUIRE(serve_case::eventually([&] { return is_complete(records(it)); }));
    auto stop = [&]
    {
        it.hosts.front()->request_stop();
        return serve_case::eventually([&] { return it.exit_code() != -1; });
    };

    SECTION("its membership has ended")
    {
        refuse_joins(it);
        std::this_thread::sleep_for(1500ms);
        REQUIRE(stop());
        CHECK(is_complete(records(it)));
    }

    SECTION("its membership lasts")
    {
        // The release is appended behind the last record whose response has arrived.
        std::this_thread::sleep_for(500ms);
        REQUIRE(stop());
        CHECK(records(it).back().starts_with("h1 released "));
    }
}

TEST_CASE("A host whose claim is followed by another host's orders by a new claim only (ONE)")
{
    serve_case it;
    REQUIRE(it.started);
    REQUIRE(serve_case::eventually([&] { return is_complete(records(it)); }));
    REQUIRE(take_over_from_other_host(it));

    it.store.put("shunt-duties/0", "", "h9");
    const auto fence_of_other = static_cast<std::int64_t>(records(it).size());
    auto takeovers = std::make_shared<std::atomic<int>>(0);
    it.store.set_call_faults(
        [takeovers](const std::string& path, const std::string& body)
        {
            bool complete = path == append_path && body.find("h1 begun ") != std::string::npos;
            *takeovers += complete ? 1 : 0;
            return call_fault{};
        });
    REQUIRE(serve_case::eventually([&] { return *takeovers == 1; }));
    std::this_thread::sleep_for(500ms);
    check_orders_of_new_claim(it, fence_of_other);
    CHECK(serve_case::eventually([&] { return is_complete(records(it)); }));
    CHECK(records(it).size() == static_cast<std::size_t>(fence_of_other) + 2);
}

TEST_CASE("A host that resigns its membership releases its partitions")
{
    serve_case it(3);
    REQUIRE(it.started);
    std::vector<ranked_host> ranked;
    for (const char* name : {"h1", "h2", "h3"})
    {
        ranked.push_back({.host = host_id(name), .domain = domain_id("north")});
    }
    // With one partition, a member resigns if two live hosts rank before it.
    auto order = first_in_ranking("orders", ranked, ranked.size());
    auto number = [](const host_id& host) { return static_cast<std::size_t>(host.str()[1] - '1'); };
    const std::string last = order.at(2).str();
    for (std::size_t n : {number(order.at(0)), number(order.at(1))})
    {
        it.hosts.at(n)->request_stop();
        REQUIRE(serve_case::eventually([&] { return it.hosts.at(n)->exit_code != -1; }));
    }
    REQUIRE(serve_case::eventually([&] { return is_complete(records(it), last); }));
    const auto before = records(it).size();

    for (std::size_t n : {number(order.at(0)), number(order.at(1))})
    {
        REQUIRE(it.restart_host(n));
    }
    REQUIRE(serve_case::eventually([&] { return records(it).size() > before; }));
    CHECK(records(it).at(before).starts_with(last + " released "));
}

TEST_CASE("A host whose partition moved away and back orders by a new claim only (ONE)")
{
    serve_case it;
    REQUIRE(it.started);
    REQUIRE(serve_case::eventually([&] { return is_complete(records(it)); }));
    // The other host claimed it and lost it again between two calls of this one.
    it.store.put("shunt-duties/0", "", "h9");
    const auto fence_of_other = static_cast<std::int64_t>(records(it).size());
    it.store.group().rebalance();
    std::this_thread::sleep_for(600ms);

    check_orders_of_new_claim(it, fence_of_other);
}
