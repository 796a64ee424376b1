#pragma once

/// \file
/// Whether the list of backend servers is recent enough to send a request by it.
///
/// Made for a load pattern in which servers leave while a host has just been cut off, suspended, or
/// left with a dead connection to the platform's log: what it knew before says nothing of now.

#include <algorithm>
#include <optional>

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// What to do right before a request is sent by the list.
enum class list_verdict
{
    /// It was confirmed recently enough.
    current,
    /// It may be outdated, and can be confirmed.
    confirm_first,
    /// It may be outdated, and the log was asked since and did not answer: nothing better is known.
    unconfirmed,
};

constexpr const char* to_text(list_verdict it)
{
    switch (it)
    {
    case list_verdict::current:
        return "current";
    case list_verdict::confirm_first:
        return "confirm_first";
    default:
        return "unconfirmed";
    }
}

/// The age of the list, by the calls to the log.
class server_list_age
{
public:
    /// A call sent at `sent_at` returned all changes up to then.
    void record_confirmed(instant sent_at)
    {
        confirmed_at_ = std::max(confirmed_at_, std::optional(sent_at));
    }
    /// A call sent at `sent_at` returned nothing.
    void record_failed(instant sent_at)
    {
        failed_at_ = std::max(failed_at_, std::optional(sent_at));
    }

    std::optional<instant> confirmed_at() const { return confirmed_at_; }

    list_verdict judge(milliseconds max_age, instant now) const
    {
        auto is_recent = [&](const std::optional<instant>& it)
        { return it && now - *it <= max_age; };
        if (is_recent(confirmed_at_))
        {
            return list_verdict::current;
        }
        return is_recent(failed_at_) && failed_at_ > confirmed_at_ ? list_verdict::unconfirmed
                                                                   : list_verdict::confirm_first;
    }

private:
    std::optional<instant> confirmed_at_;
    std::optional<instant> failed_at_;
};

} // namespace banyanshunt
