#include "coordination/state_follower.hpp"

#include "state/errors.hpp"

namespace banyanshunt
{

std::pair<fleet_state, ticket_outcome>
apply_record(const fleet_state& before, const log_record& record, const ticket_decoder& decode)
{
    ticket_outcome outcome{
        .offset = record.offset, .id = record.id, .number = {}, .duplicate = false, .refused = {}};
    fleet_state after = before;
    after.next_offset = record.offset + log_offset(1);
    auto decoded = decode(record.data);
    if (!decoded)
    {
        outcome.refused = decoded.error();
        return {std::move(after), std::move(outcome)};
    }
    outcome.number = decoded->number;
    auto accepted = accept_ticket(before, *decoded, record.offset);
    if (!accepted)
    {
        outcome.refused = accepted.error();
        return {std::move(after), std::move(outcome)};
    }
    outcome.duplicate = accepted->duplicate;
    return {std::move(accepted->state), std::move(outcome)};
}

failure log_truncated()
{
    return {.run = run_state::not_run,
            .code = errc::bad_answer,
            .detail = "the log ends before an offset that was read from it earlier",
            .retry_after = {}};
}

} // namespace banyanshunt
