// What servers said of themselves, and the choice of a server that follows from it.

#include <catch2/catch.hpp>

#include "coordination/backend_table.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const server_id one("s1");
const server_id two("s2");

backend_entry entry_of(const server_id& id, std::int64_t start_time_ms = 1)
{
    backend_entry entry;
    entry.id = id;
    entry.service = service_id("svc");
    entry.address = endpoint_text("10.0.0.1:80");
    entry.domain = domain_id("north");
    entry.slots = 4;
    entry.start_time_ms = start_time_ms;
    entry.models = {{model_id("m"), {}}};
    entry.on_disk = {model_id("rare")};
    return entry;
}

engine_spec engine()
{
    engine_spec spec;
    spec.models[model_id("m")] = {};
    auto& rare = spec.models[model_id("rare")];
    rare.load_from_disk = milliseconds(500);
    rare.load_from_store = milliseconds(5000);
    return spec;
}

leaving_notice notice(std::int64_t start_time_ms, notice_source source, instant at)
{
    return {.start_time_ms = start_time_ms, .source = source, .stated_at = at};
}

using action_kind = server_choice::action_kind;

} // namespace

TEST_CASE("A server that leaves is not chosen until a later incarnation of it is registered")
{
    instant now{1h};
    backend_table table({.own_domain = domain_id("north")});
    table.apply_entry(entry_of(one), now);
    table.apply_entry(entry_of(two), now);
    server_criteria need{.service = service_id("svc"), .target = {}, .tried = {two}};
    auto chosen = [&] { return table.choose(need, nullptr, now).action == action_kind::send; };
    REQUIRE(chosen());
    REQUIRE(table.accepts(one, 1, now));
    CHECK(table.notices().record_leaving(one, notice(1, notice_source::response, now), now));

    CHECK_FALSE(chosen());
    CHECK_FALSE(table.accepts(one, 1, now));
    CHECK(table.accepts(two, 1, now));

    SECTION("its registry entry says later that it is ready")
    {
        auto later = entry_of(one);
        later.sequence = 5;
        table.apply_entry(later, now);
        CHECK_FALSE(chosen());
    }
    SECTION("it is removed, and the same entry comes back")
    {
        table.remove(one);
        now += 30s;
        table.expire_notices(now);
        table.apply_entry(entry_of(one), now);
        CHECK_FALSE(chosen());
        CHECK_FALSE(table.accepts(one, 1, now));
    }
    SECTION("an entry of an earlier incarnation comes back after its removal")
    {
        table.remove(one);
        table.apply_entry(entry_of(one, 0), now);
        CHECK_FALSE(chosen());
    }
    SECTION("a peer saw the same, or saw an earlier incarnation leave")
    {
        CHECK_FALSE(table.notices().record_leaving(one, notice(1, notice_source::peer, now), now));
        CHECK_FALSE(table.notices().record_leaving(one, notice(0, notice_source::peer, now), now));
        CHECK(table.notices().all_leaving().at(one).notice.source == notice_source::response);
        CHECK_FALSE(chosen());
    }
    SECTION("a later incarnation is registered")
    {
        table.apply_entry(entry_of(one, 2), now);
        CHECK(chosen());
        CHECK(table.accepts(one, 2, now));

        SECTION("a response to a request to the earlier one arrives late")
        {
            table.notices().record_leaving(one, notice(1, notice_source::response, now), now);
            CHECK(chosen());
        }
        SECTION("it leaves too")
        {
            CHECK(table.notices().record_leaving(one, notice(2, notice_source::peer, now), now));
            CHECK_FALSE(chosen());
        }
    }
}

TEST_CASE("A server that left by its registry entry does not come back after a removal")
{
    instant now{1h};
    backend_table table({.own_domain = domain_id("north")});
    auto draining = entry_of(one);
    draining.draining = true;
    table.apply_entry(draining, now);
    table.remove(one);
    table.apply_entry(entry_of(one), now);
    CHECK_FALSE(table.accepts(one, 1, now));
    table.apply_entry(entry_of(one, 2), now);
    CHECK(table.accepts(one, 2, now));
}

TEST_CASE("A server whose leaving a peer reports before its registry entry is known is not chosen")
{
    instant now{1h};
    backend_table table({.own_domain = domain_id("north")});
    table.notices().record_leaving(one, notice(1, notice_source::peer, now), now);
    table.apply_entry(entry_of(one), now);
    CHECK_FALSE(table.accepts(one, 1, now));
}

TEST_CASE("What removed servers said is kept for a bounded time and in a bounded number")
{
    instant now{1h};
    server_notices notices;
    auto none_known = [](const server_id&) { return false; };
    auto all_known = [](const server_id&) { return true; };
    notices.record_leaving(one, notice(1, notice_source::response, now), now);

    SECTION("a server in the table is remembered for ever")
    {
        notices.expire(all_known, now + server_notices::retention + 1s);
        notices.expire(none_known, now + server_notices::retention + 2s);
        CHECK(notices.leaving(one, 1));
    }
    SECTION("one that nobody mentions is forgotten")
    {
        notices.expire(none_known, now + server_notices::retention);
        CHECK(notices.leaving(one, 1));
        notices.expire(none_known, now + server_notices::retention + 1s);
        CHECK_FALSE(notices.leaving(one, 1));
    }
    SECTION("beyond the maximum the oldest is dropped")
    {
        for (std::size_t n = 0; n < server_notices::max_notices; ++n)
        {
            now += 1ms;
            notices.record_leaving(server_id("x" + std::to_string(n)),
                                   notice(1, notice_source::peer, now), now);
        }
        CHECK(notices.all_leaving().size() == server_notices::max_notices);
        CHECK_FALSE(notices.leaving(one, 1));
    }
}

TEST_CASE("A server gets nothing while it wants no requests")
{
    instant now{1h};
    instant begin = now;
    backend_table table({.own_domain = domain_id("north")});
    table.apply_entry(entry_of(one), now);
    table.apply_entry(entry_of(two), now);
    server_criteria need{.service = service_id("svc"), .target = {}, .tried = {}};
    auto choice = [&] { return table.choose(need, nullptr, now); };
    CHECK(table.notices().record_pause(one, 1, 2s, now));

    SECTION("another takes the requests")
    {
        CHECK(choice().server == two);
        CHECK_FALSE(table.accepts(one, 1, now));
        now = begin + 1999ms;
        CHECK(choice().server == two);
        now = begin + 2s;
        CHECK(table.accepts(one, 1, now));
    }
    SECTION("no other is left: the wait is the earliest true one")
    {
        table.notices().record_pause(two, 1, 30s, now);
        now += 500ms;
        auto wait = choice();
        CHECK(wait.action == action_kind::pause);
        CHECK(wait.server == one);
        CHECK(wait.expected_wait == 1500ms);
        now = begin + 2s;
        CHECK(choice().action == action_kind::send);
        CHECK(choice().server == one);
    }
    SECTION("a shorter pause does not end a longer one; a longer one replaces it")
    {
        CHECK_FALSE(table.notices().record_pause(one, 1, 200ms, now));
        CHECK(table.notices().record_pause(one, 1, 30s, now));
        now = begin + 29s;
        CHECK_FALSE(table.accepts(one, 1, now));
    }
    SECTION("a time of 0 is no pause")
    {
        CHECK_FALSE(table.notices().record_pause(two, 1, 0s, now));
        CHECK(table.accepts(two, 1, now));
    }
    SECTION("a later incarnation takes requests at once, whatever the earlier one said")
    {
        table.apply_entry(entry_of(one, 2), now);
        CHECK(table.accepts(one, 2, now));
        table.notices().record_pause(one, 1, 30s, now);
        CHECK(table.accepts(one, 2, now));
    }
    SECTION("a late response of an earlier incarnation does not end the pause of the later one")
    {
        table.apply_entry(entry_of(one, 2), now);
        table.notices().record_pause(one, 2, 2s, now);
        table.notices().record_pause(one, 1, 30s, now);
        CHECK_FALSE(table.accepts(one, 2, now));
    }
    SECTION("one that leaves is not waited for")
    {
        table.notices().record_leaving(one, notice(1, notice_source::response, now), now);
        table.remove(two);
        CHECK(choice().action == action_kind::none);
    }
    SECTION("one that the request has tried already is not waited for")
    {
        need.tried = {one};
        table.remove(two);
        CHECK(choice().action == action_kind::none);
    }
    SECTION("a full server is waited for, as it may take requests at any time")
    {
        for (int n = 0; n < 4; ++n)
        {
            table.record_sent(two, {});
        }
        CHECK(choice().action == action_kind::full);
    }
}

TEST_CASE("A server that leaves or wants no requests is no replica with room")
{
    instant now{1h};
    backend_table table({.own_domain = domain_id("north"), .own_host = host_id("h")});
    table.apply_entry(entry_of(one), now);
    table.apply_entry(entry_of(two), now);
    const model_target m{.model = model_id("m"), .adapter = {}};
    server_placement placed;
    placed.start_time_ms = 1;
    placed.models[model_id("m")] = {.ready_at = now};
    placed.owner = host_id("h");
    placed.reported_at = now;
    table.apply_placement(one, placed);
    REQUIRE(table.available_elsewhere(two, m, now));
    REQUIRE(table.count_other_replicas(two, model_id("m"), now) == 1);

    SECTION("it leaves")
    {
        table.notices().record_leaving(one, notice(1, notice_source::peer, now), now);
        CHECK_FALSE(table.available_elsewhere(two, m, now));
        CHECK(table.count_other_replicas(two, model_id("m"), now) == 0);
    }
    SECTION("it wants none")
    {
        table.notices().record_pause(one, 1, 2s, now);
        CHECK_FALSE(table.available_elsewhere(two, m, now));
        CHECK(table.count_other_replicas(two, model_id("m"), now) == 0);
        CHECK(table.available_elsewhere(two, m, now + 2s));
    }
}

TEST_CASE("A model is loaded elsewhere if that is sooner than the end of a pause")
{
    instant now{1h};
    const auto spec = engine();
    backend_table table({.own_domain = domain_id("north"), .own_host = host_id("h")});
    auto holder = entry_of(one);
    holder.models = {{model_id("rare"), {}}};
    table.apply_entry(holder, now);
    table.apply_entry(entry_of(two), now);
    table.apply_owner(two, {.host = host_id("h"),
                            .incarnation = incarnation_id(1),
                            .fencing = fencing_number(1),
                            .may_order_at = now,
                            .reported_at = now});
    server_criteria need{.service = service_id("svc"),
                         .target = {.model = model_id("rare"), .adapter = {}},
                         .tried = {}};
    SECTION("a long pause")
    {
        table.notices().record_pause(one, 1, 30s, now);
        auto choice = table.choose(need, &spec, now);
        CHECK(choice.action == action_kind::load);
        CHECK(choice.server == two);
        CHECK(choice.expected_wait == 500ms);
    }
    SECTION("a short one is waited for, and another replica is wanted")
    {
        table.notices().record_pause(one, 1, 200ms, now);
        CHECK(table.choose(need, &spec, now).action == action_kind::pause);
        auto more = table.choose_extra_replica(need, spec, now);
        REQUIRE(more);
        CHECK(more->server == two);
    }
    SECTION("a pause of the only engine with room delays the load")
    {
        table.notices().record_pause(two, 1, 10s, now);
        table.remove(one);
        auto choice = table.choose(need, &spec, now);
        CHECK(choice.action == action_kind::load);
        CHECK(choice.expected_wait >= 10s);
    }
}
