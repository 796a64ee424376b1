#include "coordination/stream_continuity.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace banyanshunt
{

namespace
{

/// Removes the first line, without its end, from the text.
std::string_view take_line(std::string_view& text)
{
    auto end = text.find('\n');
    auto line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    return line;
}

/// Reads digits only, without a sign or anything behind them.
std::optional<std::uint64_t> parse_id(std::string_view text)
{
    std::uint64_t id = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id);
    if (ec != std::errc() || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return id;
}

/// Whether the lines are empty or comments, which belong to no event.
bool is_padding(std::string_view lines)
{
    while (!lines.empty())
    {
        auto line = take_line(lines);
        if (!line.empty() && line.front() != ':')
        {
            return false;
        }
    }
    return true;
}

} // namespace

const char* to_text(stream_fault fault)
{
    switch (fault)
    {
    case stream_fault::none:
        return "none";
    case stream_fault::status:
        return "status";
    case stream_fault::content_type:
        return "content_type";
    case stream_fault::event_id:
        return "event_id";
    case stream_fault::event_form:
        return "event_form";
    case stream_fault::event_size:
        return "event_size";
    case stream_fault::broken:
        return "broken";
    case stream_fault::no_event:
        return "no_event";
    }
    return "unknown";
}

bool is_event_stream(std::string_view content_type)
{
    auto type = std::string(content_type.substr(0, content_type.find(';')));
    return boost::iequals(boost::trim_copy(type), "text/event-stream");
}

stream_continuity::stream_continuity(std::string last_event_id) : last_id_(std::move(last_event_id))
{
    if (!last_id_.empty())
    {
        next_id_ = parse_id(last_id_);
        if (next_id_ && *next_id_ < std::numeric_limits<std::uint64_t>::max())
        {
            ++*next_id_;
        }
    }
}

stream_fault stream_continuity::begin(int status, std::string_view content_type)
{
    splitter_.discard_partial();
    has_event_ = false;
    if (delivered_ && status != status_)
    {
        return stream_fault::status;
    }
    status_ = status;
    return is_event_stream(content_type) ? stream_fault::none : stream_fault::content_type;
}

stream_continuity::part stream_continuity::feed(std::string_view bytes)
{
    std::string blocks = splitter_.feed(bytes);
    std::string_view rest = blocks;
    std::size_t passed = 0;
    auto fault = stream_fault::none;
    while (!rest.empty() && fault == stream_fault::none)
    {
        auto block = rest;
        while (!take_line(rest).empty())
        {
        }
        block.remove_suffix(rest.size());
        fault = judge(block);
        passed += fault == stream_fault::none ? block.size() : 0;
    }
    if (fault == stream_fault::none && splitter_.partial().size() > max_event_bytes)
    {
        fault = stream_fault::event_size;
    }
    blocks.resize(passed);
    delivered_ = delivered_ || passed > 0;
    return {.events = std::move(blocks), .fault = fault};
}

stream_fault stream_continuity::judge(std::string_view block)
{
    if (block.size() > max_event_bytes)
    {
        return stream_fault::event_size;
    }
    // Comments, and the time after which a reader that lost its connection shall reconnect.
    bool no_event = true;
    std::optional<std::string_view> id;
    while (!block.empty())
    {
        auto line = take_line(block);
        if (line.find('\r') != std::string_view::npos)
        {
            return stream_fault::event_form;
        }
        auto name = line.substr(0, line.find(':'));
        if (name.empty())
        {
            continue;
        }
        no_event = no_event && name == "retry";
        auto value = line.substr(std::min(line.size(), name.size() + 1));
        value.remove_prefix(value.starts_with(' ') ? 1 : 0);
        if (name == "id" && std::exchange(id, value))
        {
            return stream_fault::event_id;
        }
        if (name == "event" && value != "message")
        {
            return stream_fault::event_form;
        }
    }
    if (no_event)
    {
        return stream_fault::none;
    }
    return id ? judge_id(*id) : stream_fault::event_id;
}

stream_fault stream_continuity::judge_id(std::string_view text)
{
    auto id = parse_id(text);
    if (!id || (next_id_ && *id != *next_id_) || *id == std::numeric_limits<std::uint64_t>::max())
    {
        return stream_fault::event_id;
    }
    next_id_ = *id + 1;
    last_id_ = std::string(text);
    has_event_ = true;
    delivered_event_ = true;
    return stream_fault::none;
}

stream_fault stream_continuity::end(bool complete) const
{
    if (!complete || !is_padding(splitter_.partial()))
    {
        return stream_fault::broken;
    }
    return delivered_event_ && !has_event_ ? stream_fault::no_event : stream_fault::none;
}

} // namespace banyanshunt
