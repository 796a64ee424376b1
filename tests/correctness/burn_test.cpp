/// \file
/// Tests of the burn report: which requests each objective counts, and counter resets.

#include <catch2/catch.hpp>

#include "tools/burn_report.hpp"

using namespace banyanshunt;

namespace
{

metric_scrape scrape(int at, double requests, double bad, double schools_failed)
{
    return {.at = seconds(at),
            .host = "n1",
            .samples = {
                {"banyanshunt_requests_total{kind=\"completion\"}", requests},
                {"banyanshunt_refusals_total{reason=\"no_replica\",run=\"not_run\"}", bad},
                {"banyanshunt_refusals_total{reason=\"over_rate\",run=\"not_run\"}", 2 * bad},
                {"banyanshunt_first_token_seconds_count", requests},
                {"banyanshunt_first_token_seconds_bucket{le=\"8\"}", requests - bad},
                {"banyanshunt_workspace_outcomes_total{result=\"answered\",workspace=\"clinics\"}",
                 requests},
                {"banyanshunt_workspace_outcomes_total{result=\"failed\",workspace=\"schools\"}",
                 schools_failed},
                {"banyanshunt_workspace_outcomes_total{result=\"answered\",workspace=\"schools\"}",
                 requests - schools_failed}}};
}

} // namespace

TEST_CASE("burn is the fraction of bad requests over the allowed fraction")
{
    std::vector<metric_scrape> scrapes = {scrape(0, 0, 0, 0), scrape(60, 1000, 10, 50)};
    objective it{.name = "x", .good_permille = 990};

    SECTION("availability counts only the system's own reasons")
    {
        auto burn = burn_at(it, scrapes, seconds(60), seconds(60));
        CHECK(burn.bad == 10);
        CHECK(burn.rate.value() == Approx(1));
    }
    SECTION("refusals for the rate limit are counted separately")
    {
        it.kind = objective_kind::over_rate;
        CHECK(burn_at(it, scrapes, seconds(60), seconds(60)).rate.value() == Approx(2));
    }
    SECTION("first tokens after the limit are bad")
    {
        it.kind = objective_kind::first_token;
        it.limit = milliseconds(8000);
        CHECK(burn_at(it, scrapes, seconds(60), seconds(60)).rate.value() == Approx(1));
    }
    SECTION("the worst workspace is named")
    {
        it.kind = objective_kind::worst_workspace;
        auto burn = burn_at(it, scrapes, seconds(60), seconds(60));
        CHECK(burn.workspace == "schools");
        CHECK(burn.rate.value() == Approx(5));
    }
    SECTION("without requests there is no burn rate, rather than zero")
    {
        CHECK_FALSE(burn_at(it, {scrapes[1]}, seconds(60), seconds(60)).rate);
    }
    SECTION("the counters of a replaced host start at zero")
    {
        scrapes.push_back(scrape(120, 100, 5, 0));
        CHECK(burn_at(it, scrapes, seconds(60), seconds(120)).bad == 5);
    }
    SECTION("scrapes survive encoding and decoding")
    {
        auto decoded = decode_scrapes(encode_scrapes(scrapes));
        REQUIRE(decoded.size() == 2);
        CHECK(decoded[1].samples == scrapes[1].samples);
        CHECK(decoded[1].at == seconds(60));
    }
    SECTION("the HTML page needs no network")
    {
        objectives requested{.all = {it}, .windows = {seconds(60)}};
        auto page = burn_html(make_burn_report(requested, scrapes));
        CHECK_THAT(page, Catch::Contains("<svg") && !Catch::Contains("http"));
    }
}

TEST_CASE("the deployments' example objectives are read without errors")
{
    for (const char* path : {"examples/agency/burn.ini", "examples/chautari/burn.ini"})
    {
        auto file = settings_file::read(path);
        auto requested = read_objectives(file);
        CHECK(file.errors().empty());
        CHECK(requested.all.size() == 4);
        CHECK(requested.windows.size() == 3);
    }
}
