#include "entry/response_stream.hpp"

#include <thread>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds pop_timeout(100);
constexpr milliseconds full_ring_pause(2);

} // namespace

response_stream::response_stream(worker_pool& readers, runner run)
{
    auto read_task = [this, run = std::move(run), ended = ended_](bool found_worker)
    {
        read(run, found_worker);
        ended->set_value();
    };
    if (!readers.submit(read_task))
    {
        read_task(false);
    }
}

response_stream::~response_stream()
{
    cancel();
    ended_->get_future().wait();
}

void response_stream::read(const runner& run, bool found_worker)
{
    if (!found_worker)
    {
        put(failure{.run = run_state::not_run,
                    .code = errc::queue_full,
                    .detail = "too many streams are in flight",
                    .retry_after = milliseconds(1000)});
        return;
    }
    auto end = run([this](const stream_token& token) { return put(token); });
    if (end)
    {
        put(*end);
        return;
    }
    put(end.error());
}

// Waits while the caller reads more slowly than the engine writes.
bool response_stream::put(const response_item& item)
{
    while (!cancelled_)
    {
        if (ring_.try_push(item))
        {
            return true;
        }
        std::this_thread::sleep_for(full_ring_pause);
    }
    return false;
}

response_item response_stream::next()
{
    while (true)
    {
        if (auto item = ring_.pop(pop_timeout))
        {
            return std::move(*item);
        }
    }
}

void response_stream::cancel()
{
    cancelled_ = true;
}

} // namespace banyanshunt
