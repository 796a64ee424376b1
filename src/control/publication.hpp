#pragma once

/// \file
/// Publishes a ticket. Publishing may be repeated after a lost response, and of two operators who
/// race for one number the loser gets a refusal.
///
/// The tool follows the tickets' stream as a host does: acceptance is a pure function of the log,
/// so it reaches the same verdict as every host.

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
    /// The ticket is guaranteed not to be in the log.
    not_published,
    /// The ticket may be in the log, now or later. Publishing it again is safe.
    indeterminate,
};

const char* to_string(publication_outcome end);

struct publication
{
    publication_outcome outcome = publication_outcome::indeterminate;
    ticket_number number = {};
    /// Offset of the record that decided the outcome; nothing when no such record was read.
    std::optional<log_offset> offset = {};
    /// Why the ticket was not accepted.
    std::string detail = {};
};

struct publication_options
{
    /// The id of the appended record, drawn at random for each call.
    record_id id;
    /// How often an append is retried that was refused or whose response was lost.
    int max_retries = 3;
    /// Longest wait until the record can be read from the log.
    milliseconds timeout{5000};
};

/// Reads the state from the log, and the outcome of the record with the given id.
template <log_service Log>
class log_reader
{
public:
    log_reader(Log& log, const snapshot_codec& codec, const ticket_decoder& decode, record_id id)
        : log_(log), codec_(codec), id_(std::move(id)),
          follower_(log, cell_, decode, [this](const auto& it) { record_outcome(it); })
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

    /// Reads to the end of the log, waiting up to `wait` for a first new record.
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
    /// The outcome of the record with the given id, once it was read.
    const std::optional<ticket_outcome>& outcome() const { return outcome_; }

private:
    void record_outcome(const ticket_outcome& it)
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

/// Converts the outcome of the ticket's record into the result of the publication.
publication publication_of(const ticket_outcome& it, ticket_number number);

/// Checks against the applied state whether the ticket was already accepted or must be refused.
/// Returns nothing if it has to be published.
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
    if (auto decided = check_before_publish(*reader.state(), *decoded))
    {
        return *decided;
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
        // Whatever the response was, only the log shows the outcome of the record.
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
