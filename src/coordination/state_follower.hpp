#pragma once

/// \file
/// Follows the tickets stream: reads the log and keeps the current state up to date. One thread
/// calls `step` repeatedly; each call waits for at most one read.

#include <functional>

#include "coordination/log_service.hpp"
#include "coordination/ticket_acceptance.hpp"
#include "state/state_cell.hpp"

namespace banyanshunt
{

/// Decodes a record's data into a ticket; fails with `errc::ticket_malformed`.
using ticket_decoder = std::function<verdict<ticket>(const std::string&)>;

/// The result of applying one record of the tickets stream.
struct ticket_outcome
{
    log_offset offset;
    record_id id;
    /// 0 when the record could not be decoded as a ticket.
    ticket_number number;
    /// The ticket is a duplicate of an accepted one.
    bool duplicate = false;
    /// Empty when the ticket was accepted.
    std::optional<failure> refused;
};

/// Returns the state after `record`, and the outcome of the ticket in it.
std::pair<fleet_state, ticket_outcome>
apply_record(const fleet_state& before, const log_record& record, const ticket_decoder& decode);

/// The failure of a read from a log that ends before an offset that was read from it earlier.
failure log_truncated();

/// The result of one step of the follower.
struct follow_result
{
    /// The end of the stream as reported by the log.
    log_offset end;
    /// Records applied.
    std::size_t records = 0;
};

/// Reads one page and applies it to the cell.
template <log_service Log>
class state_follower
{
public:
    using outcome_sink = std::function<void(const ticket_outcome&)>;

    state_follower(Log& log, state_cell& cell, ticket_decoder decode, outcome_sink on_outcome)
        : log_(log), cell_(cell), decode_(std::move(decode)), on_outcome_(std::move(on_outcome))
    {
    }

    /// Waits up to `wait` for new tickets and applies them. Fails as the log's read fails, with
    /// `errc::records_expired` when records after the current state are no longer kept, and with
    /// `errc::bad_answer` when the log ends before an offset that was read from it earlier.
    verdict<follow_result> step(milliseconds wait)
    {
        constexpr std::size_t page_limit = 256;
        fleet_state state = *cell_.get();
        auto page = log_.read(tickets_stream, state.next_offset, page_limit, wait);
        if (!page)
        {
            return page.error();
        }
        if (page->end < state.next_offset)
        {
            return log_truncated();
        }
        for (const auto& record : page->records)
        {
            if (record.offset < state.next_offset)
            {
                continue;
            }
            auto [after, outcome] = apply_record(state, record, decode_);
            state = std::move(after);
            on_outcome_(outcome);
        }
        if (!page->records.empty())
        {
            (void)cell_.advance(std::make_shared<const fleet_state>(std::move(state)));
        }
        return follow_result{.end = page->end, .records = page->records.size()};
    }

private:
    Log& log_;
    state_cell& cell_;
    ticket_decoder decode_;
    outcome_sink on_outcome_;
};

} // namespace banyanshunt
