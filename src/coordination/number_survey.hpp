#pragma once

/// \file
/// Which hosts have told this one the fencing numbers they know, before it claims an assignment.
///
/// It is made for hosts that have just started or were cut off, in front of a log that has lost
/// records: the log does not show the numbers of the owners that it has forgotten, but other hosts
/// have heard them. A host asks when an assignment is listed for it, and claims when all hosts in
/// touch have answered. Hosts that do not answer delay a claim by `patience` at most, as they may
/// be gone. Pure: the time and the hosts are arguments.

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "coordination/order_membership.hpp"
#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Names one question; answers repeat it.
using survey_round = strong_number<struct survey_round_tag>;

struct number_survey_options
{
    /// The first question's name. Drawn at random, so that answers to an earlier process of the
    /// host do not count.
    survey_round first_round;
    /// The longest that a claim is delayed.
    milliseconds patience;
};

class number_survey
{
public:
    explicit number_survey(const number_survey_options& options)
        : options_(options), next_round_(options.first_round)
    {
    }

    /// Names a question that is sent to the other hosts at `now`.
    survey_round begin_round(instant now);
    void record_answer(const host_id& from, survey_round round);

    /// Whether any host has answered since this one started.
    bool has_answers() const { return !answered_.empty(); }

    enum class state
    {
        /// All hosts in touch have answered, or there is none to ask.
        complete,
        /// The survey took longer than its patience.
        given_up,
        waiting,
    };
    /// What is known of questions that were sent to these hosts at `since` or later.
    state state_at(instant now, instant since, const std::vector<known_host>& hosts) const;

private:
    number_survey_options options_;
    survey_round next_round_;
    /// When the newest questions were sent.
    std::map<survey_round, instant> rounds_;
    /// When the newest question was sent that each host has answered.
    std::map<host_id, instant> answered_;
};

const char* to_text(number_survey::state it);

} // namespace banyanshunt
