// What a host has to hear of earlier owners before it claims an assignment.

#include <catch2/catch.hpp>

#include "coordination/number_survey.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

TEST_CASE("A host claims when the others have told it the numbers they know (ONE)")
{
    using state = number_survey::state;
    number_survey survey({.first_round = survey_round(100), .patience = 1500ms});
    const instant listed{1h};
    const host_id first("front-1");
    const host_id second("front-2");
    auto host = [](const host_id& name, bool live)
    { return known_host{.it = {.host = name, .domain = domain_id("north")}, .live = live}; };
    const std::vector<known_host> both{host(first, true), host(second, true)};

    SECTION("there is no other host")
    {
        CHECK(survey.state_at(listed, listed, {}) == state::complete);
    }
    SECTION("it asks when an assignment is listed for it")
    {
        const auto round = survey.begin_round(listed);
        CHECK(survey.state_at(listed + 1s, listed, both) == state::waiting);
        survey.record_answer(first, round);
        SECTION("and one host has not answered: it waits, but not for ever")
        {
            CHECK(survey.state_at(listed + 1s, listed, both) == state::waiting);
            CHECK(survey.state_at(listed + 1500ms, listed, both) == state::given_up);
        }
        SECTION("and all have answered")
        {
            survey.record_answer(second, round);
            CHECK(survey.state_at(listed + 5ms, listed, both) == state::complete);
            SECTION("which says nothing of owners since, when it is listed again")
            {
                CHECK(survey.state_at(listed + 9s, listed + 9s, both) == state::waiting);
            }
        }
        SECTION("and the host that has not answered is out of touch")
        {
            CHECK(survey.state_at(listed + 5ms, listed, {host(first, true), host(second, false)}) ==
                  state::complete);
        }
    }
    SECTION("no other host is in touch: this one may be cut off")
    {
        const std::vector<known_host> silent{host(first, false), host(second, false)};
        CHECK(survey.state_at(listed + 1s, listed, silent) == state::waiting);
        CHECK(survey.state_at(listed + 1500ms, listed, silent) == state::given_up);
    }
    SECTION("the answer is to a question of an earlier process")
    {
        survey.begin_round(listed);
        survey.record_answer(first, survey_round(7));
        survey.record_answer(second, survey_round(7));
        CHECK(survey.state_at(listed + 5ms, listed, both) == state::waiting);
    }
}
