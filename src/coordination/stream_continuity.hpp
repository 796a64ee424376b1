#pragma once

/// \file
/// Decides what of the servers' responses to one streaming request is passed on. Servers break
/// streams off in the middle of an event, and the response that is to go on may be another one: an
/// error as text or as an event, a run from its beginning, one that skips events, or nothing. Only
/// events that follow what the caller has are passed on, so that it always has the first events of
/// one run.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/event_splitter.hpp"

namespace banyanshunt
{

/// Why a response, or the rest of it, is not passed on.
enum class stream_fault
{
    none,
    /// Its status is not that of the response that the caller has a part of.
    status,
    /// It is no event stream.
    content_type,
    /// An event without an id, with several, or with one that is not the next number.
    event_id,
    /// An event that is no message, or a line that readers split in different ways.
    event_form,
    /// An event longer than `max_event_bytes`.
    event_size,
    /// Its body broke off, or ended in the middle of an event.
    broken,
    /// It was to go on with a stream and has no event. That the stream was whole before cannot be
    /// told from a server that lost the run, and a false end is worse than a cut: a caller can
    /// resume a stream that was cut.
    no_event,
};
const char* to_text(stream_fault fault);

/// Whether a Content-Type field states an event stream.
bool is_event_stream(std::string_view content_type);

class stream_continuity
{
public:
    /// Largest event, in bytes; bounds what a server can make a host keep for one request.
    static constexpr std::size_t max_event_bytes = 1 << 18;

    /// For a caller that stated this Last-Event-Id, or none. Ids count the events of a run from 1
    /// (see the platform's protocol, `create_revision`); where the caller's is not a number, any id
    /// may come first.
    explicit stream_continuity(std::string last_event_id = {});

    /// Begins a response with this head. It is not passed on unless that returns `none`.
    stream_fault begin(int status, std::string_view content_type);
    struct part
    {
        /// What may be passed on of it, also if there is a fault behind it.
        std::string events;
        stream_fault fault = stream_fault::none;
    };
    /// Takes the next bytes of the body. After a fault, nothing more of the response may follow.
    part feed(std::string_view bytes);
    /// Judges the end of the body; `complete` if it ended as its framing states.
    stream_fault end(bool complete) const;

    /// Whether something was passed on, so that another response can only go on with it.
    bool delivered() const { return delivered_; }
    /// The Last-Event-Id to resume at; what the caller stated before the first event.
    const std::string& last_id() const { return last_id_; }

private:
    /// Judges the block of lines up to an empty one.
    stream_fault judge(std::string_view block);
    stream_fault judge_id(std::string_view text);

    event_splitter splitter_;
    std::string last_id_;
    /// The number that the next event must have; nothing if any may come.
    std::optional<std::uint64_t> next_id_ = 1;
    int status_ = 0;
    bool delivered_ = false;
    bool delivered_event_ = false;
    /// Whether the current response has an event.
    bool has_event_ = false;
};

} // namespace banyanshunt
