/// \file
/// Tests of the merged timeline of an engine and of what it shows of a pair that breaks the rule.

#include <algorithm>

#include <catch2/catch.hpp>

#include "tools/engine_timeline.hpp"

using namespace banyanshunt;

namespace
{

std::size_t position(const std::vector<std::string>& all, const std::string& text)
{
    auto it = std::ranges::find_if(all, [&](const auto& line)
                                   { return line.find(text) != std::string::npos; });
    return static_cast<std::size_t>(it - all.begin());
}

} // namespace

TEST_CASE("the logs of an engine's two owners and its record make one timeline")
{
    order_logs logs;
    logs.add_host_log({"event=start host=h1 domain=a life=1 unix_ms=1000",
                       "event=engine_owned server=e1 partition=4 fence=7 unix_ms=2000",
                       "event=duty_taken partition=4 fence=7 kind=first wait_ms=0 unix_ms=2000",
                       "event=order server=e1 what=load model=m fence=7 sent=no_response status=0 "
                       "took_ms=1000 written_ms=2 membership_ms=500 unix_ms=4000"},
                      "first.log");
    logs.add_host_log({"event=start host=h2 domain=b life=1 unix_ms=1500",
                       "event=duty_taken partition=4 fence=9 kind=released wait_ms=0 unix_ms=5000",
                       "event=duty_taken partition=5 fence=8 kind=first wait_ms=0 unix_ms=5000"},
                      "second.log");
    logs.add_record({"event=order_received server=e1 holder=h1 fence=7 status=202 late=true "
                     "arrived_unix_ms=3003 carried_out_unix_ms=6400",
                     "event=order_received server=e1 holder=h2 fence=9 status=202 late=false "
                     "arrived_unix_ms=6000 carried_out_unix_ms=6000"});

    SECTION("claims, checks, arrivals and effects are sorted by time")
    {
        auto all = format_timeline(logs.timeline("e1"), logs.begun());
        CHECK(position(all, "duty_taken partition=4 fence=7") < position(all, "order_written"));
        CHECK(all[position(all, "order_written")].find("3002") != std::string::npos);
        CHECK(position(all, "order_arrived holder=h2") < position(all, "order_effect holder=h1"));
        CHECK(position(all, "partition=5") == all.size());
    }

    SECTION("the pair that breaks the rule by effect alone is shown from the earlier claim on")
    {
        auto breaches = judge_engines(logs, std::chrono::milliseconds(1000));
        REQUIRE(breaches.size() == 2);
        auto all = explain_breaches(logs, breaches, 1, logs.begun());
        CHECK(all[0].starts_with("e1: a lower fencing number after a higher one (by effect)"));
        CHECK(position(all, "start domain=a") == all.size());
        CHECK(position(all, "order_effect holder=h1") == all.size() - 1);
    }

    SECTION("lines that are malformed or out of range are skipped and counted")
    {
        logs.add_host_log({"", "junk", "event=order server=e1 unix_ms=99999999999999999999"}, "x");
        logs.add_host_log({"event=duty_taken partition=x unix_ms=1", "event=y unix_ms=1"}, "x");
        logs.add_record({"event=order_received server=e1 holder=h1 fence=-1 status=202 late=true"});
        CHECK(logs.skipped() == 5);
        CHECK(logs.orders().at("e1").size() == 2);
    }
}
