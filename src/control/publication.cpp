#include "control/publication.hpp"

#include <fmt/format.h>

namespace banyanshunt
{

const char* to_string(publication_end end)
{
    switch (end)
    {
    case publication_end::accepted:
        return "accepted";
    case publication_end::repeated:
        return "repeated";
    case publication_end::refused:
        return "refused";
    case publication_end::not_published:
        return "not_published";
    case publication_end::unsure:
        return "unsure";
    }
    return "unknown";
}

publication ended(const ticket_outcome& it, ticket_number number)
{
    publication end{.end = publication_end::accepted, .number = number, .offset = it.offset};
    if (it.refused)
    {
        end.end = publication_end::refused;
        end.detail = it.refused->detail;
    }
    else if (it.repeated)
    {
        end.end = publication_end::repeated;
        end.detail = "the same ticket was accepted before";
    }
    return end;
}

std::optional<publication> decide_before(const fleet_state& state, const ticket& it)
{
    auto verdict = accept(state, it, state.through);
    if (!verdict)
    {
        return publication{
            .end = publication_end::refused, .number = it.number, .detail = verdict.error().detail};
    }
    if (!verdict->repeated)
    {
        return std::nullopt;
    }
    return publication{.end = publication_end::repeated,
                       .number = it.number,
                       .offset = state.accepted.at(it.number).offset,
                       .detail = "the same ticket was accepted before"};
}

} // namespace banyanshunt
