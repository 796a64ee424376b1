#include "serve/topic_reader.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace banyanshunt
{

namespace
{

/// Time allowed for a call on a new connection beyond the wait that it requests. The store responds
/// within some milliseconds; a slow one takes a second.
constexpr milliseconds max_response_timeout{1000};
constexpr int latencies_per_timeout = 3;
/// A host from which others request what it has read calls more often, so that they get fresh data,
/// until it received no such request for `reader_role_duration`.
constexpr milliseconds reader_role_duration{3000};
constexpr milliseconds reader_wait{500};
constexpr milliseconds reader_gap{400};
/// How often a host checks whether the data that another host reads for it has grown old.
constexpr milliseconds max_recheck_interval{300};
/// Delay after a failed call, doubled with each further failure.
constexpr milliseconds min_retry_delay{50};
constexpr milliseconds max_retry_delay{400};
/// Time between two complete reads of a topic whose positions turn out to be none, and of one whose
/// history the store has dropped again.
constexpr milliseconds min_reread_gap{1000};
constexpr milliseconds min_repeat_gap{250};
/// If the store was unreachable for this long, entries of running servers may have lapsed; three
/// times the usual period of server heartbeats.
constexpr milliseconds store_outage_threshold{3000};

/// A key behind all that begin like `key` up to its first byte outside ASCII. A page may show a key
/// whose bytes are not text as another key, after which the store does not continue; the names of
/// servers and hosts are ASCII, so that none is passed over.
std::string past_bytes_outside_ascii(const std::string& key)
{
    auto end = std::find_if(key.begin(), key.end(),
                            [](char it) { return static_cast<unsigned char>(it) > 0x7f; });
    return std::string(key.begin(), end) + "\xff\xff\xff\xff";
}

} // namespace

topic_reader::topic_reader(host_context& context, topic_reader_options options,
                           handlers initial_handlers)
    : context_(context), options_(std::move(options)), handlers_(std::move(initial_handlers)),
      store_(context.settings.log.address), rest_timer_(context.executor),
      gap_(options_.gap_patience)
{
}

task<void> topic_reader::rest(nanoseconds length)
{
    if (!refresh_requested_ && length.count() > 0)
    {
        rest_timer_.expires_after(length);
        co_await rest_timer_.async_wait(as_result);
    }
}

void topic_reader::refresh()
{
    refresh_requested_ = true;
    rest_timer_.cancel();
}

milliseconds topic_reader::next_wait() const
{
    // After a failure the first call does not wait, so that the data is confirmed as soon as
    // possible. Neither does it if the host that reads for this one became unresponsive.
    bool wanted_now =
        !store_reachable_ || refreshing_ || (is_shared() && context_.view.read_by_other);
    if (wanted_now)
    {
        return milliseconds(0);
    }
    auto wait = reads_for_others() ? std::min(options_.wait, reader_wait) : options_.wait;
    if (options_.max_age.count() > 0)
    {
        // Leaves time for an overdue response, and for the next call after it.
        auto due = confirmed_at_ + options_.max_age - 2 * response_timeout();
        wait = std::min(wait, std::chrono::floor<milliseconds>(due - context_.now()));
    }
    return std::max(wait, milliseconds(0));
}

milliseconds topic_reader::response_timeout() const
{
    return store_.is_open() ? std::clamp(latencies_per_timeout * latency_, min_response_timeout,
                                         max_response_timeout)
                            : max_response_timeout;
}

task<void> topic_reader::run()
{
    milliseconds retry_delay = min_retry_delay;
    while (true)
    {
        if (shared_view_is_fresh())
        {
            auto remaining = options_.max_shared_age - (context_.now() - confirmed_at_);
            co_await rest(
                std::clamp<nanoseconds>(remaining, milliseconds(20), max_recheck_interval));
            continue;
        }
        instant sent_at = context_.now();
        refreshing_ = std::exchange(refresh_requested_, false);
        bool good = false;
        if (next_)
        {
            good = co_await read_next();
        }
        else
        {
            good = co_await read_all_again();
        }
        record_contact(good);
        if (good)
        {
            retry_delay = min_retry_delay;
            // Records that one response did not hold are read at once.
            auto gap = has_more_ ? milliseconds(0) : options_.gap();
            if (reads_for_others())
            {
                gap = std::min(gap, reader_gap);
            }
            co_await rest(sent_at + gap - context_.now());
            continue;
        }
        handlers_.failed(sent_at);
        co_await pause(retry_delay);
        retry_delay = std::min(retry_delay * 2, max_retry_delay);
    }
}

void topic_reader::record_contact(bool reachable)
{
    if (reachable != store_reachable_)
    {
        context_.log.write_change(reachable ? "store_regained" : "store_lost", "topic={}",
                                  options_.topic);
        store_reachable_ = reachable;
    }
}

bool topic_reader::shared_view_is_fresh() const
{
    return next_ && store_reachable_ && !refresh_requested_ && !missed_records_ &&
           context_.view.read_by_other && context_.now() - confirmed_at_ < options_.max_shared_age;
}

bool topic_reader::reads_for_others() const
{
    return is_shared() && context_.view.requested_at &&
           context_.now() - *context_.view.requested_at < reader_role_duration;
}

void topic_reader::deliver(const std::vector<platform::keyed_record>& records)
{
    try
    {
        for (const auto& it : records)
        {
            deliver_record(it);
        }
    }
    catch (...)
    {
        next_.reset();
        throw;
    }
    recent_.shrink();
}

topic_view topic_reader::view_from(log_offset from) const
{
    auto view = recent_.view_from(from, next_.value_or(log_offset(0)), confirmed_at_);
    if (!next_)
    {
        view.complete = false;
        view.records.clear();
    }
    return view;
}

void topic_reader::apply(const topic_view& view)
{
    if (!next_)
    {
        return;
    }
    if (view.end < *next_)
    {
        // Usual while this host has read later than its reader. A topic does not become shorter,
        // so one that was read since and ended before this position was never as long.
        if (view.confirmed_at > position_at_)
        {
            refuse_view("behind", view);
        }
        return;
    }
    if (!view.complete)
    {
        missed_records_ = true;
        return;
    }
    if (!is_consistent(view))
    {
        refuse_view("inconsistent", view);
        return;
    }
    if (view.end.count() - next_->count() > platform::max_read_records)
    {
        // More than a response of the store holds. It may be true, which one call tells.
        refuse_view("far_ahead", view);
        return;
    }
    set_position(view.end);
    source_ = record_source::peer;
    record_regained(view.confirmed_at);
    record_response(view.confirmed_at);
    deliver(view.records);
    handlers_.confirmed(view.confirmed_at);
}

void topic_reader::refuse_view(const char* why, const topic_view& view)
{
    missed_records_ = true;
    context_.stats.increment("banyanshunt_records_refused_total", {{"topic", options_.topic}});
    if (view_refusals_.take(context_.now()))
    {
        context_.log.write("peer_view_refused", "topic={} why={} position={} end={} records={}",
                           options_.topic, why, next_->count(), view.end.count(),
                           view.records.size());
    }
}

void topic_reader::set_position(log_offset next)
{
    next_ = next;
    position_at_ = context_.now();
}

task<bool> topic_reader::read_all_again()
{
    co_await pause(std::max(nanoseconds(0), nanoseconds(reread_at_ - context_.now())));
    co_return next_ || co_await read_all(store_);
}

void topic_reader::deliver_record(const platform::keyed_record& record)
{
    if (handlers_.record(record))
    {
        recent_.add(record);
    }
}

task<bool> topic_reader::read_all(http_connection& store)
{
    instant sent_at = context_.now();
    std::vector<platform::keyed_record> all;
    complete_read read;
    std::string after;
    std::set<std::string> continued_after;
    while (true)
    {
        auto call = platform::newest_call(options_.topic, after);
        instant page_sent_at = context_.now();
        // A page is long, and many hosts may read it at once.
        auto response =
            co_await store.call(call.method, call.target, call.body, max_response_timeout);
        if (!response)
        {
            log_unanswered_call(store, page_sent_at, milliseconds(0));
        }
        if (!response || response->status != 200)
        {
            co_return false;
        }
        auto page = platform::parse_newest(response->body);
        if (!page)
        {
            context_.log.write("store_answer_bad", "topic={} detail=\"{}\"", options_.topic,
                               page.error().detail);
            co_return false;
        }
        // Pages are not a consistent snapshot: changes since the first page are read again from its
        // end offset.
        read.add_page(page->end);
        for (const auto& it : page->records)
        {
            read.add_record(it.offset);
        }
        if (page->unreadable > 0)
        {
            context_.stats.increment("banyanshunt_records_refused_total",
                                     {{"topic", options_.topic}}, page->unreadable);
            context_.log.write("store_answer_bad", "topic={} detail=\"{} unreadable records\"",
                               options_.topic, page->unreadable);
        }
        std::move(page->records.begin(), page->records.end(), std::back_inserter(all));
        if (!page->more || all.empty())
        {
            break;
        }
        after = all.back().key;
        if (!continued_after.insert(after).second &&
            !continued_after.insert(after = past_bytes_outside_ascii(after)).second)
        {
            // The store cannot continue after such a key; asking again would not end.
            context_.stats.increment("banyanshunt_records_refused_total",
                                     {{"topic", options_.topic}});
            context_.log.write("store_answer_bad",
                               "topic={} detail=\"the page after {} does not move on\"",
                               options_.topic, after);
            break;
        }
    }
    auto action = gap_.judge(read, context_.now());
    auto position = action == gap_action::read_gap ? read.reached() : read.end();
    if (action != gap_action::read_from_end)
    {
        context_.log.write_change("topic_gap", "topic={} reached={} end={} repeats={}",
                                  options_.topic, read.reached().count(), read.end().count(),
                                  action == gap_action::repeat);
    }
    has_more_ = false;
    recent_.restart(position);
    record_regained(sent_at);
    source_ = record_source::complete_read;
    if (action == gap_action::read_from_end)
    {
        record_response(sent_at);
    }
    handlers_.snapshot(all);
    if (action == gap_action::repeat)
    {
        next_.reset();
        reread_at_ = context_.now() + min_repeat_gap;
        co_return true;
    }
    // After an exception in the snapshot's handler, all is read again.
    set_position(position);
    if (action == gap_action::read_from_end)
    {
        handlers_.confirmed(sent_at);
    }
    co_return true;
}

task<bool> topic_reader::read_next()
{
    instant sent_at = context_.now();
    milliseconds wait = next_wait();
    log_offset from = *next_;
    auto call = platform::read_call(options_.topic, from, wait);
    auto response =
        co_await store_.call(call.method, call.target, call.body, wait + response_timeout());
    if (!response)
    {
        log_unanswered_call(store_, sent_at, wait);
        co_return false;
    }
    auto took = std::chrono::ceil<milliseconds>(context_.now() - sent_at);
    latency_ = wait.count() == 0 ? took : std::min(latency_, took);
    if (response->status != 200 && response->status != platform::expired_status)
    {
        co_return false;
    }
    if (next_ != from)
    {
        // What another host has read was taken over meanwhile; the next call goes on from there. Or
        // the position turned out to be none, or taking it over failed, and all is read again.
        co_return true;
    }
    if (response->status == platform::expired_status)
    {
        context_.log.write_change("store_history_expired", "topic={} offset={}", options_.topic,
                                  from.count());
        next_.reset();
        reread_at_ = std::max(reread_at_, expired_at_ + min_repeat_gap);
        expired_at_ = context_.now();
    }
    else
    {
        source_ = record_source::waiting_read;
        if (!accept_records(response->body, from, sent_at))
        {
            co_return false;
        }
        record_missed(from, wait, took);
    }
    if (!next_)
    {
        co_return co_await read_all_again();
    }
    co_return true;
}

bool topic_reader::accept_records(const std::string& body, log_offset from, instant sent_at)
{
    auto page = platform::parse_records(body, from);
    if (!page)
    {
        context_.log.write("store_answer_bad", "topic={} detail=\"{}\"", options_.topic,
                           page.error().detail);
        return false;
    }
    bool moves_on = page->next > from || page->next == page->end;
    if (!page->retains(from) || !moves_on)
    {
        context_.stats.increment("banyanshunt_records_refused_total", {{"topic", options_.topic}});
        context_.log.write("store_position_refused", "topic={} offset={} first={} end={}",
                           options_.topic, from.count(), page->first.count(), page->end.count());
        next_.reset();
        // Whoever states false positions may do so again and again, and a complete read is long.
        reread_at_ = std::max(reread_at_, refused_at_ + min_reread_gap);
        refused_at_ = context_.now();
        return true;
    }
    set_position(page->next);
    has_more_ = page->next < page->end;
    record_regained(sent_at);
    deliver(page->records);
    if (!has_more_)
    {
        record_response(sent_at);
        handlers_.confirmed(sent_at);
    }
    return true;
}

task<void> topic_reader::read_now()
{
    if (next_)
    {
        co_await read_beside(next_);
    }
}

task<void> topic_reader::read_completely()
{
    co_await read_beside(std::nullopt);
}

task<void> topic_reader::read_beside(std::optional<log_offset> from)
{
    if (reading_now_)
    {
        co_return;
    }
    reading_now_ = true;
    instant sent_at = context_.now();
    // The kept connection is in use by a call that waits, or may be what failed.
    http_connection store(context_.settings.log.address);
    bool answered = false;
    try
    {
        std::optional<call_response> response;
        if (from)
        {
            auto call = platform::read_call(options_.topic, *from, milliseconds(0));
            response =
                co_await store.call(call.method, call.target, call.body, min_response_timeout);
            answered = response.has_value();
        }
        bool is_expired = response && response->status == platform::expired_status;
        if (!from || (is_expired && next_ == from))
        {
            answered = co_await read_all(store);
        }
        else if (response && response->status == 200 && next_ == from)
        {
            source_ = record_source::immediate_read;
            accept_records(response->body, *from, sent_at);
        }
    }
    catch (...)
    {
        reading_now_ = false;
        throw;
    }
    reading_now_ = false;
    if (!answered)
    {
        // A waiting call would notice only at its end.
        record_contact(false);
        handlers_.failed(sent_at);
    }
}

void topic_reader::record_missed(log_offset from, milliseconds wait, milliseconds took)
{
    bool is_empty = next_ == from;
    bool at_end_of_wait = wait.count() > 0 && took >= wait;
    bool right_after_wait = ended_empty_ && took <= usual_response_time;
    ended_empty_ = is_empty && at_end_of_wait;
    if (next_ && !is_empty && (at_end_of_wait || right_after_wait))
    {
        context_.stats.increment("banyanshunt_records_missed_total", {{"topic", options_.topic}});
        context_.log.write_change("records_missed", "topic={} offset={} wait_ms={} took_ms={}",
                                  options_.topic, from.count(), wait.count(), took.count());
    }
}

void topic_reader::log_unanswered_call(const http_connection& store, instant sent_at,
                                       milliseconds wait)
{
    context_.stats.increment(
        "banyanshunt_store_calls_unanswered_total",
        {{"topic", options_.topic}, {"connection", store.reused() ? "reused" : "new"}});
    context_.log.write(
        "store_call_unanswered", "topic={} wait_ms={} took_ms={} connection={} since_answer_ms={}",
        options_.topic, wait.count(),
        std::chrono::floor<milliseconds>(context_.now() - sent_at).count(),
        store.reused() ? "reused" : "new",
        responded_at_ ? std::chrono::floor<milliseconds>(context_.now() - *responded_at_).count()
                      : -1);
}

void topic_reader::record_regained(instant sent_at)
{
    // By the times of the calls: what another host has read may arrive often and be old.
    if (responded_at_ && sent_at - confirmed_at_ > store_outage_threshold)
    {
        handlers_.recovered();
    }
}

void topic_reader::record_response(instant confirmed)
{
    confirmed_at_ = std::max(confirmed_at_, confirmed);
    missed_records_ = false;
    responded_at_ = context_.now();
}

} // namespace banyanshunt
