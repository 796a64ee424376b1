#include "stand_ins/memory_log.hpp"

#include <thread>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

failure log_failure(run_state run, errc code, const char* detail)
{
    return {.run = run, .code = code, .detail = detail, .retry_after = {}};
}

} // namespace

log_offset memory_log::put(const stream_name& stream, std::span<const log_entry> batch)
{
    auto& to = streams_[stream];
    log_offset first = to.end();
    for (const auto& entry : batch)
    {
        to.records.push_back({.offset = to.end(), .id = entry.id, .data = entry.data});
    }
    ++appends_;
    records_added_.notify_all();
    return first;
}

verdict<log_offset> memory_log::append(const stream_name& stream, std::span<const log_entry> batch)
{
    auto fault = faults_.next("append");
    if (fault && fault->kind == fault_kind::delayed)
    {
        std::this_thread::sleep_for(fault->delay);
    }
    std::lock_guard lock(mutex_);
    if (down_ || (fault && fault->kind == fault_kind::refuse))
    {
        return log_failure(run_state::not_run, errc::unavailable, "the log is down");
    }
    if (fault && fault->kind == fault_kind::hang)
    {
        return log_failure(run_state::may_have_run, errc::timeout, "the log did not respond");
    }
    log_offset first = put(stream, batch);
    if (fault && fault->kind == fault_kind::duplicate)
    {
        put(stream, batch);
    }
    if (fault && fault->kind == fault_kind::lose_response)
    {
        return log_failure(run_state::may_have_run, errc::timeout, "the response was lost");
    }
    return first;
}

verdict<log_page> memory_log::read(const stream_name& stream, log_offset from, std::size_t limit,
                                   milliseconds wait)
{
    auto fault = faults_.next("read");
    if (fault && fault->kind == fault_kind::delayed)
    {
        std::this_thread::sleep_for(fault->delay);
    }
    std::unique_lock lock(mutex_);
    if (down_ || fault)
    {
        if (!fault || fault->kind != fault_kind::delayed)
        {
            return log_failure(run_state::not_run, errc::unavailable, "the log is down");
        }
    }
    auto& in = streams_[stream];
    records_added_.wait_for(lock, wait, [&] { return in.end() > from || down_; });
    if (from < in.first)
    {
        return log_failure(run_state::not_run, errc::records_expired, "the records have expired");
    }
    log_page page{.first_kept = in.first, .end = in.end(), .records = {}};
    for (log_offset at = from; at < in.end() && page.records.size() < limit; at += log_offset(1))
    {
        page.records.push_back(in.records[static_cast<std::size_t>((at - in.first).count())]);
    }
    return page;
}

void memory_log::set_down(bool down)
{
    {
        std::lock_guard lock(mutex_);
        down_ = down;
    }
    records_added_.notify_all();
}

void memory_log::expire_all_but(std::size_t records)
{
    std::lock_guard lock(mutex_);
    for (auto& [name, stream] : streams_)
    {
        while (stream.records.size() > records)
        {
            stream.records.pop_front();
            stream.first += log_offset(1);
        }
    }
}

std::int64_t memory_log::appends() const
{
    std::lock_guard lock(mutex_);
    return appends_;
}

} // namespace banyanshunt
