#include "serve/event_log.hpp"

#include <algorithm>
#include <cstdio>

namespace banyanshunt
{

namespace
{

/// How long the writer sleeps without a line; only bounds how long a stop takes.
constexpr milliseconds writer_patience{1000};

} // namespace

event_log::event_log(const event_log_options& options)
    : options_(options), ring_(options.ring), allowance_(options.burst),
      filled_at_(boot_clock().now()), writer_([this] { run(); })
{
}

event_log::~event_log()
{
    ring_.close();
    writer_.join();
}

bool event_log::allowed()
{
    instant now = boot_clock().now();
    std::chrono::duration<double> passed = now - filled_at_;
    filled_at_ = now;
    allowance_ = std::min(options_.burst, allowance_ + passed.count() * options_.lines_per_s);
    if (allowance_ < 1)
    {
        ++dropped_;
        return false;
    }
    allowance_ -= 1;
    if (dropped_ > told_dropped_)
    {
        push(fmt::format("event=log_lines_dropped count={}\n", dropped_ - told_dropped_));
        told_dropped_ = dropped_;
    }
    return true;
}

void event_log::push(std::string line)
{
    if (!ring_.try_push(std::move(line)))
    {
        ++dropped_;
    }
}

void event_log::run()
{
    while (true)
    {
        auto line = ring_.pop(writer_patience);
        if (line)
        {
            std::fwrite(line->data(), 1, line->size(), stdout);
            std::fflush(stdout);
        }
        else if (ring_.closed())
        {
            return;
        }
    }
}

} // namespace banyanshunt
