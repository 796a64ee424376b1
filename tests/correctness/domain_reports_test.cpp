/// \file
/// Guards against reports between failure domains whose number grows with the square of the fleet,
/// against domains that go unheard when a reporter dies, and against forwarded reports that replace
/// newer ones.

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "coordination/backend_table.hpp"
#include "coordination/domain_reporters.hpp"
#include "serve/domain_reports.hpp"
#include "transport/loop/event_loop.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const domain_id domain("north");
constexpr int domain_hosts = 33;

host_id host_name(int n)
{
    return host_id("north-" + std::to_string(n));
}

std::vector<host_id> live_peers_of(const host_id& own, const std::set<host_id>& dead = {})
{
    std::vector<host_id> live;
    for (int n = 0; n < domain_hosts; ++n)
    {
        if (host_name(n) != own && !dead.contains(host_name(n)))
        {
            live.push_back(host_name(n));
        }
    }
    return live;
}

std::set<host_id> reporters(const std::set<host_id>& dead = {})
{
    std::set<host_id> found;
    for (int n = 0; n < domain_hosts; ++n)
    {
        auto own = host_name(n);
        if (!dead.contains(own) &&
            choose_reporter_role(domain, own, live_peers_of(own, dead)) == reporter_role::domain)
        {
            found.insert(own);
        }
    }
    return found;
}

/// One of the domain's reporters, and the reports of its peers.
class reporter_case
{
public:
    explicit reporter_case(const host_id& name)
        : context_(settings_of(name), loop_.get_executor()), peers_(context_), reports(context_)
    {
    }

    static host_settings settings_of(const host_id& name)
    {
        host_settings settings;
        settings.name = name;
        settings.domain = domain;
        settings.ip = "127.0.0.1";
        settings.first_peer_port = 7600;
        return settings;
    }

    peers::peer_message report(const host_id& host, int running) const
    {
        peers::peer_message message;
        message.set_host(host.str());
        message.set_domain(domain.str());
        message.set_life(7);
        auto& use = *message.mutable_report()->add_servers();
        use.set_server("i-1");
        use.set_running(static_cast<std::uint32_t>(running));
        use.add_units()->set_model("m");
        message.add_ends()->set_loan(3);
        return message;
    }
    void keep_all()
    {
        for (const auto& host : live_peers_of(context_.settings.name))
        {
            reports.keep(report(host, 2), "127.0.0.2:7600");
        }
    }
    std::vector<peers::peer_message> take_due()
    {
        return reports.take_due(report(context_.settings.name, 1), peers_);
    }

private:
    asio::io_context loop_;
    host_context context_;
    peer_list peers_;

public:
    domain_reports reports;
};

} // namespace

TEST_CASE("a failure domain's reports to the other domains")
{
    SECTION("in a domain of 33 hosts two report for all, and all hosts agree on them")
    {
        auto both = reporters();
        CHECK(both.size() == reporters_per_domain);

        SECTION("when one dies, another takes its place")
        {
            auto next = reporters({*both.begin()});
            CHECK(next.size() == reporters_per_domain);
            CHECK(next.contains(*both.rbegin()));
        }
    }
    SECTION("in a small domain each host reports for itself")
    {
        CHECK(choose_reporter_role(domain, host_name(0), {host_name(1), host_name(2)}) ==
              reporter_role::self);
    }
    SECTION("a reporter sends every second period, and all reports in a few datagrams")
    {
        reporter_case it(*reporters().begin());
        it.keep_all();
        auto first = it.take_due();
        auto second = it.take_due();
        CHECK(first.empty());
        REQUIRE_FALSE(second.empty());
        CHECK(second.size() < 4);
        std::set<std::string> hosts;
        for (const auto& bundle : second)
        {
            CHECK(bundle.ByteSizeLong() < 5000);
            for (const auto& message : bundle.bundled())
            {
                hosts.insert(message.host());
                CHECK(message.report().complete());
                // What concerns the reporter alone is left out.
                CHECK(message.ends().empty());
                CHECK(message.report().servers(0).units().empty());
            }
        }
        CHECK(hosts.size() == domain_hosts);

        SECTION("what a host that fell silent reported is no longer sent")
        {
            it.reports.expire(-1ms, 1s);
            CHECK(it.take_due().size() == 1);
            CHECK(it.take_due().front().bundled().empty());
        }
    }
    SECTION("another host of the domain sends nothing")
    {
        auto both = reporters();
        int n = 0;
        while (both.contains(host_name(n)))
        {
            ++n;
        }
        reporter_case it(host_name(n));
        it.keep_all();
        CHECK(it.take_due().empty());
        CHECK(it.take_due().empty());
    }
    SECTION("a placement is sent again for those whose relay was lost, in its newest form")
    {
        reporter_case it(*reporters().begin());
        it.keep_all();
        for (int fence : {1, 2})
        {
            auto message = it.report(host_name(5), 0);
            message.clear_report();
            auto& placement = *message.add_placements();
            placement.set_server("i-9");
            placement.set_fence(fence);
            it.reports.keep(message, "127.0.0.2:7600");
        }
        it.take_due();
        std::vector<std::int64_t> fences;
        for (const auto& bundle : it.take_due())
        {
            for (const auto& message : bundle.bundled())
            {
                for (const auto& placement : message.placements())
                {
                    fences.push_back(placement.fence());
                }
            }
        }
        CHECK(fences == std::vector<std::int64_t>{2});
    }
}

TEST_CASE("what was forwarded and what came directly")
{
    const instant now{std::chrono::hours(1)};
    const server_id server("i-1");
    const host_id peer("south-1");
    backend_table table({.own_domain = domain, .own_host = host_name(0)});
    backend_entry entry;
    entry.id = server;
    table.apply_entry(entry, now);

    SECTION("a host's complete report clears the servers that it does not list")
    {
        table.apply_peer_load(peer, server, 3, now);
        CHECK(table.begin_complete_report(peer, now));
        CHECK(backend_table::load(*table.find(server)) == 0);
    }
    SECTION("an older placement of the same owner does not replace a newer one")
    {
        server_placement older;
        older.owner = peer;
        older.fencing = fencing_number(4);
        older.reported_at = now - 900ms;
        server_placement newer = older;
        newer.reported_at = now;
        newer.models.emplace(model_id("m"), held_model{.ready_at = now});
        table.apply_placement(server, newer);
        table.apply_placement(server, older);
        CHECK(table.holds(*table.find(server), {.model = model_id("m"), .adapter = {}}, now));
    }
    SECTION("an earlier incarnation that is told late does not end a later one's ownership")
    {
        table.record_heard(peer, incarnation_id(2), now);
        table.apply_owner(server, {.host = peer,
                                   .incarnation = incarnation_id(2),
                                   .fencing = fencing_number(5),
                                   .may_order_at = now,
                                   .reported_at = now});
        table.record_heard(peer, incarnation_id(1), now - 900ms);
        CHECK(table.owner_wait(*table.find(server), now) == 0ms);
    }
}
