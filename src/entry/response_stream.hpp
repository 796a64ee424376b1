#pragma once

/// \file
/// Defines the join between the duty that reads tokens from an engine and the duty that writes them
/// to the caller: a bounded ring, whose first item tells whether there will be an answer at all.

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <variant>

#include "coordination/model_engine.hpp"
#include "state/bounded_queue.hpp"
#include "transport/worker_pool.hpp"

namespace banyanshunt
{

/// A token, the end, or the failure of an answer.
using response_item = std::variant<stream_token, completion_end, failure>;

/// Runs a completion on a reader's thread and passes on what comes.
class response_stream
{
public:
    /// Runs with a sink for tokens and returns how the answer ended.
    using runner = std::function<verdict<completion_end>(const token_sink&)>;

    /// Fails the answer with `errc::queue_full` if none of the readers is free in time.
    response_stream(worker_pool& readers, runner run);
    /// Stops the reading, if it still goes on, and waits for it.
    ~response_stream();
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;

    /// Waits for the next item. After an end or a failure there are no more.
    response_item next();
    /// The caller is gone: the reading stops at the next token.
    void cancel();

private:
    void read(const runner& run, bool found_worker);
    bool put(const response_item& item);

    static constexpr std::size_t ring_capacity = 256;

    bounded_queue<response_item> ring_{ring_capacity};
    std::atomic<bool> abandoned_ = false;
    /// Shared with the reader, which may still be setting it when the stream is destroyed.
    std::shared_ptr<std::promise<void>> ended_ = std::make_shared<std::promise<void>>();
};

} // namespace banyanshunt
