#include "entry/answer_stream.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds ring_patience(100);
constexpr milliseconds full_ring_pause(2);

} // namespace

answer_stream::answer_stream(runner run) : reader_([this, run = std::move(run)] { read(run); }) {}

answer_stream::~answer_stream()
{
    abandon();
    reader_.join();
}

void answer_stream::read(const runner& run)
{
    auto end = run([this](const stream_token& token) { return put(token); });
    if (end)
    {
        put(*end);
        return;
    }
    put(end.error());
}

// Waits while the caller reads more slowly than the engine writes.
bool answer_stream::put(const answer_item& item)
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

answer_item answer_stream::next()
{
    while (true)
    {
        if (auto item = ring_.pop(ring_patience))
        {
            return std::move(*item);
        }
    }
}

void answer_stream::abandon()
{
    abandoned_ = true;
}

} // namespace banyanshunt
