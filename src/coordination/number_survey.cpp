#include "coordination/number_survey.hpp"

#include <algorithm>

namespace banyanshunt
{

namespace
{

/// Answers to older questions come too late to count.
constexpr std::size_t max_rounds = 32;

} // namespace

survey_round number_survey::begin_round(instant now)
{
    auto round = next_round_;
    next_round_ += survey_round(1);
    rounds_.emplace(round, now);
    if (rounds_.size() > max_rounds)
    {
        rounds_.erase(rounds_.begin());
    }
    return round;
}

void number_survey::record_answer(const host_id& from, survey_round round)
{
    auto asked = rounds_.find(round);
    if (asked != rounds_.end())
    {
        auto& newest = answered_[from];
        newest = std::max(newest, asked->second);
    }
}

number_survey::state number_survey::state_at(instant now, instant since,
                                             const std::vector<known_host>& hosts) const
{
    auto is_live = [](const known_host& host) { return host.live; };
    auto has_answered = [&](const known_host& host)
    {
        auto answered = answered_.find(host.it.host);
        return answered != answered_.end() && answered->second >= since;
    };
    // If none is in touch, this host may be cut off from all of them.
    bool any_live = std::any_of(hosts.begin(), hosts.end(), is_live);
    bool all_answered =
        std::all_of(hosts.begin(), hosts.end(),
                    [&](const known_host& host) { return !host.live || has_answered(host); });
    if (hosts.empty() || (any_live && all_answered))
    {
        return state::complete;
    }
    return now >= since + options_.patience ? state::given_up : state::waiting;
}

const char* to_text(number_survey::state it)
{
    switch (it)
    {
    case number_survey::state::complete:
        return "complete";
    case number_survey::state::given_up:
        return "given_up";
    case number_survey::state::waiting:
        return "waiting";
    }
    return "unknown";
}

} // namespace banyanshunt
