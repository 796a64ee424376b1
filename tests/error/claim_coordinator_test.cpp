/// \file
/// Hosts race for one idempotency key while the log refuses appends, loses responses, and delays or
/// duplicates records: at most one host sends the call, and every other one gets a failure or the
/// outcome.

#include <atomic>
#include <map>
#include <random>
#include <thread>

#include <catch2/catch.hpp>

#include "protocol/claim_codec.hpp"
#include "stand_ins/memory_log.hpp"
#include "state/periodic_thread.hpp"

using namespace banyanshunt;

namespace
{

// A log whose appends may take effect after they have failed.
class delayed_log
{
public:
    explicit delayed_log(memory_log& log) : log_(log) {}

    verdict<log_offset> append(const stream_name& stream, std::span<const log_entry> batch)
    {
        append_held();
        if (hold_next_append_.exchange(false))
        {
            std::lock_guard lock(mutex_);
            held_.push_back({.stream = stream, .batch = {batch.begin(), batch.end()}});
            return failure{.run = run_state::may_have_run,
                           .code = errc::timeout,
                           .detail = "no response",
                           .retry_after = {}};
        }
        return log_.append(stream, batch);
    }
    verdict<log_page> read(const stream_name& stream, log_offset from, std::size_t limit,
                           milliseconds wait)
    {
        return log_.read(stream, from, limit, wait);
    }

    void hold_next_append() { hold_next_append_ = true; }
    void append_held()
    {
        std::lock_guard lock(mutex_);
        for (const auto& it : held_)
        {
            (void)log_.append(it.stream, it.batch);
        }
        held_.clear();
    }

private:
    struct held_append
    {
        stream_name stream;
        std::vector<log_entry> batch;
    };

    memory_log& log_;
    std::atomic<bool> hold_next_append_ = false;
    std::mutex mutex_;
    std::vector<held_append> held_;
};

// The claim subsystem of one host.
struct host
{
    host(memory_log& it, const std::string& name)
        : log(it), batcher(log, {.appends_per_second = 1000,
                                 .burst = 100,
                                 .pause_after_failure = milliseconds(5)}),
          coordinator(log, batcher,
                      {.writer = name,
                       .codec = {.encode = encode_claim_record, .decode = decode_claim_record}}),
          batcher_thread([this] { return batcher.step(); })
    {
    }

    delayed_log log;
    log_batcher<delayed_log> batcher;
    claim_coordinator<delayed_log> coordinator;
    periodic_thread batcher_thread;
};

const claim_key order_key{.scope = "workspace clinics", .key = "order-7"};
const call_outcome booked{.status = 200, .content_type = "application/json", .body = "booked"};

verdict<claim_result> try_claim(host& it, const claim_key& key, milliseconds timeout)
{
    return it.coordinator.claim(key, "d", boot_clock().now() + timeout);
}

// Sends the call if the claim allows it, and counts it.
void call_with_key(host& it, const claim_key& key, std::atomic<int>& runs)
{
    auto claimed = try_claim(it, key, milliseconds(60));
    if (claimed && !claimed->outcome)
    {
        ++runs;
        it.coordinator.record_outcome(key, claimed->claim, booked);
    }
}

std::vector<fault_row> random_faults(std::mt19937_64& random)
{
    constexpr std::array kinds = {fault_kind::refuse, fault_kind::lose_response,
                                  fault_kind::delayed, fault_kind::duplicate, fault_kind::hang};
    std::vector<fault_row> rows;
    rows.reserve(4);
    for (int i = 0; i < 4; ++i)
    {
        rows.push_back({.call = "append",
                        .first = 1 + static_cast<int>(random() % 6),
                        .count = 1 + static_cast<int>(random() % 2),
                        .kind = kinds[random() % kinds.size()],
                        .delay = milliseconds(random() % 20)});
    }
    rows.push_back({.call = "read",
                    .first = 1 + static_cast<int>(random() % 4),
                    .count = static_cast<int>(random() % 3),
                    .kind = fault_kind::refuse});
    return rows;
}

} // namespace

TEST_CASE("a call with an idempotency key")
{
    memory_log log;
    host north(log, "north");
    host south(log, "south");
    milliseconds timeout(1000);

    SECTION("is sent by the host that claims first, and the others return its outcome")
    {
        auto first = try_claim(north, order_key, timeout);
        REQUIRE(first);
        CHECK(!first->outcome);
        north.coordinator.record_outcome(order_key, first->claim, booked);
        while (north.batcher.waiting() > 0)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
        for (host* it : {&south, &north})
        {
            auto again = try_claim(*it, order_key, timeout);
            while (!again && again.error().code == errc::already_claimed)
            {
                again = try_claim(*it, order_key, timeout);
            }
            REQUIRE(again);
            CHECK(again->outcome == booked);
        }
    }
    SECTION("with a different body is refused on every host")
    {
        REQUIRE(try_claim(north, order_key, timeout));
        auto other = south.coordinator.claim(order_key, "other", boot_clock().now() + timeout);
        REQUIRE(!other);
        CHECK(other.error().code == errc::idempotency_mismatch);
    }
    SECTION("in another workspace is a separate call")
    {
        REQUIRE(try_claim(north, order_key, timeout));
        auto other = try_claim(south, {.scope = "workspace schools", .key = "order-7"}, timeout);
        REQUIRE(other);
        CHECK(!other->outcome);
    }
    SECTION("is not sent while the log is down, and is sent after it recovers")
    {
        log.set_down(true);
        auto refused = try_claim(north, order_key, milliseconds(50));
        REQUIRE(!refused);
        CHECK(refused.error().code == errc::claim_unavailable);
        CHECK(refused.error().run == run_state::not_run);
        CHECK(refused.error().retry_after);
        log.set_down(false);
        CHECK(try_claim(south, order_key, timeout));
    }
    SECTION("is sent after the append's response was lost, once the record was read back")
    {
        log.faults().set({{.call = "append", .kind = fault_kind::lose_response}});
        auto claimed = try_claim(north, order_key, timeout);
        REQUIRE(claimed);
        CHECK(!claimed->outcome);
    }
    SECTION("whose claim is appended after its host abandoned it can be claimed by another host")
    {
        north.log.hold_next_append();
        auto abandoned = try_claim(north, order_key, milliseconds(50));
        REQUIRE(!abandoned);
        CHECK(abandoned.error().run == run_state::not_run);
        north.log.append_held();
        auto other = try_claim(south, order_key, timeout);
        while (!other && other.error().run != run_state::ran)
        {
            other = try_claim(south, order_key, timeout);
        }
        CHECK(other);
    }
    SECTION("whose host stopped before the outcome is reported as may_have_run")
    {
        REQUIRE(try_claim(north, order_key, timeout));
        auto again = try_claim(south, order_key, timeout);
        REQUIRE(!again);
        CHECK(again.error().code == errc::already_claimed);
        CHECK(again.error().run == run_state::may_have_run);
    }
    SECTION("is claimed on a host that starts after old records have expired")
    {
        for (int i = 0; i < 20; ++i)
        {
            REQUIRE(try_claim(north, {.scope = "w", .key = std::to_string(i)}, timeout));
        }
        log.expire_all_but(1);
        CHECK(try_claim(south, order_key, timeout));
    }
}

TEST_CASE("hosts that race for a key while the log fails send at most once")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        memory_log log;
        log.faults().set(random_faults(random));
        host north(log, "north");
        host south(log, "south");
        if (random() % 2 == 0)
        {
            north.log.hold_next_append();
        }
        std::array<std::atomic<int>, 3> runs{};
        std::vector<std::thread> callers;
        for (std::size_t key = 0; key < runs.size(); ++key)
        {
            for (host* it : {&north, &south, &north})
            {
                callers.emplace_back(
                    [it, key, &runs]
                    {
                        claim_key name{.scope = "w", .key = std::to_string(key)};
                        call_with_key(*it, name, runs[key]);
                        call_with_key(*it, name, runs[key]);
                    });
            }
        }
        for (auto& caller : callers)
        {
            caller.join();
        }
        for (const auto& n : runs)
        {
            REQUIRE(n <= 1);
        }
    }
}

TEST_CASE("concurrent claims are batched into few appends")
{
    memory_log log;
    host north(log, "north");
    std::vector<std::thread> callers;
    callers.reserve(64);
    std::atomic<int> granted = 0;
    for (int i = 0; i < 64; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                auto it =
                    try_claim(north, {.scope = "w", .key = std::to_string(i)}, milliseconds(5000));
                granted += it && !it->outcome ? 1 : 0;
            });
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    CHECK(granted == 64);
    CHECK(log.appends() < 64);
}
