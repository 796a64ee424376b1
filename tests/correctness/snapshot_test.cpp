/// \file
/// A snapshot preserves the state after the tickets it was made from have expired, even if
/// responses of the log are lost or other snapshots are incomplete.

#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "coordination/snapshot_schedule.hpp"
#include "coordination/state_follower.hpp"
#include "protocol/snapshot_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "stand_ins/memory_log.hpp"
#include "stand_ins/ticket_text.hpp"

using namespace banyanshunt;

namespace
{

void publish(memory_log& log, int number, const std::string& model)
{
    std::string text = ticket_text(
        number,
        {{"models", fmt::format(R"("{}":{{"version":"v1","memory_mib":9,"replicas":1}})", model)}});
    log_entry entry{.id = record_id("t"), .data = text};
    REQUIRE(log.append(tickets_stream, std::span(&entry, 1)));
}

fleet_state follow(memory_log& log, state_cell& cell)
{
    state_follower<memory_log> follower(log, cell, decode_ticket, [](const auto&) {});
    REQUIRE(follower.step(milliseconds(0)));
    return *cell.get();
}

// Writes a complete snapshot, retrying after each failure; returns how many calls failed.
int write_snapshot(memory_log& log, const fleet_state& state, const std::string& name)
{
    snapshot_writer<memory_log> writer(log, json_snapshot_codec(), state, name);
    int failed = 0;
    while (true)
    {
        auto complete = writer.step();
        failed += complete ? 0 : 1;
        if (complete && *complete)
        {
            return failed;
        }
    }
}

// A state whose snapshot has several chunks.
fleet_state large_state(memory_log& log, state_cell& cell)
{
    constexpr int models = 4000;
    std::string names;
    for (int i = 0; i < models; ++i)
    {
        names += fmt::format(R"({}"m{}":{{"version":"v1","memory_mib":9,"replicas":1}})",
                             i ? "," : "", i);
    }
    log_entry entry{.id = record_id("t"), .data = ticket_text(1, {{"models", names}})};
    REQUIRE(log.append(tickets_stream, std::span(&entry, 1)));
    return follow(log, cell);
}

} // namespace

TEST_CASE("a host that starts after the tickets expired loads the complete state")
{
    memory_log log;
    state_cell cell;
    auto state = large_state(log, cell);

    SECTION("from a snapshot written without faults")
    {
        CHECK(write_snapshot(log, state, "a") == 0);
    }
    SECTION("from one with lost append responses, duplicated and refused appends")
    {
        log.faults().set({{.call = "append", .first = 2, .kind = fault_kind::lose_response},
                          {.call = "append", .first = 3, .kind = fault_kind::duplicate},
                          {.call = "append", .first = 4, .kind = fault_kind::refuse}});
        CHECK(write_snapshot(log, state, "a") >= 1);
    }
    SECTION("from two snapshots written concurrently")
    {
        snapshot_writer<memory_log> a(log, json_snapshot_codec(), state, "a");
        snapshot_writer<memory_log> b(log, json_snapshot_codec(), state, "b");
        bool a_complete = false;
        bool b_complete = false;
        while (!a_complete || !b_complete)
        {
            a_complete = a_complete || *a.step();
            b_complete = b_complete || *b.step();
        }
    }
    SECTION("from an older one when chunks of the newest are missing")
    {
        write_snapshot(log, state, "a");
        snapshot_entry broken{.name = "b",
                              .first_offset = log_offset(1000),
                              .chunks = 2,
                              .next_offset = log_offset(9)};
        log_entry index{.id = record_id("b"), .data = json_snapshot_codec().encode_entry(broken)};
        REQUIRE(log.append(snapshot_index_stream, std::span(&index, 1)));
    }

    state_cell fresh;
    auto loaded = load_snapshot(log, json_snapshot_codec(), fresh);
    REQUIRE(loaded);
    CHECK(*loaded);
    CHECK(same_state(*fresh.get(), state));
}

TEST_CASE(
    "a reader that was offline for longer than the retention does not skip the expired records")
{
    memory_log log;
    publish(log, 1, "one");
    state_cell offline;
    auto before = follow(log, offline);
    publish(log, 2, "two");
    publish(log, 3, "three");
    state_cell other;
    auto state = follow(log, other);
    state_follower<memory_log> follower(log, offline, decode_ticket, [](const auto&) {});

    SECTION("without a snapshot its read fails, and it keeps its state")
    {
        log.expire_all_but(1);
        auto step = follower.step(milliseconds(0));
        REQUIRE_FALSE(step);
        CHECK(step.error().code == errc::records_expired);
        CHECK_FALSE(*load_snapshot(log, json_snapshot_codec(), offline));
        CHECK(same_state(*offline.get(), before));
    }
    SECTION("with a snapshot it reaches the same state as the other readers")
    {
        write_snapshot(log, state, "a");
        log.expire_all_but(1);
        CHECK_FALSE(follower.step(milliseconds(0)));
        REQUIRE(*load_snapshot(log, json_snapshot_codec(), offline));
        REQUIRE(follower.step(milliseconds(0)));
        CHECK(same_state(*offline.get(), state));
    }
    SECTION("an older snapshot never replaces a newer state")
    {
        write_snapshot(log, before, "old");
        CHECK_FALSE(*load_snapshot(log, json_snapshot_codec(), other));
        CHECK(same_state(*other.get(), state));
    }
}

TEST_CASE("a log that ends before an offset that was read from it is refused")
{
    memory_log log;
    publish(log, 1, "one");
    state_cell cell;
    follow(log, cell);
    memory_log emptied;
    state_follower<memory_log> follower(emptied, cell, decode_ticket, [](const auto&) {});
    auto step = follower.step(milliseconds(0));
    REQUIRE_FALSE(step);
    CHECK(step.error().code == errc::bad_answer);
}

TEST_CASE("one host writes the snapshots, and the others only if it does not")
{
    test_clock clock;
    snapshot_options options{.interval = seconds(100),
                             .record_threshold = 50,
                             .min_interval = seconds(10),
                             .backup_delay = seconds(5)};
    snapshot_schedule schedule(options, clock.now());
    schedule.record_snapshot(log_offset(10), clock.now());

    SECTION("after the interval, the first host before its backups")
    {
        clock.advance(seconds(99));
        CHECK_FALSE(schedule.due(log_offset(11), 0, clock.now()));
        clock.advance(seconds(1));
        CHECK(schedule.due(log_offset(11), 0, clock.now()));
        CHECK_FALSE(schedule.due(log_offset(11), 1, clock.now()));
        clock.advance(seconds(5));
        CHECK(schedule.due(log_offset(11), 1, clock.now()));
        CHECK_FALSE(schedule.due(log_offset(11), snapshot_writer_count, clock.now()));
    }
    SECTION("even when nothing changed, because the last snapshot expires too")
    {
        clock.advance(seconds(100));
        CHECK(schedule.due(log_offset(10), 0, clock.now()));
    }
    SECTION("earlier after many records, but not before the minimum interval")
    {
        CHECK_FALSE(schedule.due(log_offset(60), 0, clock.now()));
        clock.advance(seconds(10));
        CHECK(schedule.due(log_offset(60), 0, clock.now()));
        CHECK_FALSE(schedule.due(log_offset(59), 0, clock.now()));
    }
    SECTION("hosts with the same list compute the same ranking, each with its own rank")
    {
        std::set<std::size_t> ranks;
        for (int i = 0; i < 9; ++i)
        {
            host_id self(fmt::format("h{}", i));
            peer_table peers({.self = self, .domain = domain_id("d")});
            std::vector<listed_host> list;
            list.reserve(9);
            for (int j = 0; j < 9; ++j)
            {
                list.push_back({.name = fmt::format("h{}", j),
                                .role = "entry",
                                .domain = domain_id("d"),
                                .address = "a"});
            }
            peers.handle_host_list(list, clock.now());
            ranks.insert(snapshot_rank(self, peers, clock.now()));
        }
        CHECK(ranks.size() == 9);
    }
}
