#pragma once

/// \file
/// Defines the follower of the tickets' stream: it reads the log and keeps the state in force.
/// One thread calls `kind` again and again; each call waits at most for one read.

#include <functional>

#include "coordination/log_service.hpp"
#include "coordination/ticket_acceptance.hpp"
#include "state/state_cell.hpp"

namespace banyanshunt
{

/// Turns a record's data into a ticket; fails with `errc::ticket_malformed`.
using ticket_decoder = std::function<verdict<ticket>(const std::string&)>;

/// What one record of the tickets' stream came to.
struct ticket_outcome
{
    log_offset offset;
    record_id id;
    /// 0 when the record could not be read as a ticket.
    ticket_number number;
    /// The ticket repeats an accepted one.
    bool duplicate = false;
    /// Nothing when the ticket was accepted.
    std::optional<failure> refused;
};

/// Returns the state after `record`, and tells what became of the ticket in it.
std::pair<fleet_state, ticket_outcome>
apply_record(const fleet_state& before, const log_record& record, const ticket_decoder& decode);

/// The failure of a read from a log that ends before what was read from it earlier.
failure log_truncated();

/// What one step of the follower learned.
struct follow_result
{
    /// The end of the stream as the log told it.
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

    state_follower(Log& log, state_cell& cell, ticket_decoder decode, outcome_sink told)
        : log_(log), cell_(cell), decode_(std::move(decode)), told_(std::move(told))
    {
    }

    /// Waits up to `confirm_timeout` for new tickets and puts them in force. Fails as the log's
    /// read fails, with `errc::records_expired` when records after the state in force are no longer
    /// kept, and with `errc::bad_answer` when the log ends before what was read from it.
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
            told_(outcome);
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
    outcome_sink told_;
};

} // namespace banyanshunt
