/// \file
/// Tests of the scenario language: errors name the line and the allowed forms, and each checker
/// detects a planted violation.

#include <catch2/catch.hpp>

#include "scenario_language/checkers.hpp"
#include "scenario_language/parser.hpp"

using namespace banyanshunt;
using namespace banyanshunt::scenario;

namespace
{

const instant noon{std::chrono::hours(12)};
const workspace_id clinics("clinics");

observed_request answered(const std::string& text, const std::string& expected_text)
{
    observed_request it;
    it.name = "r-0";
    it.expected_text = expected_text;
    it.runs = 1;
    it.workspace = clinics;
    it.response.emplace();
    it.response->status = 200;
    it.response->text = text;
    it.response->complete = true;
    return it;
}

observed_request refused(const std::string& reason, const std::string& run)
{
    observed_request it;
    it.name = "r-1";
    it.response.emplace();
    it.response->status = 503;
    it.response->reason = reason;
    it.response->run = run;
    return it;
}

observed_request lost()
{
    observed_request it;
    it.name = "r-2";
    it.response.emplace();
    return it;
}

observed_request granted(milliseconds sent, milliseconds ended, std::int64_t tokens)
{
    observed_request it = answered("", "");
    it.tokens = tokens;
    it.response->sent = noon + sent;
    it.response->ended = noon + ended;
    return it;
}

std::string first_error(const std::string& line)
{
    auto it = parse_scenario("seed 1\n" + line, "x.scn");
    return it.errors.empty() ? "none" : it.errors.front();
}

} // namespace

TEST_CASE("errors in a scenario are reported with their line and the allowed forms")
{
    CHECK(first_error("host n1 in north") == "none");
    CHECK(first_error("host n1 at north") == "x.scn:2: must be \"host HOST in DOMAIN\"");
    CHECK(first_error("pause long") == "x.scn:2: must be \"pause MS\"");
    CHECK_THAT(
        first_error("hots n1"),
        Catch::StartsWith("x.scn:2: \"hots\" begins no statement; allowed are adapter, at,"));
    CHECK(parse_scenario("start\n", "x.scn").errors.front() ==
          "x.scn:1: the first statement must be \"seed COUNT\"");

    SECTION("values are stored by name, the second one of a name with a number")
    {
        auto it = parse_scenario("seed 1\nworkspace w rate 10 burst 20\n", "x.scn");
        CHECK(it.statements.at(1).number("COUNT") == 10);
        CHECK(it.statements.at(1).number("COUNT2") == 20);
    }
    SECTION("every form is parsed as its own kind")
    {
        for (const auto& form : statement_forms())
        {
            std::string line = form.pattern;
            for (const char* number : {"COUNT", "MS", "MIB"})
            {
                for (auto at = line.find(number); at != std::string::npos; at = line.find(number))
                {
                    line.replace(at, std::string(number).size(), "7");
                }
            }
            auto it = parse_scenario("seed 1\n" + line, "x.scn");
            INFO(line);
            REQUIRE(it.errors.empty());
            CHECK(it.statements.back().kind == form.kind);
        }
    }
}

TEST_CASE("each checker of outcomes catches a planted violation")
{
    auto good = answered("tok0 tok1 ", "tok0 tok1 ");
    auto with_gap = answered("tok0 tok2 ", "tok0 tok1 ");
    auto not_run = refused("over_rate", "not_run");

    SECTION("answered")
    {
        CHECK_FALSE(check_answered({good}));
        CHECK(check_answered({good, not_run}));
        CHECK(check_answered({lost()}));
        CHECK(check_answered({}));
    }
    SECTION(
        "answered or refused: a dropped request, and a refusal that does not say whether it ran")
    {
        CHECK_FALSE(check_settled({good, not_run}));
        CHECK(check_settled({good, lost()}));
        CHECK(check_settled({refused("over_rate", "")}));
        observed_request pending;
        CHECK(check_settled({pending}));
    }
    SECTION("refused, and for the expected reason")
    {
        CHECK_FALSE(check_refused({not_run}, ""));
        CHECK_FALSE(check_refused({not_run}, "over_rate"));
        CHECK(check_refused({not_run}, "deadline"));
        CHECK(check_refused({good}, ""));
    }
    SECTION("text: a gap, another request's text, an interrupted stream with foreign text")
    {
        CHECK_FALSE(check_whole({good}));
        CHECK(check_whole({with_gap}));
        CHECK(check_whole({answered("not yours tok0 tok1 ", "tok0 tok1 ")}));
        CHECK(check_whole({answered("tok0 ", "tok0 tok1 ")}));
        auto broken = refused("timeout", "may_have_run");
        broken.expected_text = "tok0 tok1 ";
        broken.response->text = "tok0 ";
        CHECK_FALSE(check_whole({broken}));
        broken.response->text = "tok1 ";
        CHECK(check_whole({broken}));
    }
    SECTION("run status: reported as not run, but ran")
    {
        CHECK_FALSE(check_truthful({good, not_run}));
        not_run.runs = 1;
        CHECK(check_truthful({good, not_run}));
        not_run.response->run = "may_have_run";
        CHECK_FALSE(check_truthful({not_run}));
    }
    SECTION("at most once, and exactly once")
    {
        CHECK_FALSE(check_at_most_once({good}));
        CHECK_FALSE(check_once({good}));
        CHECK(check_once({not_run}));
        good.runs = 2;
        CHECK(check_at_most_once({good}));
        CHECK(check_once({good}));
    }
}

TEST_CASE("each checker of the fleet catches a planted violation")
{
    CHECK_FALSE(check_no_key({"accept: */*"}, {"s3cret"}));
    CHECK(check_no_key({"authorization: Bearer k1.s3cret"}, {"s3cret"}));
    CHECK_FALSE(check_replicas(2, 2));
    CHECK(check_replicas(3, 2));
    CHECK_FALSE(check_memory(0));
    CHECK(check_memory(1));
    CHECK_FALSE(check_no_revert("n1", {1, 1, 2, 5}));
    CHECK(check_no_revert("n1", {1, 3, 2}).value() == "n1 went back from ticket 3 to 2");
    CHECK_FALSE(check_no_new_work("e1", 4, 4));
    CHECK(check_no_new_work("e1", 4, 5));
    CHECK_FALSE(check_clean_stop("n1", true));
    CHECK(check_clean_stop("n1", false));
    CHECK(check_clean_stop("n1", {}));
}

TEST_CASE("the rate checker detects grants beyond burst and rate in any interval")
{
    constexpr std::int64_t rate = 100;
    constexpr std::int64_t burst = 50;
    auto first = granted(milliseconds(0), milliseconds(100), 50);

    SECTION("grants covered by refill are allowed")
    {
        auto later = granted(milliseconds(400), milliseconds(500), 50);
        CHECK_FALSE(check_within_rate({first, later}, clinics, rate, burst));
    }
    SECTION("grants not covered by refill are detected")
    {
        auto later = granted(milliseconds(300), milliseconds(400), 50);
        CHECK(check_within_rate({first, later}, clinics, rate, burst));
    }
    SECTION("an idle hour does not hide a double burst after it")
    {
        auto old = granted(milliseconds(-3600'000), milliseconds(-3599'900), 1);
        auto second = granted(milliseconds(0), milliseconds(100), 50);
        CHECK(check_within_rate({old, first, second}, clinics, rate, burst));
    }
    SECTION("refused requests are not counted")
    {
        auto no = refused("over_rate", "not_run");
        no.workspace = clinics;
        no.tokens = 1000;
        CHECK_FALSE(check_within_rate({first, no}, clinics, rate, burst));
    }
    SECTION("the check fails when nothing was granted")
    {
        CHECK(check_within_rate({}, clinics, rate, burst));
    }
}
