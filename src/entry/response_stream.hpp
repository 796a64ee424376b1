#pragma once

/// \file
/// A bounded ring between the thread that reads tokens from an engine and the thread that writes
/// them to the caller. Its first item shows whether there will be a response at all.

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

/// A token, the end, or the failure of a response.
using response_item = std::variant<stream_token, completion_end, failure>;

/// Runs a completion on a reader thread and passes its tokens on.
class response_stream
{
public:
    /// Runs with a sink for tokens and returns how the response ended.
    using runner = std::function<verdict<completion_end>(const token_sink&)>;

    /// Fails the response with `errc::queue_full` if none of the readers is free in time.
    response_stream(worker_pool& readers, runner run);
    /// Stops the reader, if it still runs, and waits for it.
    ~response_stream();
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;

    /// Waits for the next item. After an end or a failure there are no more.
    response_item next();
    /// To be called when the caller has disconnected: the reader stops at the next token.
    void cancel();

private:
    void read(const runner& run, bool found_worker);
    bool put(const response_item& item);

    static constexpr std::size_t ring_capacity = 256;

    bounded_queue<response_item> ring_{ring_capacity};
    std::atomic<bool> cancelled_ = false;
    /// Shared with the reader, which may still be setting it when the stream is destroyed.
    std::shared_ptr<std::promise<void>> ended_ = std::make_shared<std::promise<void>>();
};

} // namespace banyanshunt
