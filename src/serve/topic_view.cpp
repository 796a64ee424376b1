#include "serve/topic_view.hpp"

#include <algorithm>

namespace banyanshunt
{

namespace
{

/// Bytes of read records that a host keeps, and that it sends in one datagram.
constexpr std::size_t max_recent_bytes = 65536;
constexpr std::size_t max_view_bytes = 16384;

std::size_t bytes_of(const platform::keyed_record& record)
{
    return record.key.size() + record.value.value_or("").size();
}

} // namespace

/// Whether the records are ones that a host can have read up to the end that the view states.
bool is_consistent(const topic_view& view)
{
    log_offset next(0);
    for (const auto& it : view.records)
    {
        if (it.offset < next || it.offset >= view.end || it.key.size() > platform::max_key_bytes)
        {
            return false;
        }
        next = log_offset(it.offset.count() + 1);
    }
    return true;
}

void recent_records::restart(log_offset from)
{
    records_.clear();
    bytes_ = 0;
    from_ = from;
}

void recent_records::add(const platform::keyed_record& record)
{
    records_.push_back(record);
    bytes_ += bytes_of(record);
}

void recent_records::shrink()
{
    while (bytes_ > max_recent_bytes)
    {
        const auto& first = records_.front();
        bytes_ -= bytes_of(first);
        from_ = log_offset(first.offset.count() + 1);
        records_.pop_front();
    }
}

topic_view recent_records::view_from(log_offset from, log_offset end, instant confirmed_at) const
{
    topic_view view{.end = end, .confirmed_at = confirmed_at, .complete = false, .records = {}};
    view.complete = from >= from_ && from <= end;
    std::size_t bytes = 0;
    for (auto it = records_.rbegin(); view.complete && it != records_.rend() && it->offset >= from;
         ++it)
    {
        bytes += bytes_of(*it);
        view.complete = bytes <= max_view_bytes;
        view.records.push_back(*it);
    }
    if (!view.complete)
    {
        view.records.clear();
    }
    std::reverse(view.records.begin(), view.records.end());
    return view;
}

} // namespace banyanshunt
