/// \file
/// Requests at the replica dispatcher: served in fair order, or refused in time with the right
/// reason.

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

dispatch_request request_of(const std::string& workspace, milliseconds timeout = milliseconds(5000))
{
    return {.filter = {.model = model_id("m"), .adapter = {}, .prefix = {}, .refused_by = {}},
            .workspace = workspace_id(workspace),
            .key = key_id("key of " + workspace),
            .cost = tokens(10),
            .deadline = boot_clock().now() + timeout};
}

bool all_keys_valid(const key_id&, const workspace_id&)
{
    return true;
}

using acquire_result = verdict<ready_replica>;

std::future<acquire_result> begin_wait(replica_dispatcher& dispatcher,
                                       const dispatch_request& request)
{
    std::size_t before = dispatcher.waiting();
    auto it = std::async(std::launch::async,
                         [&dispatcher, request] { return dispatcher.acquire(request); });
    while (dispatcher.waiting() == before &&
           it.wait_for(milliseconds(1)) != std::future_status::ready)
    {
    }
    return it;
}

} // namespace

TEST_CASE("a request at the replica dispatcher")
{
    replica_dispatcher dispatcher({.max_waiting = 8, .choice = {.slots = 1}});

    SECTION("gets a replica at once when one has a free slot")
    {
        dispatcher.set_replicas({.replicas = {replica_on("e1")}});
        auto it = dispatcher.acquire(request_of("clinics"));
        REQUIRE(it);
        CHECK(dispatcher.in_flight(server_id("e1")) == 1);

        SECTION("and the next one gets the slot when it is released")
        {
            auto next = begin_wait(dispatcher, request_of("clinics"));
            CHECK(dispatcher.waiting() == 1);
            dispatcher.release(*it, boot_clock().now(), server_outcome::responded);
            CHECK(next.get());
        }
        SECTION("and an older report does not override the host's own count")
        {
            dispatcher.set_replicas({.replicas = {replica_on("e1")}});
            auto next = dispatcher.acquire(request_of("clinics", milliseconds(30)));
            REQUIRE(!next);
            CHECK(next.error().code == errc::deadline);
        }
    }
    SECTION("is served when a replica becomes ready, and its demand is reported until then")
    {
        auto it = begin_wait(dispatcher, request_of("clinics"));
        REQUIRE(dispatcher.demands().size() == 1);
        CHECK(dispatcher.demands().front().workspace == workspace_id("clinics"));
        dispatcher.set_replicas({.replicas = {replica_on("e1")}});
        CHECK(it.get());
        CHECK(dispatcher.demands().empty());
    }
    SECTION("is refused at its deadline, with not_run")
    {
        auto it = dispatcher.acquire(request_of("clinics", milliseconds(20)));
        REQUIRE(!it);
        CHECK(it.error().code == errc::deadline);
        CHECK(it.error().run == run_state::not_run);
        CHECK(dispatcher.waiting() == 0);
    }
    SECTION("is refused when its key is withdrawn, while others continue to wait")
    {
        auto withdrawn = begin_wait(dispatcher, request_of("clinics"));
        auto kept = begin_wait(dispatcher, request_of("schools"));
        dispatcher.sweep([](const key_id&, const workspace_id& workspace)
                         { return workspace == workspace_id("schools"); },
                         {});
        CHECK(withdrawn.get().error().code == errc::key_refused);
        CHECK(dispatcher.waiting() == 1);
        dispatcher.set_replicas({.replicas = {replica_on("e1")}});
        CHECK(kept.get());
    }
    SECTION("is cancelled when its caller disconnects")
    {
        std::atomic<bool> disconnected = false;
        auto request = request_of("clinics");
        request.caller_disconnected = [&disconnected] { return disconnected.load(); };
        auto it = begin_wait(dispatcher, request);
        dispatcher.sweep(all_keys_valid, {});
        CHECK(dispatcher.waiting() == 1);
        disconnected = true;
        dispatcher.sweep(all_keys_valid, {});
        CHECK(it.get().error().code == errc::cancelled);
    }
    SECTION(
        "is refused at once when its workspace has filled its share of the queue, unlike another's")
    {
        std::array<std::future<acquire_result>, 4> waiting;
        for (auto& it : waiting)
        {
            it = begin_wait(dispatcher, request_of("flood"));
        }
        auto refused = dispatcher.acquire(request_of("flood"));
        REQUIRE(!refused);
        CHECK(refused.error().code == errc::queue_full);
        CHECK(refused.error().retry_after);
        auto other = begin_wait(dispatcher, request_of("quiet"));
        CHECK(dispatcher.waiting() == 5);
        dispatcher.sweep([](const key_id&, const workspace_id&) { return false; }, {});
        CHECK(!other.get());
        for (auto& it : waiting)
        {
            CHECK(!it.get());
        }
    }
    SECTION("is refused on arrival when the requests ahead will take too long")
    {
        dispatcher.set_replicas({.replicas = {replica_on("e1")}});
        auto first = dispatcher.acquire(request_of("clinics"));
        dispatcher.release(*first, boot_clock().now() - seconds(2), server_outcome::responded);
        auto held = dispatcher.acquire(request_of("clinics"));
        auto refused = dispatcher.acquire(request_of("clinics", milliseconds(500)));
        REQUIRE(!refused);
        CHECK(refused.error().code == errc::deadline);
        CHECK(*refused.error().retry_after >= milliseconds(1000));
        dispatcher.release(*held, boot_clock().now(), server_outcome::responded);
    }
}

TEST_CASE("draining and failing servers get no requests")
{
    replica_dispatcher dispatcher({.max_waiting = 8, .choice = {.slots = 4}});
    dispatcher.set_replicas({.replicas = {replica_on("e1"), replica_on("e2")}});

    SECTION("a draining server gets no new request")
    {
        dispatcher.sweep(all_keys_valid, {server_id("e1")});
        for (int i = 0; i < 4; ++i)
        {
            CHECK(dispatcher.acquire(request_of("clinics"))->server == server_id("e2"));
        }
        CHECK(dispatcher.acquire(request_of("clinics", milliseconds(20))).error().code ==
              errc::deadline);
    }
    SECTION("a server that fails repeatedly is left out")
    {
        int failures = 0;
        while (failures < 3)
        {
            auto it = dispatcher.acquire(request_of("clinics"));
            bool failed = it->server == server_id("e1");
            failures += failed ? 1 : 0;
            dispatcher.release(*it, boot_clock().now(),
                               failed ? server_outcome::failed : server_outcome::refused);
            if (!failed)
            {
                auto request = request_of("clinics");
                request.filter.refused_by = {server_id("e2")};
                auto other = dispatcher.acquire(request);
                REQUIRE(other->server == server_id("e1"));
                ++failures;
                dispatcher.release(*other, boot_clock().now(), server_outcome::failed);
            }
        }
        CHECK(dispatcher.acquire(request_of("clinics"))->server == server_id("e2"));
        CHECK(dispatcher.acquire(request_of("clinics"))->server == server_id("e2"));
    }
}
