/// \file
/// Requests at the board: served in fair order, or refused in time with the true reason.

#include <array>
#include <atomic>
#include <future>

#include <catch2/catch.hpp>

#include "coordination/replica_dispatcher.hpp"
#include "state/errors.hpp"

using namespace banyanshunt;

namespace
{

ready_replica replica_on(const std::string& server)
{
    return {.server = server_id(server),
            .address = "127.0.0.1:1",
            .model = model_id("m"),
            .version = version_id("v1"),
            .adapters = {}};
}

dispatch_request wait_of(const std::string& workspace, milliseconds patience = milliseconds(5000))
{
    return {.filter = {.model = model_id("m"), .adapter = {}, .prefix = {}, .refused_by = {}},
            .workspace = workspace_id(workspace),
            .key = key_id("key of " + workspace),
            .cost = tokens(10),
            .deadline = boot_clock().now() + patience};
}

bool all_in_force(const key_id&, const workspace_id&)
{
    return true;
}

using answer = verdict<ready_replica>;

std::future<answer> begin_wait(replica_dispatcher& board, const dispatch_request& wait)
{
    std::size_t before = board.waiting();
    auto it = std::async(std::launch::async, [&board, wait] { return board.acquire(wait); });
    while (board.waiting() == before && it.wait_for(milliseconds(1)) != std::future_status::ready)
    {
    }
    return it;
}

} // namespace

TEST_CASE("a request at the board")
{
    replica_dispatcher board({.max_waiting = 8, .choice = {.slots = 1}});

    SECTION("gets a replica at once when one has a free slot")
    {
        board.set_replicas({.replicas = {replica_on("e1")}});
        auto it = board.acquire(wait_of("clinics"));
        REQUIRE(it);
        CHECK(board.in_flight(server_id("e1")) == 1);

        SECTION("and the next one gets the slot when it is given back")
        {
            auto next = begin_wait(board, wait_of("clinics"));
            CHECK(board.waiting() == 1);
            board.release(*it, boot_clock().now(), server_outcome::responded);
            CHECK(next.get());
        }
        SECTION("and the host's own count stands against a report that is older")
        {
            board.set_replicas({.replicas = {replica_on("e1")}});
            auto next = board.acquire(wait_of("clinics", milliseconds(30)));
            REQUIRE(!next);
            CHECK(next.error().code == errc::deadline);
        }
    }
    SECTION("is served when a replica becomes ready, and its need is told meanwhile")
    {
        auto it = begin_wait(board, wait_of("clinics"));
        REQUIRE(board.demands().size() == 1);
        CHECK(board.demands().front().workspace == workspace_id("clinics"));
        board.set_replicas({.replicas = {replica_on("e1")}});
        CHECK(it.get());
        CHECK(board.demands().empty());
    }
    SECTION("is refused at its deadline, with not_run")
    {
        auto it = board.acquire(wait_of("clinics", milliseconds(20)));
        REQUIRE(!it);
        CHECK(it.error().code == errc::deadline);
        CHECK(it.error().run == run_state::not_run);
        CHECK(board.waiting() == 0);
    }
    SECTION("is refused when its key is withdrawn, and the others go on waiting")
    {
        auto withdrawn = begin_wait(board, wait_of("clinics"));
        auto kept = begin_wait(board, wait_of("schools"));
        board.sweep([](const key_id&, const workspace_id& workspace)
                    { return workspace == workspace_id("schools"); },
                    {});
        CHECK(withdrawn.get().error().code == errc::key_refused);
        CHECK(board.waiting() == 1);
        board.set_replicas({.replicas = {replica_on("e1")}});
        CHECK(kept.get());
    }
    SECTION("leaves when its caller does")
    {
        std::atomic<bool> gone = false;
        auto wait = wait_of("clinics");
        wait.caller_disconnected = [&gone] { return gone.load(); };
        auto it = begin_wait(board, wait);
        board.sweep(all_in_force, {});
        CHECK(board.waiting() == 1);
        gone = true;
        board.sweep(all_in_force, {});
        CHECK(it.get().error().code == errc::cancelled);
    }
    SECTION("is refused at once when its workspace has filled its places, unlike another's")
    {
        std::array<std::future<answer>, 4> waiting;
        for (auto& it : waiting)
        {
            it = begin_wait(board, wait_of("flood"));
        }
        auto refused = board.acquire(wait_of("flood"));
        REQUIRE(!refused);
        CHECK(refused.error().code == errc::queue_full);
        CHECK(refused.error().retry_after);
        auto other = begin_wait(board, wait_of("quiet"));
        CHECK(board.waiting() == 5);
        board.sweep([](const key_id&, const workspace_id&) { return false; }, {});
        CHECK(!other.get());
        for (auto& it : waiting)
        {
            CHECK(!it.get());
        }
    }
    SECTION("is refused at the door when those ahead will take too long")
    {
        board.set_replicas({.replicas = {replica_on("e1")}});
        auto first = board.acquire(wait_of("clinics"));
        board.release(*first, boot_clock().now() - seconds(2), server_outcome::responded);
        auto held = board.acquire(wait_of("clinics"));
        auto refused = board.acquire(wait_of("clinics", milliseconds(500)));
        REQUIRE(!refused);
        CHECK(refused.error().code == errc::deadline);
        CHECK(*refused.error().retry_after >= milliseconds(1000));
        board.release(*held, boot_clock().now(), server_outcome::responded);
    }
}

TEST_CASE("servers get no work that they should not get")
{
    replica_dispatcher board({.max_waiting = 8, .choice = {.slots = 4}});
    board.set_replicas({.replicas = {replica_on("e1"), replica_on("e2")}});

    SECTION("one that leaves gets no new request")
    {
        board.sweep(all_in_force, {server_id("e1")});
        for (int i = 0; i < 4; ++i)
        {
            CHECK(board.acquire(wait_of("clinics"))->server == server_id("e2"));
        }
        CHECK(board.acquire(wait_of("clinics", milliseconds(20))).error().code == errc::deadline);
    }
    SECTION("one that fails again and again is left out")
    {
        int failures = 0;
        while (failures < 3)
        {
            auto it = board.acquire(wait_of("clinics"));
            bool failed = it->server == server_id("e1");
            failures += failed ? 1 : 0;
            board.release(*it, boot_clock().now(),
                          failed ? server_outcome::failed : server_outcome::refused);
            if (!failed)
            {
                auto wait = wait_of("clinics");
                wait.filter.refused_by = {server_id("e2")};
                auto other = board.acquire(wait);
                REQUIRE(other->server == server_id("e1"));
                ++failures;
                board.release(*other, boot_clock().now(), server_outcome::failed);
            }
        }
        CHECK(board.acquire(wait_of("clinics"))->server == server_id("e2"));
        CHECK(board.acquire(wait_of("clinics"))->server == server_id("e2"));
    }
}
