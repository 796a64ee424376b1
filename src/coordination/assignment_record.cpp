#include "coordination/assignment_record.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace banyanshunt
{

namespace
{

constexpr std::string_view complete_suffix = " begun";
/// Followed by a number of milliseconds.
constexpr std::string_view release_mark = " released ";

bool completed_by(const host_id& own, const std::optional<assignment_record>& before)
{
    return before && before->holder == own && before->takeover_complete;
}

} // namespace

std::string to_text(const assignment_record& record)
{
    if (record.released_for)
    {
        return fmt::format("{}{}{}", record.holder.str(), release_mark,
                           record.released_for->count());
    }
    return record.holder.str() + std::string(record.takeover_complete ? complete_suffix : "");
}

std::optional<assignment_record> parse_assignment_record(std::string_view text)
{
    std::optional<milliseconds> released_for;
    if (auto at = text.find(release_mark); at != std::string_view::npos)
    {
        std::string_view number = text.substr(at + release_mark.size());
        std::int64_t ms = 0;
        auto [end, ec] = std::from_chars(number.data(), number.data() + number.size(), ms);
        if (ec != std::errc() || end != number.data() + number.size() || ms < 0)
        {
            return std::nullopt;
        }
        released_for = milliseconds(ms);
        text = text.substr(0, at);
    }
    bool complete = !released_for && text.ends_with(complete_suffix);
    text.remove_suffix(complete ? complete_suffix.size() : 0);
    if (text.empty() || text.find(' ') != std::string_view::npos)
    {
        return std::nullopt;
    }
    return assignment_record{.holder = host_id(std::string(text)),
                             .takeover_complete = complete,
                             .released_for = released_for};
}

milliseconds release_delay(instant last_order_at, instant may_order_at, milliseconds lease,
                           instant now)
{
    instant free_at = std::max(last_order_at + lease, may_order_at);
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(free_at - now));
}

milliseconds takeover_delay(bool first, const std::optional<assignment_record>& before,
                            const host_id& own, milliseconds expiry)
{
    if (!first && before && before->released_for)
    {
        return std::min(*before->released_for, expiry);
    }
    return first || completed_by(own, before) ? milliseconds(0) : expiry;
}

milliseconds takeover_expiry(const order_terms& terms)
{
    return terms.membership + terms.lease + terms.transit;
}

takeover take_over(bool first, const std::optional<assignment_record>& before, const host_id& own,
                   instant claimed_at, instant read_at, const order_terms& terms)
{
    auto delay = takeover_delay(first, before, own, takeover_expiry(terms));
    // A released assignment's wait counts from the release, which precedes the claim.
    instant wait_from = before && before->released_for ? read_at : claimed_at;
    // An order that an earlier incarnation gave right before it ended may still be in transit.
    instant last_order_at = completed_by(own, before) ? claimed_at + terms.transit : instant();
    takeover taken{.may_order_at = wait_from + delay, .last_order_at = last_order_at};
    if (completed_by(own, before))
    {
        taken.ask_engines_after = claimed_at;
    }
    else if (!first && !(before && before->released_for))
    {
        taken.ask_engines_after = claimed_at + terms.membership + terms.transit;
        taken.from_other_host = true;
    }
    return taken;
}

} // namespace banyanshunt
