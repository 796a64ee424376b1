/// \file
/// Tests of the load tool: its latency histogram, its load plan and its audit of refusals.

#include <algorithm>

#include <catch2/catch.hpp>

#include "tools/latency_histogram.hpp"
#include "tools/load_plan.hpp"
#include "tools/rate_audit.hpp"

using namespace banyanshunt;

namespace
{

const instant noon{std::chrono::hours(12)};
const workspace_id clinics("clinics");
const std::map<workspace_id, workspace_rate> ten_a_second = {
    {clinics, {.rate = millitokens_per_second(10'000), .burst = tokens(100)}}};

audited_request granted(seconds at, std::int64_t n)
{
    return {.workspace = clinics, .at = noon + at, .requested = tokens(n), .granted = tokens(n)};
}

audited_request refused(seconds at, std::int64_t n)
{
    return {.workspace = clinics, .at = noon + at, .requested = tokens(n), .granted = {}};
}

workload two_streams()
{
    workload load;
    load.duration = seconds(100);
    load.streams.resize(2);
    load.streams[0].name_prefix = "m";
    load.streams[0].millirequests_per_second = 10'000;
    load.streams[1].name_prefix = "a";
    load.streams[1].names = 10;
    load.streams[1].millirequests_per_second = 10'000;
    load.streams[1].burst_factor = 9;
    load.streams[1].burst_every = seconds(50);
    return load;
}

} // namespace

TEST_CASE("a latency histogram has a relative error of at most 1/32")
{
    latency_histogram it;
    CHECK(it.quantile(0.99) == nanoseconds(0));
    for (int i = 1; i <= 100'000; ++i)
    {
        it.add(std::chrono::microseconds(i * 10));
    }
    for (double q : {0.5, 0.9, 0.99, 0.999})
    {
        double exact = q * 1e9;
        auto reported = static_cast<double>(it.quantile(q).count());
        CHECK(reported >= exact);
        CHECK(reported <= exact * (1 + 1.0 / 32) + 1000);
    }
    CHECK(it.quantile(1) == seconds(1));

    SECTION("merging adds the counts of another histogram")
    {
        latency_histogram other;
        other.add(seconds(5));
        it.merge(other);
        CHECK(it.count() == 100'001);
        CHECK(it.largest() == seconds(5));
    }
}

TEST_CASE("a load plan repeats with its seed and keeps the mean rate")
{
    workload load = two_streams();
    auto plan = plan_load(load);
    auto again = plan_load(load);
    REQUIRE(plan.size() == again.size());
    CHECK(std::equal(plan.begin(), plan.end(), again.begin(),
                     [](const auto& a, const auto& b)
                     { return a.at == b.at && a.name == b.name; }));
    // Two streams of 1000 requests expected each; five standard deviations are 224.
    CHECK(plan.size() > 1776);
    CHECK(plan.size() < 2224);

    SECTION("bursts fall into the first tenth of their period")
    {
        auto in_burst = std::count_if(
            plan.begin(), plan.end(),
            [](const auto& it) { return it.stream == 1 && it.at % seconds(50) < seconds(5); });
        auto in_all =
            std::count_if(plan.begin(), plan.end(), [](const auto& it) { return it.stream == 1; });
        // Half of the stream's requests are expected there, a tenth without bursts.
        CHECK(in_burst * 10 > in_all * 4);
        CHECK(in_burst * 10 < in_all * 6);
    }
    SECTION("another seed gives another plan")
    {
        load.seed = 2;
        auto other = plan_load(load);
        CHECK(other.front().at != plan.front().at);
    }
}

TEST_CASE("a refusal is audited against one bucket charged with all grants")
{
    SECTION("a refusal is correct when the bucket is empty")
    {
        auto out =
            audit_refusals({granted(seconds(0), 100), refused(seconds(1), 20)}, ten_a_second);
        CHECK(out[clinics].refused == 1);
        CHECK(out[clinics].refused_within_rate == 0);
    }
    SECTION("a refusal is wrong when the bucket has refilled")
    {
        auto out =
            audit_refusals({granted(seconds(0), 100), refused(seconds(3), 20)}, ten_a_second);
        CHECK(out[clinics].refused_within_rate == 1);
    }
    SECTION("records may come in any order")
    {
        auto out =
            audit_refusals({refused(seconds(1), 20), granted(seconds(0), 100)}, ten_a_second);
        CHECK(out[clinics].refused_within_rate == 0);
    }
    SECTION("a grant beyond rate and burst is counted")
    {
        auto out =
            audit_refusals({granted(seconds(0), 100), granted(seconds(1), 20)}, ten_a_second);
        CHECK(out[clinics].granted_beyond_rate == 1);
    }
}

TEST_CASE("the deployments' example workloads are read without errors")
{
    for (const char* path : {"examples/agency/load.ini", "examples/chautari/load.ini"})
    {
        auto file = settings_file::read(path);
        workload load = read_workload(file);
        CHECK(file.errors().empty());
        CHECK(load.workspaces.size() == 5);
        auto plan = plan_load(load);
        CHECK(plan.size() > load.streams.size());
    }
}
