#pragma once

/// \file
/// Defines the publishing of a ticket so that it may be repeated after a lost answer, and so that
/// of two operators who race for one number the loser is told.
///
/// The tool follows the tickets' stream like a host does: acceptance is a pure function of the log,
/// so it comes to the verdict that every host comes to.

#include <optional>
#include <string>

#include "coordination/snapshot_store.hpp"
#include "coordination/state_follower.hpp"

namespace banyanshunt
{

/// How a publication ended.
enum class publication_outcome
{
    /// The ticket is in the log and accepted.
    accepted,
    /// The same ticket, byte for byte, was accepted before.
    duplicate,
    /// The ticket is refused: it is malformed, out of order, or lost the race for its number.
    refused,
    /// The ticket surely is not in the log.
    not_published,
    /// The ticket may be in the log, now or later. Publishing it again is safe.
    indeterminate,
};

const char* to_string(publication_outcome end);

struct publication
{
    publication_outcome outcome = publication_outcome::indeterminate;
    ticket_number number = {};
    /// Where the record that decided is; nothing when none was seen.
    std::optional<log_offset> offset = {};
    /// Why it ended otherwise than accepted.
    std::string detail = {};
};

struct publication_options
{
    /// The record's own id, drawn at random for each call.
    record_id id;
    /// Times that an append whose answer was lost is repeated.
    int max_retries = 3;
    /// The longest wait for the record to show in the log.
    milliseconds timeout{5000};
};

/// The state that the log tells, and what became of the record looked for.
template <log_service Log>
class log_reader
{
public:
    log_reader(Log& log, const snapshot_codec& codec, const ticket_decoder& decode, record_id id)
        : log_(log), codec_(codec), id_(std::move(id)),
          follower_(log, cell_, decode, [this](const auto& it) { note(it); })
    {
    }

    /// Reads from the newest snapshot, or else from the first ticket, to the end of the log.
    verdict<done> read_all()
    {
        auto loaded = load_snapshot(log_, codec_, cell_);
        if (!loaded)
        {
            return loaded.error();
        }
        return read_new(milliseconds(0));
    }

    /// Reads to the end of the log, waiting up to `confirm_timeout` for a first new record.
    verdict<done> read_new(milliseconds wait)
    {
        while (true)
        {
            auto step = follower_.step(wait);
            if (!step)
            {
                return step.error();
            }
            if (step->records == 0 || cell_.get()->next_offset >= step->end)
            {
                return done{};
            }
        }
    }

    fleet_state_ptr state() const { return cell_.get(); }
    /// What became of the record with the id looked for, once it was read.
    const std::optional<ticket_outcome>& outcome() const { return outcome_; }

private:
    void note(const ticket_outcome& it)
    {
        if (it.id == id_ && !outcome_)
        {
            outcome_ = it;
        }
    }

    Log& log_;
    const snapshot_codec& codec_;
    record_id id_;
    state_cell cell_;
    std::optional<ticket_outcome> outcome_;
    state_follower<Log> follower_;
};

/// Turns what became of the ticket's own record into the publication's end.
publication publication_of(const ticket_outcome& it, ticket_number number);

/// Decides, against the state in force, whether the ticket need or can be published at all.
std::optional<publication> check_before_publish(const fleet_state& state, const ticket& it);

/// Publishes the ticket written as `text`.
template <log_service Log>
publication publish_ticket(Log& log, const snapshot_codec& codec, const ticket_decoder& decode,
                           const std::string& text, const publication_options& options)
{
    auto decoded = decode(text);
    if (!decoded)
    {
        return {.outcome = publication_outcome::refused, .detail = decoded.error().detail};
    }
    ticket_number number = decoded->number;
    log_reader<Log> reader(log, codec, decode, options.id);
    auto read = reader.read_all();
    if (!read)
    {
        return {.outcome = publication_outcome::not_published,
                .number = number,
                .detail = "the log cannot be read: " + read.error().detail};
    }
    if (auto early = check_before_publish(*reader.state(), *decoded))
    {
        return *early;
    }
    publication last{.outcome = publication_outcome::not_published, .number = number};
    log_entry entry{.id = options.id, .data = text};
    for (int i = 0; i <= options.max_retries; ++i)
    {
        auto appended = log.append(tickets_stream, std::span(&entry, 1));
        if (!appended)
        {
            last.detail = appended.error().detail;
        }
        if (appended || appended.error().run != run_state::not_run)
        {
            last.outcome = publication_outcome::indeterminate;
        }
        // Whatever the answer was, the log itself tells what became of the record.
        (void)reader.read_new(appended ? options.timeout : milliseconds(0));
        if (reader.outcome())
        {
            return publication_of(*reader.outcome(), number);
        }
        if (appended)
        {
            break;
        }
    }
    if (last.outcome == publication_outcome::indeterminate && reader.read_new(options.timeout) &&
        reader.outcome())
    {
        return publication_of(*reader.outcome(), number);
    }
    return last;
}

} // namespace banyanshunt
