// The table of backend servers, the choice among them, and the shared retry budget.

#include <catch2/catch.hpp>

#include "coordination/backend_table.hpp"
#include "coordination/event_splitter.hpp"
#include "coordination/shared_retry_budget.hpp"

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
    entry.start_time_ms = 1;
    return entry;
}

const model_target plain;

} // namespace

TEST_CASE("A request goes to the server with the least known load")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north")});
    table.apply_entry(server("a"), now);
    table.apply_entry(server("b", "south"), now);
    server_criteria need{.service = service_id("svc"), .target = plain, .tried = {}};
    auto chosen = [&] { return table.choose(need, nullptr, now).server.str(); };

    CHECK(chosen() == "a");
    SECTION("own requests count")
    {
        table.record_sent(server_id("a"), plain);
        CHECK(chosen() == "b");
        table.record_ended(server_id("a"), plain, backend_outcome::responded, now);
        CHECK(chosen() == "a");
    }
    SECTION("requests reported by a peer count until the report expires")
    {
        table.apply_peer_load(host_id("h"), server_id("a"), 3, now);
        CHECK(chosen() == "b");
        table.apply_peer_load(host_id("h"), server_id("a"), 0, now);
        CHECK(chosen() == "a");
        table.apply_peer_load(host_id("h"), server_id("a"), 3, now);
        now += 3s;
        table.expire_peer_loads(now);
        CHECK(chosen() == "a");
    }
    SECTION("a server that fails repeatedly is avoided during its backoff")
    {
        for (int n = 0; n < 2; ++n)
        {
            table.record_sent(server_id("a"), plain);
            table.record_ended(server_id("a"), plain, backend_outcome::failed, now);
        }
        CHECK(chosen() == "b");
    }
    SECTION("the choice is `full` when all servers are full")
    {
        table.apply_peer_load(host_id("h"), server_id("a"), 4, now);
        table.apply_peer_load(host_id("h"), server_id("b"), 4, now);
        CHECK(table.choose(need, nullptr, now).action == server_choice::action_kind::full);
    }
    SECTION("a draining server gets no new requests, and an older entry does not undo the draining")
    {
        auto draining = server("a");
        draining.draining = true;
        draining.sequence = 2;
        REQUIRE(table.apply_entry(draining, now));
        CHECK_FALSE(table.apply_entry(server("a"), now));
        CHECK(chosen() == "b");
    }
    SECTION("a removed server stays in the table until its requests have ended")
    {
        table.record_sent(server_id("a"), plain);
        table.remove(server_id("a"));
        CHECK(chosen() == "b");
        CHECK(table.find(server_id("a")) != nullptr);
        table.record_ended(server_id("a"), plain, backend_outcome::abandoned, now);
        CHECK(table.find(server_id("a")) == nullptr);
    }
}

TEST_CASE("A model that no server holds is loaded where its checkpoint is on disk")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north")});
    engine_spec engine;
    model_spec model;
    model.id = model_id("m");
    model.load_from_store = 6s;
    model.load_from_disk = 800ms;
    engine.models.emplace(model.id, model);
    auto without_copy = server("a");
    auto disk = server("b", "south");
    disk.on_disk = {model.id};
    table.apply_entry(without_copy, now);
    table.apply_entry(disk, now);
    server_criteria need{.service = service_id("svc"),
                         .target = {.model = model.id, .adapter = adapter_id("a1")},
                         .tried = {}};

    auto choice = table.choose(need, &engine, now);
    CHECK(choice.action == server_choice::action_kind::load);
    CHECK(choice.server.str() == "b");
    CHECK_FALSE(choice.loading);

    server_placement placement;
    placement.owner = host_id("h");
    placement.fencing = fencing_number(3);
    placement.start_time_ms = 1;
    placement.reported_at = now;
    placement.next_load_at = now;
    placement.models[model.id] = {.ready_at = now + 500ms};
    table.apply_placement(server_id("a"), placement);
    SECTION("a load in progress is waited for")
    {
        choice = table.choose(need, &engine, now);
        CHECK(choice.server.str() == "a");
        CHECK(choice.loading);
        CHECK(choice.expected_wait == 500ms);
        CHECK(table.available_elsewhere(server_id("b"), need.target, now));
    }
    SECTION("a placement from a previous owner is ignored")
    {
        server_placement old = placement;
        old.fencing = fencing_number(2);
        old.models.clear();
        table.apply_placement(server_id("a"), old);
        CHECK(table.choose(need, &engine, now).loading);
    }
    SECTION("an adapter is loaded where the model is, unless all adapter slots there are in use")
    {
        placement.models[model.id].ready_at = now;
        table.apply_placement(server_id("a"), placement);
        choice = table.choose(need, &engine, now);
        CHECK(choice.server.str() == "a");
        placement.adapter_room = false;
        table.apply_placement(server_id("a"), placement);
        choice = table.choose(need, &engine, now);
        CHECK(choice.action == server_choice::action_kind::load);
        CHECK(choice.server.str() == "b");
    }
}

TEST_CASE("A load is not requested from an engine that no host orders")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north")});
    engine_spec engine;
    model_spec model;
    model.id = model_id("m");
    model.load_from_store = 6s;
    model.load_from_disk = 800ms;
    model.load_from_memory = 300ms;
    engine.models.emplace(model.id, model);
    auto unordered = server("a");
    unordered.in_memory = {model.id};
    auto ordered = server("b");
    ordered.on_disk = {model.id};
    table.apply_entry(unordered, now);
    table.apply_entry(ordered, now);
    server_placement placement{.owner = host_id("h"),
                               .owner_incarnation = {},
                               .fencing = fencing_number(3),
                               .start_time_ms = 1,
                               .models = {},
                               .next_load_at = now,
                               .reported_at = now};
    table.apply_placement(server_id("b"), placement);

    server_criteria need{
        .service = service_id("svc"), .target = {.model = model.id, .adapter = {}}, .tried = {}};
    CHECK(table.choose(need, &engine, now).server.str() == "b");

    SECTION("its owner counts as gone when it falls silent")
    {
        placement.owner = host_id("g");
        placement.fencing = fencing_number(4);
        table.apply_placement(server_id("a"), placement);
        CHECK(table.choose(need, &engine, now).server.str() == "a");
        now += 2s;
        table.record_heard(host_id("h"), incarnation_id(), now);
        CHECK(table.choose(need, &engine, now).server.str() == "b");
        table.record_heard(host_id("g"), incarnation_id(), now);
        CHECK(table.choose(need, &engine, now).server.str() == "a");
    }
    SECTION("an owner that restarted is no longer the owner")
    {
        table.apply_placement(server_id("a"), placement);
        CHECK(table.choose(need, &engine, now).server.str() == "a");
        table.record_heard(host_id("h"), incarnation_id(7), now);
        CHECK(table.owner_wait(*table.find(server_id("a")), now) > 1s);
    }
    SECTION("a new owner that may not order yet states from when it may")
    {
        table.apply_owner(server_id("a"), {.host = host_id("g"),
                                           .incarnation = {},
                                           .fencing = fencing_number(4),
                                           .may_order_at = now + 3s,
                                           .reported_at = now});
        CHECK(table.choose(need, &engine, now).server.str() == "b");
        CHECK(table.owner_wait(*table.find(server_id("a")), now) == 3s);
        table.record_heard(host_id("g"), incarnation_id(), now + 3s);
        CHECK(table.owner_wait(*table.find(server_id("a")), now + 3s) == 0s);
    }
    SECTION("with no owner anywhere, the expected wait includes the takeover")
    {
        table.remove_owner(server_id("b"));
        auto choice = table.choose(need, &engine, now);
        CHECK(choice.action == server_choice::action_kind::load);
        CHECK(choice.expected_wait > 4s);
    }
    SECTION("an adapter neither: its model is loaded where orders are given")
    {
        unordered.models = {{model.id, {}}};
        unordered.sequence = 1;
        table.apply_entry(unordered, now);
        need.target.adapter = adapter_id("a1");
        auto choice = table.choose(need, &engine, now);
        CHECK(choice.action == server_choice::action_kind::load);
        CHECK(choice.server.str() == "b");
    }
}

TEST_CASE("Only complete events of a stream are passed on to the caller")
{
    event_splitter events;
    CHECK(events.feed("id: 1\ndata: x\n\nid: 2\nda") == "id: 1\ndata: x\n\n");
    CHECK(events.in_event());
    CHECK(events.feed("ta: y\n\n") == "id: 2\ndata: y\n\n");
    CHECK_FALSE(events.in_event());
    events.feed("id: 3\nda");
    events.discard_partial();
    CHECK(events.feed("id: 3\n\n") == "id: 3\n\n");
}

TEST_CASE("Retries of all hosts together stay within their budget")
{
    constexpr std::size_t hosts = 9;
    constexpr int requests = 100;
    shared_retry_budget_options options{.ratio = 0.2, .extra = 58, .window = 10s};
    instant now{std::chrono::hours(1)};
    int taken = 0;
    for (std::size_t host = 0; host < hosts; ++host)
    {
        shared_retry_budget budget(options, now);
        // Every request fails and is retried as often as the budget allows.
        for (int n = 0; n < requests; ++n)
        {
            auto at = now + 100ms * n;
            budget.record_request(hosts, at);
            while (budget.acquire(hosts, at))
            {
                ++taken;
            }
        }
    }
    CHECK(taken > 0);
    CHECK(taken <= options.ratio * requests * hosts + options.extra);
}

TEST_CASE(
    "Simultaneous retries after a time without failures are within the budget of many small hosts")
{
    // The half of a host's extra retries that is available at once is below one here, which alone
    // would not allow even a single retry.
    constexpr std::size_t hosts = 81;
    constexpr int requests = 200;
    constexpr int windows = 3;
    shared_retry_budget_options options{.ratio = 0.2, .extra = 202, .window = 10s};
    instant now{std::chrono::hours(1)};
    shared_retry_budget budget(options, now);
    std::vector<int> taken(windows);
    for (int n = 0; n < windows * requests; ++n)
    {
        auto at = now + 50ms * n;
        budget.record_request(hosts, at);
        // In the second window every request fails.
        bool failing = n / requests == 1;
        while (failing && budget.acquire(hosts, at))
        {
            ++taken[1];
        }
    }
    CHECK(taken[1] > 0.15 * requests);
    CHECK(taken[1] <= options.ratio * requests + options.extra / hosts);
}

TEST_CASE("A model requested at many hosts is not loaded from a busy weight store")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north"), .max_store_loads = 2});
    engine_spec engine;
    for (const char* name : {"m0", "m1", "m2", "rare"})
    {
        model_spec model;
        model.id = model_id(name);
        model.load_from_disk = 800ms;
        model.load_from_store = 7800ms;
        engine.models.emplace(model.id, model);
    }
    for (const char* name : {"a", "b", "c"})
    {
        table.apply_entry(server(name), now);
        table.apply_owner(server_id(name), {.host = host_id("h"),
                                            .incarnation = {},
                                            .fencing = {},
                                            .may_order_at = now,
                                            .reported_at = now});
    }
    auto load = [&](const char* at, const char* model, bool from_store)
    {
        server_placement placement;
        placement.owner = host_id("h");
        placement.start_time_ms = 1;
        placement.reported_at = placement.next_load_at = now;
        placement.models[model_id(model)] = {.ready_at = now + 5s, .from_store = from_store};
        table.apply_placement(server_id(at), placement);
    };
    server_criteria need{.service = service_id("svc"),
                         .target = {.model = model_id("rare"), .adapter = {}},
                         .tried = {}};

    SECTION("loads from the store are counted from received placements")
    {
        load("a", "m0", true);
        load("b", "m1", false);
        CHECK(table.active_store_loads(now) == 1);
        CHECK(table.active_store_loads(now + 6s) == 0);
    }
    SECTION("a load from the store is expected to take longer when the full-speed loads are in use")
    {
        auto before = table.choose(need, &engine, now);
        REQUIRE(before.action == server_choice::action_kind::load);
        CHECK(before.expected_wait == 7800ms);
        load("a", "m0", true);
        load("b", "m1", true);
        CHECK(table.choose(need, &engine, now).expected_wait == 15600ms);
    }
    SECTION("an extra replica is loaded from memory or disk only")
    {
        CHECK_FALSE(table.choose_extra_replica(need, engine, now));
        auto with_copy = server("d");
        with_copy.on_disk = {model_id("rare")};
        table.apply_entry(with_copy, now);
        auto more = table.choose_extra_replica(need, engine, now);
        REQUIRE(more);
        CHECK(more->server == server_id("d"));
    }
}

TEST_CASE("A server that does not hold a model its entry lists is tried at growing intervals")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north")});
    auto entry = server("a");
    entry.models = {{model_id("m"), {}}};
    table.apply_entry(entry, now);
    const model_target target{.model = model_id("m"), .adapter = {}};
    const auto holds = [&](instant at)
    { return table.holds(*table.find(server_id("a")), target, at); };
    for (auto backoff : {120ms, 240ms, 480ms, 960ms, 960ms})
    {
        table.record_sent(server_id("a"), target);
        table.record_ended(server_id("a"), target, backend_outcome::not_held, now);
        CHECK_FALSE(holds(now + backoff - 1ms));
        now += backoff;
        CHECK(holds(now));
    }
    SECTION("until it responds")
    {
        table.record_sent(server_id("a"), target);
        table.record_ended(server_id("a"), target, backend_outcome::responded, now);
        table.record_sent(server_id("a"), target);
        table.record_ended(server_id("a"), target, backend_outcome::not_held, now);
        CHECK(holds(now + 120ms));
    }
}

TEST_CASE("Names that callers send to a plain service are not kept by its servers' records")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north")});
    table.apply_entry(server("a"), now);
    engine_spec engine;
    engine.models[model_id("known")] = {};
    auto run = [&](const engine_spec* of, const std::string& name, backend_outcome outcome)
    {
        auto target = target_of(of, model_id(name), adapter_id(name));
        table.record_sent(server_id("a"), target);
        table.record_ended(server_id("a"), target, outcome, now);
    };
    for (int n = 0; n < 1000; ++n)
    {
        run(nullptr, "x" + std::to_string(n),
            n % 2 == 0 ? backend_outcome::responded : backend_outcome::not_held);
    }
    CHECK(table.count_targets() == 0);
    CHECK(table.find(server_id("a"))->requests_since_report.size() <= 1);
    CHECK(table.find(server_id("a"))->denied.size() <= 1);

    // An engine's targets are kept, until a report of theirs was sent.
    run(&engine, "known", backend_outcome::responded);
    CHECK(table.count_targets() == 1);
    table.reset_request_counts(server_id("a"));
    table.reset_request_counts(server_id("a"));
    CHECK(table.count_targets() == 0);
}

TEST_CASE("A placement is sent again only when its content changes")
{
    instant now{std::chrono::hours(1)};
    server_placement placement;
    placement.owner = host_id("h");
    placement.start_time_ms = 1;
    placement.reported_at = placement.next_load_at = now;
    placement.models[model_id("m")] = {.ready_at = now};
    auto later = placement;
    later.reported_at = later.next_load_at = now + 100ms;
    CHECK(equivalent_reports(placement, later, now + 100ms));
    later.models[model_id("m")].unloading = true;
    CHECK_FALSE(equivalent_reports(placement, later, now + 100ms));
    later = placement;
    later.next_load_at = now + 2s;
    CHECK_FALSE(equivalent_reports(placement, later, now + 100ms));
}

TEST_CASE("A server that states a limit is used last, and with a permit")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north"), .own_host = host_id("h")});
    table.apply_entry(server("a"), now);
    table.apply_entry(server("b"), now);
    table.limits().record(server_id("a"),
                          {.start_time_ms = 1, .rate = millirequests_per_second(2000), .at = now});
    server_criteria need{.service = service_id("svc"), .target = plain, .tried = {}};
    using action_kind = server_choice::action_kind;
    auto choose = [&] { return table.choose(need, nullptr, now); };

    CHECK(choose().action == action_kind::send);
    CHECK(choose().server.str() == "b");

    SECTION("when the others are full, with a permit")
    {
        table.apply_peer_load(host_id("h"), server_id("b"), 4, now);
        CHECK(choose().action == action_kind::permit);
        CHECK(choose().server.str() == "a");
        CHECK(choose().expected_wait == 0ms);
        CHECK_FALSE(choose().has_alternative);
        need.permitted = server_id("a");
        CHECK(choose().action == action_kind::send);

        AND_WHEN("a permit was refused, not before the next one is free")
        {
            need.permitted = {};
            table.limits().record_next_permit(server_id("a"), now + 400ms);
            CHECK(choose().action == action_kind::permit);
            CHECK(choose().expected_wait == 400ms);
            now += 400ms;
            CHECK(choose().expected_wait == 0ms);
        }
    }
    SECTION("when it stated the limit some time ago, a request tries whether it has ended")
    {
        table.apply_peer_load(host_id("h"), server_id("b"), 1, now);
        now += 2s;
        CHECK(choose().action == action_kind::permit);
        CHECK(choose().server.str() == "a");
        // It does not wait for a permit, as the other server has room.
        CHECK(choose().has_alternative);
    }
    SECTION("after its restart under the same id, as any other")
    {
        auto reborn = server("a");
        reborn.start_time_ms = 2;
        table.apply_entry(reborn, now);
        CHECK(choose().action == action_kind::send);
        CHECK(choose().server.str() == "a");
    }
}

TEST_CASE("A model whose servers state limits is in demand elsewhere")
{
    instant now{std::chrono::hours(1)};
    backend_table table({.own_domain = domain_id("north"), .own_host = host_id("h")});
    engine_spec engine;
    model_spec model;
    model.id = model_id("m");
    model.load_from_store = 6s;
    model.load_from_disk = 800ms;
    model.load_from_memory = 300ms;
    engine.models.emplace(model.id, model);
    server_placement placement{.owner = host_id("h"),
                               .owner_incarnation = {},
                               .fencing = fencing_number(3),
                               .start_time_ms = 1,
                               .models = {},
                               .next_load_at = now,
                               .reported_at = now};
    for (const char* id : {"a", "b"})
    {
        auto entry = server(id);
        entry.on_disk = {model.id};
        table.apply_entry(entry, now);
        table.apply_placement(server_id(id), placement);
    }
    placement.models.emplace(model.id, held_model{.ready_at = now});
    table.apply_placement(server_id("a"), placement);
    const model_target target{.model = model.id, .adapter = {}};
    server_criteria need{.service = service_id("svc"), .target = target, .tried = {}};

    CHECK_FALSE(table.choose_extra_replica(need, engine, now));
    CHECK(table.count_other_replicas(server_id("b"), model.id, now) == 1);

    table.limits().record(server_id("a"),
                          {.start_time_ms = 1, .rate = millirequests_per_second(2000), .at = now});
    auto replica = table.choose_extra_replica(need, engine, now);
    REQUIRE(replica);
    CHECK(replica->server.str() == "b");
    CHECK_FALSE(table.available_elsewhere(server_id("b"), target, now));
    CHECK(table.count_other_replicas(server_id("b"), model.id, now) == 0);

    SECTION("an adapter is not loaded there if its order has to wait longer than a load elsewhere")
    {
        const model_target adapted{.model = model.id, .adapter = adapter_id("x")};
        server_criteria adapter_need{.service = service_id("svc"), .target = adapted, .tried = {}};
        CHECK(table.choose(adapter_need, &engine, now).server.str() == "a");
        table.limits().record_next_permit(server_id("a"), now + 2s);
        CHECK(table.choose(adapter_need, &engine, now).server.str() == "b");
    }
    SECTION("a load elsewhere is waited for if it is sooner than the next permit")
    {
        table.limits().record_next_permit(server_id("a"), now + 500ms);
        CHECK(table.choose(need, &engine, now).server.str() == "a");
        table.limits().record_next_permit(server_id("a"), now + 2s);
        auto choice = table.choose(need, &engine, now);
        CHECK(choice.action == server_choice::action_kind::load);
        CHECK(choice.server.str() == "b");
    }
}
