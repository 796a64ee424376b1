// The table of backend servers, the choice among them, and the budget of repeats.

#include <catch2/catch.hpp>

#include "coordination/backend_table.hpp"
#include "coordination/event_splitter.hpp"
#include "coordination/repeat_budget.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

backend_entry server(const char* id, const char* domain = "north")
{
    backend_entry entry;
    entry.id = server_id(id);
    entry.service = service_id("svc");
    entry.address = endpoint_text("10.0.0.1:80");
    entry.domain = domain_id(domain);
    entry.slots = 4;
    entry.born_ms = 1;
    return entry;
}

const engine_unit plain;

} // namespace

TEST_CASE("A request goes to the server with the least load that is known of")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north")});
    table.apply_entry(server("a"), now);
    table.apply_entry(server("b", "south"), now);
    server_need need{.service = service_id("svc"), .unit = plain, .tried = {}};
    auto chosen = [&] { return table.choose(need, nullptr, now).server.str(); };

    CHECK(chosen() == "a");
    SECTION("own requests count")
    {
        table.note_sent(server_id("a"), plain);
        CHECK(chosen() == "b");
        table.note_ended(server_id("a"), plain, backend_outcome::answered, now);
        CHECK(chosen() == "a");
    }
    SECTION("requests that a peer told of count until the report is old")
    {
        table.apply_peer_use(host_id("h"), server_id("a"), 3, now);
        CHECK(chosen() == "b");
        table.apply_peer_use(host_id("h"), server_id("a"), 0, now);
        CHECK(chosen() == "a");
        table.apply_peer_use(host_id("h"), server_id("a"), 3, now);
        now += 3s;
        table.expire_told(now);
        CHECK(chosen() == "a");
    }
    SECTION("a server that fails is left alone for a while")
    {
        for (int n = 0; n < 2; ++n)
        {
            table.note_sent(server_id("a"), plain);
            table.note_ended(server_id("a"), plain, backend_outcome::failed, now);
        }
        CHECK(chosen() == "b");
    }
    SECTION("full servers are said to be full")
    {
        table.apply_peer_use(host_id("h"), server_id("a"), 4, now);
        table.apply_peer_use(host_id("h"), server_id("b"), 4, now);
        CHECK(table.choose(need, nullptr, now).what == server_choice::kind::full);
    }
    SECTION("a leaving server gets nothing new, and an older entry does not bring it back")
    {
        auto leaving = server("a");
        leaving.draining = true;
        leaving.announcement = 2;
        REQUIRE(table.apply_entry(leaving, now));
        CHECK_FALSE(table.apply_entry(server("a"), now));
        CHECK(chosen() == "b");
    }
    SECTION("a server that is gone stays until its requests have ended")
    {
        table.note_sent(server_id("a"), plain);
        table.remove(server_id("a"));
        CHECK(chosen() == "b");
        CHECK(table.find(server_id("a")) != nullptr);
        table.note_ended(server_id("a"), plain, backend_outcome::abandoned, now);
        CHECK(table.find(server_id("a")) == nullptr);
    }
}

TEST_CASE("A model that no server holds is loaded where it lies at hand")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north")});
    engine_spec engine;
    model_spec model;
    model.id = model_id("m");
    model.load_from_store = 6s;
    model.load_from_disk = 800ms;
    engine.models.emplace(model.id, model);
    auto near = server("a");
    auto disk = server("b", "south");
    disk.on_disk = {model.id};
    table.apply_entry(near, now);
    table.apply_entry(disk, now);
    server_need need{.service = service_id("svc"),
                     .unit = {.model = model.id, .adapter = adapter_id("a1")},
                     .tried = {}};

    auto choice = table.choose(need, &engine, now);
    CHECK(choice.what == server_choice::kind::load);
    CHECK(choice.server.str() == "b");
    CHECK_FALSE(choice.coming);

    server_placement placement;
    placement.owner = host_id("h");
    placement.fence = fencing_number(3);
    placement.born_ms = 1;
    placement.told_at = now;
    placement.room_at = now;
    placement.models[model.id] = {.ready_at = now + 500ms};
    table.apply_placement(server_id("a"), placement);
    SECTION("one that is on its way is waited for")
    {
        choice = table.choose(need, &engine, now);
        CHECK(choice.server.str() == "a");
        CHECK(choice.coming);
        CHECK(choice.expected == 500ms);
        CHECK(table.covered(server_id("b"), model.id, now));
    }
    SECTION("an older holder of the duty is not believed")
    {
        server_placement old = placement;
        old.fence = fencing_number(2);
        old.models.clear();
        table.apply_placement(server_id("a"), old);
        CHECK(table.choose(need, &engine, now).coming);
    }
    SECTION("an adapter is loaded where the model is, unless all its places are in use")
    {
        placement.models[model.id].ready_at = now;
        table.apply_placement(server_id("a"), placement);
        choice = table.choose(need, &engine, now);
        CHECK(choice.server.str() == "a");
        placement.adapter_room = false;
        table.apply_placement(server_id("a"), placement);
        choice = table.choose(need, &engine, now);
        CHECK(choice.what == server_choice::kind::load);
        CHECK(choice.server.str() == "b");
    }
}

TEST_CASE("Only whole events of a stream go on to the caller")
{
    event_splitter events;
    CHECK(events.take("id: 1\ndata: x\n\nid: 2\nda") == "id: 1\ndata: x\n\n");
    CHECK(events.last_id() == "1");
    CHECK(events.in_event());
    CHECK(events.take("ta: y\n\n") == "id: 2\ndata: y\n\n");
    CHECK(events.last_id() == "2");
    CHECK_FALSE(events.in_event());
    events.take("id: 3\nda");
    events.drop_rest();
    CHECK(events.take("id: 3\n\n") == "id: 3\n\n");
}

TEST_CASE("Repeats of all hosts together keep their budget")
{
    constexpr std::size_t hosts = 9;
    constexpr int requests = 100;
    repeat_budget_options options{.ratio = 0.2, .extra = 58, .window = 10s};
    instant now{std::chrono::hours(1)};
    int taken = 0;
    for (std::size_t host = 0; host < hosts; ++host)
    {
        repeat_budget budget(options, now);
        // Every request fails and is repeated as often as the budget lets it.
        for (int n = 0; n < requests; ++n)
        {
            auto at = now + 100ms * n;
            budget.note_request(hosts, at);
            while (budget.take(hosts, at))
            {
                ++taken;
            }
        }
    }
    CHECK(taken > 0);
    CHECK(taken <= options.ratio * requests * hosts + options.extra);
}
