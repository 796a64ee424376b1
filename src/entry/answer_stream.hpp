#pragma once

/// \file
/// Defines the join between the duty that reads tokens from an engine and the duty that writes them
/// to the caller: a bounded ring, whose first item tells whether there will be an answer at all.

#include <atomic>
#include <functional>
#include <thread>
#include <variant>

#include "coordination/model_engine.hpp"
#include "state/bounded_ring.hpp"

namespace banyanshunt
{

/// A token, the end, or the failure of an answer.
using answer_item = std::variant<stream_token, completion_end, failure>;

/// Runs a completion on a thread of its own and passes on what comes.
class answer_stream
{
public:
    /// Runs with a sink for tokens and returns how the answer ended.
    using runner = std::function<verdict<completion_end>(const token_sink&)>;

    explicit answer_stream(runner run);
    /// Stops the reading, if it still goes on, and waits for it.
    ~answer_stream();
    answer_stream(const answer_stream&) = delete;
    answer_stream& operator=(const answer_stream&) = delete;

    /// Waits for the next item. After an end or a failure there are no more.
    answer_item next();
    /// The caller is gone: the reading stops at the next token.
    void abandon();

private:
    void read(const runner& run);
    bool put(const answer_item& item);

    static constexpr std::size_t ring_capacity = 256;

    bounded_ring<answer_item> ring_{ring_capacity};
    std::atomic<bool> abandoned_ = false;
    std::thread reader_;
};

} // namespace banyanshunt
