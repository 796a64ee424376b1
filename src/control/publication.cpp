#include "control/publication.hpp"

#include <fmt/format.h>

namespace banyanshunt
{

const char* to_string(publication_outcome end)
{
    switch (end)
    {
    case publication_outcome::accepted:
        return "accepted";
    case publication_outcome::duplicate:
        return "repeated";
    case publication_outcome::refused:
        return "refused";
    case publication_outcome::not_published:
        return "not_published";
    case publication_outcome::indeterminate:
        return "unsure";
    }
    return "unknown";
}

publication publication_of(const ticket_outcome& it, ticket_number number)
{
    publication end{
        .outcome = publication_outcome::accepted, .number = number, .offset = it.offset};
    if (it.refused)
    {
        end.outcome = publication_outcome::refused;
        end.detail = it.refused->detail;
    }
    else if (it.duplicate)
    {
        end.outcome = publication_outcome::duplicate;
        end.detail = "the same ticket was accepted before";
    }
    return end;
}

std::optional<publication> check_before_publish(const fleet_state& state, const ticket& it)
{
    auto verdict = accept_ticket(state, it, state.next_offset);
    if (!verdict)
    {
        return publication{.outcome = publication_outcome::refused,
                           .number = it.number,
                           .detail = verdict.error().detail};
    }
    if (!verdict->duplicate)
    {
        return std::nullopt;
    }
    return publication{.outcome = publication_outcome::duplicate,
                       .number = it.number,
                       .offset = state.accepted.at(it.number).offset,
                       .detail = "the same ticket was accepted before"};
}

} // namespace banyanshunt
