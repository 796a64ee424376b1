#pragma once

/// \file
/// Splits a stream's bytes into complete events. A server can stop in the middle of an event; only
/// complete ones are sent to the caller, so that another server can continue after the last one.

#include <string>
#include <string_view>

namespace banyanshunt
{

class event_splitter
{
public:
    /// Appends `bytes` and returns all complete events; an incomplete one stays buffered.
    std::string feed(std::string_view bytes);
    /// Whether an incomplete event is buffered.
    bool in_event() const { return !partial_.empty(); }
    /// What is behind the last complete event.
    std::string_view partial() const { return partial_; }
    /// Drops the incomplete event, because another server will send it again.
    void discard_partial() { partial_.clear(); }

private:
    std::string partial_;
};

} // namespace banyanshunt
