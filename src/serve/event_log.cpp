#include "serve/event_log.hpp"

#include <algorithm>
#include <cstdio>

namespace banyanshunt
{

event_log::event_log(const event_log_options& options)
    : options_(options), allowance_(options.burst), refilled_at_(boot_clock().now()),
      writer_([this] { run(); })
{
}

event_log::~event_log()
{
    {
        std::lock_guard lock(mutex_);
        closed_ = true;
    }
    closing_.notify_one();
    writer_.join();
}

bool event_log::acquire_line(double reserve)
{
    instant now = boot_clock().now();
    std::chrono::duration<double> elapsed = now - refilled_at_;
    refilled_at_ = now;
    allowance_ = std::min(options_.burst, allowance_ + elapsed.count() * options_.lines_per_s);
    if (allowance_ + reserve < 1)
    {
        ++dropped_;
        return false;
    }
    allowance_ -= 1;
    if (dropped_ > reported_dropped_)
    {
        append("log_lines_dropped", fmt::format("count={}", dropped_ - reported_dropped_));
        reported_dropped_ = dropped_;
    }
    return true;
}

void event_log::append(const char* event, std::string_view fields)
{
    auto unix_ms =
        std::chrono::floor<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    std::string line = fmt::format("event={} {}", event, fields);
    // Names and details may be other writers' bytes: a line break would forge a line.
    line.resize(std::min(line.size(), options_.max_line));
    std::replace_if(
        line.begin(), line.end(), [](char it) { return it < ' ' || it == '\x7f'; }, '?');
    line += fmt::format(" unix_ms={}\n", unix_ms.count());
    std::lock_guard lock(mutex_);
    if (pending_.size() + line.size() > options_.buffer)
    {
        ++dropped_;
        return;
    }
    pending_ += line;
}

void event_log::run()
{
    std::string lines;
    bool closing = false;
    while (!closing)
    {
        {
            std::unique_lock lock(mutex_);
            closing = closing_.wait_for(lock, options_.write_period, [this] { return closed_; });
            lines.swap(pending_);
        }
        if (!lines.empty())
        {
            std::fwrite(lines.data(), 1, lines.size(), stdout);
            std::fflush(stdout);
            lines.clear();
        }
    }
}

} // namespace banyanshunt
