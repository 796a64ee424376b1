#include "coordination/assignment_record.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace banyanshunt
{

namespace
{

/// Followed by a fencing number, a blank and a machine.
constexpr std::string_view complete_mark = " begun ";
/// Followed by a number of milliseconds.
constexpr std::string_view release_mark = " released ";
/// Followed by an offset.
constexpr std::string_view late_mark = " after ";
/// Followed by an offset.
constexpr std::string_view unused_mark = " unused ";
/// Followed by a fencing number.
constexpr std::string_view number_mark = " number ";

std::optional<std::int64_t> parse_number(std::string_view text)
{
    std::int64_t n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    bool whole = ec == std::errc() && end == text.data() + text.size() && n >= 0;
    return whole ? std::optional(n) : std::nullopt;
}

/// Cuts off `mark` and what follows it, and returns the latter; nothing if `mark` is missing.
std::optional<std::string_view> take_after(std::string_view& text, std::string_view mark)
{
    auto at = text.find(mark);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto rest = text.substr(at + mark.size());
    text = text.substr(0, at);
    return rest;
}

bool is_release(const std::optional<assignment_record>& before)
{
    return before && before->released_for && !before->released_after;
}

/// Whether a record behind a claim of `own` is one that follows a claim, of the same host and
/// machine.
bool continues_claim(const claimant& own, const assignment_record& record)
{
    bool other_machine = record.takeover_complete && record.machine != own.machine;
    bool is_claim = !record.takeover_complete && !record.released_for;
    return record.holder == own.host && !is_claim && !other_machine;
}

/// The highest position that a claim in front of this one can have, by what the log has.
claim_position highest_recorded(const assignment_claim& claim)
{
    return std::max(claim_position(claim.at.count()), position_of(claim.highest_stated));
}

/// Whether the record before a claim is of the last owner in the log, and states its number. Hosts
/// of earlier versions state none.
bool is_of_last_owner(const assignment_claim& claim)
{
    bool speaks_for_owner =
        claim.before && (claim.before->takeover_complete || is_release(claim.before));
    return speaks_for_owner && claim.highest_stated > fencing_number(0);
}

} // namespace

bool completed_by(const claimant& own, const std::optional<assignment_record>& before)
{
    return before && before->takeover_complete && before->holder == own.host &&
           before->machine == own.machine && before->fence;
}

std::string to_text(const assignment_record& record)
{
    std::string text = record.holder.str();
    if (record.released_for)
    {
        text += fmt::format("{}{}", release_mark, record.released_for->count());
        text +=
            record.released_after ? fmt::format("{}{}", late_mark, record.released_after->count())
            : record.unused_since ? fmt::format("{}{}", unused_mark, record.unused_since->count())
                                  : "";
    }
    else if (record.takeover_complete)
    {
        text +=
            fmt::format("{}{} {}", complete_mark, record.fence.value_or(fencing_number(0)).count(),
                        record.machine.value_or(machine_id("-")).str());
    }
    if (record.claim_number)
    {
        text += fmt::format("{}{}", number_mark, record.claim_number->count());
    }
    return text;
}

std::optional<assignment_record> parse_assignment_record(std::string_view text)
{
    assignment_record record;
    if (auto number = take_after(text, number_mark))
    {
        auto n = parse_number(*number);
        if (!n || fencing_number(*n) > max_recorded_number)
        {
            return std::nullopt;
        }
        record.claim_number = fencing_number(*n);
    }
    if (auto release = take_after(text, release_mark))
    {
        auto after = take_after(*release, late_mark);
        auto unused = take_after(*release, unused_mark);
        auto ms = parse_number(*release);
        auto offset = parse_number(after ? *after : unused.value_or("0"));
        if (!ms || !offset)
        {
            return std::nullopt;
        }
        record.released_for = milliseconds(*ms);
        (after ? record.released_after : record.unused_since) =
            after || unused ? std::optional(log_offset(*offset)) : std::nullopt;
    }
    else if (auto complete = take_after(text, complete_mark))
    {
        auto blank = complete->find(' ');
        auto n = parse_number(complete->substr(0, blank));
        auto machine =
            blank == std::string_view::npos ? std::string_view() : complete->substr(blank + 1);
        if (!n || machine.empty() || machine.find(' ') != std::string_view::npos)
        {
            return std::nullopt;
        }
        record.takeover_complete = true;
        record.fence = fencing_number(*n);
        record.machine = machine_id(std::string(machine));
    }
    if (text.empty() || text.find(' ') != std::string_view::npos)
    {
        return std::nullopt;
    }
    record.holder = host_id(std::string(text));
    return record;
}

milliseconds release_delay(instant last_order_at, instant may_order_at, milliseconds lease,
                           instant now)
{
    instant free_at = std::max(last_order_at + lease, may_order_at);
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(free_at - now));
}

milliseconds takeover_delay(bool first, const std::optional<assignment_record>& before,
                            const claimant& own, milliseconds expiry)
{
    if (!first && is_release(before))
    {
        return std::min(*before->released_for, expiry);
    }
    return first || completed_by(own, before) ? milliseconds(0) : expiry;
}

milliseconds takeover_expiry(const order_terms& terms)
{
    return terms.membership + terms.transit + terms.lease;
}

const char* to_text(preceding_read it)
{
    switch (it)
    {
    case preceding_read::none:
        return "none";
    case preceding_read::record:
        return "record";
    case preceding_read::unknown_record:
        return "unknown_record";
    case preceding_read::dropped:
        return "dropped";
    case preceding_read::past_end:
        return "past_end";
    case preceding_read::refused:
        return "refused";
    case preceding_read::no_response:
        return "no_response";
    }
    return "unknown";
}

fencing_number number_of(const assignment_claim& claim)
{
    auto highest = std::max(position_of(claim.highest_known), highest_recorded(claim));
    return make_fencing_number(std::min(highest + claim_position(1), max_recorded_position),
                               claim.own.number);
}

bool has_to_state_number(const assignment_claim& claim)
{
    return position_of(number_of(claim)) != position_at(claim.at);
}

bool is_inconclusive(preceding_read read)
{
    return read == preceding_read::past_end || read == preceding_read::refused ||
           read == preceding_read::no_response;
}

bool may_hide_number(const assignment_record& record)
{
    bool is_claim = !record.takeover_complete && !record.released_for;
    return record.released_after || (is_claim && !record.claim_number);
}

bool has_lost_claims(const assignment_claim& claim)
{
    bool is_forgotten = is_of_last_owner(claim) && claim.highest_known > claim.highest_stated;
    return claim.forgotten_owner_known || is_forgotten ||
           position_of(claim.highest_known) > highest_recorded(claim);
}

takeover take_over(const assignment_claim& claim, const order_terms& terms)
{
    bool lost = has_lost_claims(claim);
    const auto before = lost ? std::nullopt : claim.before;
    bool first = claim.at.count() == 0 && !lost;
    bool resumes = completed_by(claim.own, before);
    bool released = is_release(before);
    const auto expiry = takeover_expiry(terms);
    // A host that releases knows which of its orders may be carried out late.
    auto delay =
        takeover_delay(first, before, claim.own, released ? expiry + terms.order_delay : expiry);
    // A released assignment's wait counts from the release, which precedes the claim. That of a
    // host which gave no order says nothing of the owner before.
    takeover taken{.claimed_at = claim.sent_at,
                   .may_order_at = (released ? claim.read_at : claim.sent_at) + delay,
                   .last_order_at = {}};
    if (resumes)
    {
        // Orders that an earlier incarnation gave right before it ended may still be under way.
        taken.last_order_at = claim.sent_at + terms.transit;
        taken.ask_engines_after = claim.sent_at;
        taken.resumed_fence = before->fence;
        taken.late_orders_end = claim.sent_at + terms.transit + terms.order_delay + terms.lease;
    }
    else if (!first && (!released || before->unused_since))
    {
        taken.ask_engines_after = claim.sent_at + terms.membership + terms.transit;
        taken.from_other_host = true;
        taken.late_orders_end = claim.sent_at + expiry + terms.order_delay;
    }
    return taken;
}

records_after_claim read_after_claim(const std::vector<std::string>& records, log_offset from,
                                     const claimant& own, log_offset before_claim)
{
    records_after_claim read{.last = log_offset(from.count() - 1),
                             .last_before_claim = log_offset(from.count() - 1)};
    for (const auto& text : records)
    {
        auto record = parse_assignment_record(text);
        read.last = log_offset(read.last.count() + 1);
        bool late_release = record && record->released_after;
        if (late_release && record->released_after == before_claim && record->holder != own.host)
        {
            read.released_for = record->released_for;
        }
        // What cannot be read counts as another host's claim.
        read.superseded =
            read.superseded || (!late_release && !(record && continues_claim(own, *record)));
        read.last_before_claim = read.superseded ? read.last_before_claim : read.last;
    }
    return read;
}

} // namespace banyanshunt
