#include "coordination/state_follower.hpp"

namespace banyanshunt
{

std::pair<fleet_state, ticket_outcome>
follow_record(const fleet_state& before, const log_record& record, const ticket_decoder& decode)
{
    ticket_outcome outcome{.offset = record.offset, .id = record.id, .number = {}, .refused = {}};
    fleet_state after = before;
    after.through = record.offset + log_offset(1);
    auto decoded = decode(record.data);
    if (!decoded)
    {
        outcome.refused = decoded.error();
        return {std::move(after), std::move(outcome)};
    }
    outcome.number = decoded->number;
    auto accepted = accept(before, *decoded, record.offset);
    if (!accepted)
    {
        outcome.refused = accepted.error();
        return {std::move(after), std::move(outcome)};
    }
    return {std::move(accepted).value(), std::move(outcome)};
}

} // namespace banyanshunt
