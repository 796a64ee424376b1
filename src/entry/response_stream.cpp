#include "entry/response_stream.hpp"

#include <thread>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds ring_patience(100);
constexpr milliseconds full_ring_pause(2);

} // namespace

response_stream::response_stream(worker_pool& readers, runner run)
{
    auto read_here = [this, run = std::move(run), ended = ended_](bool found_worker)
    {
        read(run, found_worker);
        ended->set_value();
    };
    if (!readers.submit(read_here))
    {
        read_here(false);
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
                    .detail = "too many streams are under way",
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
    while (!abandoned_)
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
        if (auto item = ring_.pop(ring_patience))
        {
            return std::move(*item);
        }
    }
}

void response_stream::cancel()
{
    abandoned_ = true;
}

} // namespace banyanshunt
