// One host that receives the real datagrams of hosts of another failure domain. What a host of that
// domain forwards counts from when its first sender sent it, not from when it arrived.

#include <catch2/catch.hpp>

#include "correctness/receiving_host.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// How long the forwarding host had kept the message.
constexpr milliseconds kept_for{4000};

} // namespace

TEST_CASE("The limit of a server in a report that another host forwards")
{
    receiving_host it;
    auto& limits = it.context.servers.limits();
    instant ended_at = it.context.now() - 2s;
    limits.record(
        server,
        {.start_time_ms = start_time, .rate = millirequests_per_second(2300), .at = ended_at - 3s});
    limits.record(server, {.start_time_ms = start_time, .rate = {}, .at = ended_at});
    REQUIRE_FALSE(limits.in_force(server));
    auto message = receiving_host::message_of("north-1");
    auto& statement = *message.add_limits();
    statement.set_server(server.str());
    statement.set_born_ms(start_time);
    statement.set_stated(true);
    statement.set_millirequests_per_s(2300);
    statement.set_age_ms(100);

    SECTION("it ended while the report was kept, and does not come back")
    {
        REQUIRE(it.receive(receiving_host::forwarded(message, kept_for)));
        CHECK_FALSE(limits.in_force(server));

        SECTION("until the server states it again")
        {
            REQUIRE(it.receive(receiving_host::forwarded(message, 10ms)));
            CHECK(limits.in_force(server));
        }
    }
    SECTION("its end, kept for longer than the server has stated a limit again, does not end it")
    {
        instant stated_at = it.context.now() - 2s;
        limits.record(
            server,
            {.start_time_ms = start_time, .rate = millirequests_per_second(2300), .at = stated_at});
        statement.set_stated(false);
        REQUIRE(it.receive(receiving_host::forwarded(message, kept_for)));
        CHECK(limits.in_force(server));
    }
}

TEST_CASE("What a server said of its leaving in a report that another host forwards")
{
    receiving_host it;
    const auto& notices = it.context.servers.notices();
    auto message = receiving_host::message_of("north-1");
    auto& notice = *message.add_leaving();
    notice.set_server(server.str());
    notice.set_born_ms(start_time);

    SECTION("counts from when the server said it")
    {
        notice.set_age_ms(100);
        instant sent_at = it.context.now();
        REQUIRE(it.receive(receiving_host::forwarded(message, kept_for)));
        REQUIRE(notices.leaving(server, start_time));
        auto known = notices.all_leaving().at(server).notice;
        CHECK(known.source == notice_source::peer);
        CHECK(known.stated_at < sent_at);
        CHECK(it.context.now() - known.stated_at >= kept_for + 100ms);
    }
    SECTION("is not believed if it is older than any host repeats it")
    {
        notice.set_age_ms(29000);
        REQUIRE(it.receive(receiving_host::forwarded(message, kept_for)));
        CHECK_FALSE(notices.leaving(server, start_time));
    }
}

TEST_CASE("The owner of an engine in a placement that another host forwards")
{
    receiving_host it;
    auto owner_wait = [&]
    { return it.context.servers.owner_wait(*it.context.servers.find(server), it.context.now()); };
    auto placement = receiving_host::message_of("north-1");
    auto& held = *placement.add_placements();
    held.set_server(server.str());
    held.set_born_ms(start_time);
    held.set_fence(5);

    SECTION("gave the engine up while the placement was kept, and is not asked for loads again")
    {
        auto message = receiving_host::message_of("north-1");
        auto& pending = *message.add_pending_owners();
        pending.set_server(server.str());
        pending.set_fence(5);
        pending.set_may_order_in_ms(60000);
        REQUIRE(it.receive(message));
        REQUIRE(owner_wait() > 30s);
        REQUIRE(it.receive(receiving_host::forwarded(placement, kept_for)));
        CHECK(owner_wait() > 30s);

        SECTION("until it owns the engine again")
        {
            REQUIRE(it.receive(placement));
            CHECK(owner_wait() == 0ms);
        }
        SECTION("but a later owner is")
        {
            held.set_fence(6);
            REQUIRE(it.receive(receiving_host::forwarded(placement, kept_for)));
            CHECK(owner_wait() == 0ms);
        }
    }
}

TEST_CASE("A host's load in a report that another host forwards")
{
    receiving_host it;
    auto load = [&] { return backend_table::load(*it.context.servers.find(server)); };
    auto report = [](std::uint32_t running, bool complete)
    {
        auto message = receiving_host::message_of("north-1");
        message.mutable_report()->set_complete(complete);
        auto& use = *message.mutable_report()->add_servers();
        use.set_server(server.str());
        use.set_running(running);
        return message;
    };

    SECTION("does not replace what the host itself has told since")
    {
        REQUIRE(it.receive(report(3, false)));
        REQUIRE(load() == 3);

        SECTION("listed with less")
        {
            REQUIRE(it.receive(receiving_host::forwarded(report(1, true), 1000ms)));
            CHECK(load() == 3);
        }
        SECTION("not listed")
        {
            auto message = report(1, true);
            message.mutable_report()->clear_servers();
            REQUIRE(it.receive(receiving_host::forwarded(message, 1000ms)));
            CHECK(load() == 3);
        }
        SECTION("that it has no more")
        {
            REQUIRE(it.receive(report(0, false)));
            REQUIRE(load() == 0);
            REQUIRE(it.receive(receiving_host::forwarded(report(1, true), 1000ms)));
            CHECK(load() == 0);
        }
    }
    SECTION("replaces an older one that was forwarded later, whichever comes last")
    {
        auto newer = report(1, true);
        newer.mutable_report()->clear_servers();
        REQUIRE(it.receive(receiving_host::forwarded(newer, 200ms)));
        REQUIRE(it.receive(receiving_host::forwarded(report(2, true), 1200ms)));
        CHECK(load() == 0);
    }
}
