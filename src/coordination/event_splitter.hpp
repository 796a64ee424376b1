#pragma once

/// \file
/// Defines the splitting of a stream's bytes into whole events. A server can stop in the middle of
/// an event; only whole ones go to the caller, so that another server can go on after the last one.

#include <string>
#include <string_view>

namespace banyanshunt
{

class event_splitter
{
public:
    /// Takes bytes in and returns those that end at an event's end; the rest is kept.
    std::string feed(std::string_view bytes);
    /// The id of the last whole event; empty before the first.
    const std::string& last_id() const { return last_id_; }
    /// Whether an event has begun and not ended.
    bool in_event() const { return !rest_.empty(); }
    /// Drops the unfinished event, because another server will send it again.
    void discard_partial() { rest_.clear(); }

private:
    void note_ids(std::string_view events);

    std::string rest_;
    std::string last_id_;
};

} // namespace banyanshunt
