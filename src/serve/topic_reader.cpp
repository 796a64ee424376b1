#include "serve/topic_reader.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "platform/manifest.hpp"
#include "platform/registry.hpp"
#include "serve/loop_runner.hpp"

namespace banyanshunt
{

namespace
{

/// Time allowed for a call on a new connection beyond the wait that it requests. The store responds
/// within some milliseconds; a slow one takes a second.
constexpr milliseconds max_response_timeout{1000};
/// The same on a kept connection, which can become unresponsive without an error: a few round trips
/// and one retransmission. A store that was slower lately gets some multiple of that.
constexpr milliseconds min_response_timeout{300};
constexpr int latencies_per_timeout = 3;
/// How long a call waits for a change at most; hosts seldom call while nothing changes.
constexpr milliseconds topic_wait{2200};
/// The time that a call takes which does not wait, unless the store is slow.
constexpr milliseconds usual_response_time{100};
/// A host from which others request what it has read calls more often, so that they get fresh data,
/// until it received no such request for `reader_role_duration`.
constexpr milliseconds reader_role_duration{3000};
constexpr milliseconds reader_wait{500};
constexpr milliseconds reader_gap{400};
/// How often a host checks whether the data that another host reads for it has grown old.
constexpr milliseconds max_recheck_interval{300};
/// Bytes of read records that a host keeps, and that it sends in one datagram.
constexpr std::size_t max_recent_bytes = 65536;
constexpr std::size_t max_view_bytes = 16384;
/// Delay after a failed call, doubled with each further failure.
constexpr milliseconds min_retry_delay{50};
constexpr milliseconds max_retry_delay{400};
/// Time between two complete reads of a topic whose positions turn out to be none.
constexpr milliseconds min_reread_gap{1000};
/// If the store was unreachable for this long, entries of running servers may have lapsed; three
/// times the usual period of server heartbeats.
constexpr milliseconds store_outage_threshold{3000};
/// Time within which lapsed entries of running servers are registered again.
constexpr milliseconds entry_recovery_time{2000};

/// Time between two reads of the registry while servers change, as a fraction of the age that it
/// may have when a request is sent; the rest is left for the next response, and for another call if
/// that is overdue.
constexpr double registry_gap_fraction = 0.6;
/// Age at which a host reads the registry itself although another reads for it, as a fraction of
/// the same: more than the age that the reader's view usually has when it arrives, 0.9 s of 1.76 s.
constexpr double shared_registry_fraction = 0.7;

/// How long a read of the configuration waits. A waiting read may miss a record that is appended
/// as it arrives, so its end must come before the record has to be in force; and an unresponsive
/// connection has to be found well before the configuration counts as stale.
milliseconds config_wait(const host_context& context)
{
    return std::min({topic_wait, context.settings.bounds.ticket_apply - usual_response_time,
                     context.max_config_age() / 2 - min_response_timeout});
}

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

/// A key behind all that begin like `key` up to its first byte outside ASCII. A page may show a key
/// whose bytes are not text as another key, after which the store does not continue; the names of
/// servers and hosts are ASCII, so that none is passed over.
std::string past_bytes_outside_ascii(const std::string& key)
{
    auto end = std::find_if(key.begin(), key.end(),
                            [](char it) { return static_cast<unsigned char>(it) > 0x7f; });
    return std::string(key.begin(), end) + "\xff\xff\xff\xff";
}

milliseconds fraction_of(milliseconds max_age, double fraction)
{
    return std::chrono::duration_cast<milliseconds>(max_age * fraction);
}

} // namespace

topic_reader::topic_reader(host_context& context, topic_reader_options options,
                           handlers initial_handlers)
    : context_(context), options_(std::move(options)), handlers_(std::move(initial_handlers)),
      store_(context.settings.log.address), rest_timer_(context.executor)
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
            good = co_await read_all();
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
        context_.log.write(reachable ? "store_regained" : "store_lost", "topic={}", options_.topic);
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
    while (recent_bytes_ > max_recent_bytes)
    {
        const auto& first = recent_.front();
        recent_bytes_ -= first.key.size() + first.value.value_or("").size();
        recent_from_ = log_offset(first.offset.count() + 1);
        recent_.pop_front();
    }
}

topic_view topic_reader::view_from(log_offset from) const
{
    topic_view view{.end = next_.value_or(log_offset(0)),
                    .confirmed_at = confirmed_at_,
                    .complete = false,
                    .records = {}};
    view.complete = next_ && from >= recent_from_ && from <= view.end;
    std::size_t bytes = 0;
    for (auto it = recent_.rbegin(); view.complete && it != recent_.rend() && it->offset >= from;
         ++it)
    {
        bytes += it->key.size() + it->value.value_or("").size();
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
    // Whoever states false positions may do so again and again, and a complete read is long.
    co_await pause(std::max(nanoseconds(0), nanoseconds(reread_at_ - context_.now())));
    reread_at_ = context_.now() + min_reread_gap;
    co_return co_await read_all();
}

void topic_reader::deliver_record(const platform::keyed_record& record)
{
    if (handlers_.record(record))
    {
        recent_.push_back(record);
        recent_bytes_ += record.key.size() + record.value.value_or("").size();
    }
}

task<bool> topic_reader::read_all()
{
    instant sent_at = context_.now();
    std::vector<platform::keyed_record> all;
    std::optional<log_offset> begin;
    std::string after;
    std::set<std::string> continued_after;
    while (true)
    {
        auto call = platform::newest_call(options_.topic, after);
        instant page_sent_at = context_.now();
        // A page is long, and many hosts may read it at once.
        auto response =
            co_await store_.call(call.method, call.target, call.body, max_response_timeout);
        if (!response)
        {
            log_unanswered_call(page_sent_at, milliseconds(0));
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
        begin = begin ? begin : page->end;
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
    has_more_ = false;
    recent_.clear();
    recent_bytes_ = 0;
    recent_from_ = *begin;
    record_regained(sent_at);
    record_response(sent_at);
    handlers_.snapshot(all);
    // After an exception in the snapshot's handler, all is read again.
    set_position(*begin);
    handlers_.confirmed(sent_at);
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
        log_unanswered_call(sent_at, wait);
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
        context_.log.write("store_history_expired", "topic={} offset={}", options_.topic,
                           from.count());
        next_.reset();
    }
    else if (!accept_records(response->body, from, sent_at))
    {
        co_return false;
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
    if (!next_ || reading_now_)
    {
        co_return;
    }
    reading_now_ = true;
    instant sent_at = context_.now();
    log_offset from = *next_;
    auto call = platform::read_call(options_.topic, from, milliseconds(0));
    // The kept connection is in use by a call that waits, or may be what failed.
    http_connection store(context_.settings.log.address);
    std::optional<call_response> response;
    try
    {
        response = co_await store.call(call.method, call.target, call.body, min_response_timeout);
    }
    catch (...)
    {
        reading_now_ = false;
        throw;
    }
    reading_now_ = false;
    if (!response)
    {
        // A waiting call would notice only at its end.
        record_contact(false);
    }
    if (response && response->status == 200 && next_ == from)
    {
        accept_records(response->body, from, sent_at);
    }
}

void topic_reader::log_unanswered_call(instant sent_at, milliseconds wait)
{
    context_.stats.increment(
        "banyanshunt_store_calls_unanswered_total",
        {{"topic", options_.topic}, {"connection", store_.reused() ? "reused" : "new"}});
    context_.log.write(
        "store_call_unanswered", "topic={} wait_ms={} took_ms={} connection={} since_answer_ms={}",
        options_.topic, wait.count(),
        std::chrono::floor<milliseconds>(context_.now() - sent_at).count(),
        store_.reused() ? "reused" : "new",
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

state_watcher::state_watcher(host_context& context)
    : context_(context),
      config_(context,
              {.topic = platform::config_topic,
               .wait = config_wait(context),
               .max_shared_age = config_bounds().own_read,
               .max_age = context.max_config_age()},
              {.snapshot = [this](const auto& records) { apply_operator_snapshot(records); },
               .record = [this](const auto& record) { return apply_operator_record(record); },
               .confirmed =
                   [this](instant sent_at)
               {
                   if (context_.config)
                   {
                       context_.config_confirmed_at =
                           std::max(context_.config_confirmed_at.value_or(sent_at), sent_at);
                   }
                   context_.waiting.wake(host_context::config_wait_key);
               }}),
      servers_(
          context,
          {.topic = platform::server_topic,
           .wait = topic_wait,
           .max_shared_age = fraction_of(context.max_server_list_age(), shared_registry_fraction),
           .max_age = context.max_server_list_age(),
           .gap = [&context]
           { return fraction_of(context.max_server_list_age(), registry_gap_fraction); }},
          {.snapshot = [this](const auto& records) { apply_server_snapshot(records); },
           .record = [this](const auto& record) { return apply_server(record, record.offset); },
           .recovered =
               [this]
           {
               defer_removals_until_ = context_.now() + entry_recovery_time;
               context_.log.write("server_removals_deferred", "for_ms={}",
                                  entry_recovery_time.count());
           },
           .confirmed = [this](instant sent_at) { record_list_call(sent_at, true); },
           .failed = [this](instant sent_at) { record_list_call(sent_at, false); }})
{
    context_.refresh_server_list = [this] { servers_.refresh(); };
    context_.refresh_config = [this] { spawn_once(context_, "config_read", config_.read_now()); };
}

void state_watcher::start()
{
    spawn_loop(context_, "config", [this] { return run_config(); });
    spawn_loop(context_, "servers", [this] { return run_servers(); });
}

shared_view_bounds state_watcher::config_bounds() const
{
    return bound_shared_view(context_.settings.bounds.ticket_apply, min_response_timeout);
}

void state_watcher::record_list_call(instant sent_at, bool confirmed)
{
    if (confirmed)
    {
        context_.servers_known = true;
        context_.list_age.record_confirmed(sent_at);
    }
    else
    {
        context_.list_age.record_failed(sent_at);
    }
    context_.waiting.wake(host_context::server_list_wait_key);
}

bool state_watcher::log_refusal(const char* topic)
{
    context_.stats.increment("banyanshunt_records_refused_total", {{"topic", topic}});
    return refusals_.take(context_.now());
}

bool state_watcher::apply_operator_record(const platform::keyed_record& record)
{
    return std::string_view(record.key).starts_with(platform::evacuation_prefix)
               ? apply_evacuation(record)
               : apply_config(record);
}

void state_watcher::apply_operator_snapshot(const std::vector<platform::keyed_record>& records)
{
    auto ended = context_.servers.evacuated();
    for (const auto& record : records)
    {
        apply_operator_record(record);
        if (std::string_view(record.key).starts_with(platform::evacuation_prefix))
        {
            ended.erase(domain_id(record.key.substr(platform::evacuation_prefix.size())));
        }
    }
    for (const auto& domain : ended)
    {
        apply_evacuation({.key = std::string(platform::evacuation_prefix) + domain.str(),
                          .value = std::nullopt});
    }
}

bool state_watcher::apply_evacuation(const platform::keyed_record& record)
{
    domain_id domain(record.key.substr(platform::evacuation_prefix.size()));
    const auto& known = context_.settings.domains;
    if (!known.empty() && !known.contains(domain))
    {
        if (log_refusal(platform::config_topic))
        {
            context_.log.write("evacuation_refused",
                               "key=\"{}\" detail=\"the settings name no such failure domain\"",
                               record.key);
        }
        return false;
    }
    auto domains = context_.servers.evacuated();
    if (record.value)
    {
        domains.insert(domain);
    }
    else
    {
        domains.erase(domain);
    }
    if (!context_.servers.set_evacuated(std::move(domains)))
    {
        return false;
    }
    context_.log.write("evacuation", "domain={} state={}", domain.str(),
                       record.value ? "begun" : "ended");
    context_.stats.set("banyanshunt_evacuated_domains",
                       static_cast<double>(context_.servers.evacuated().size()));
    context_.waiting.wake_all();
    return true;
}

void state_watcher::apply_cold(const backend_entry& entry)
{
    auto& limits = context_.servers.limits();
    const auto* service = context_.config ? context_.config->find_service(entry.service) : nullptr;
    if (entry.warmup_left.count() <= 0 || !service || service->cold_requests_per_s <= 0)
    {
        if (limits.end_cold(entry.id))
        {
            context_.log.write("server_warm", "server={}", entry.id.str());
            context_.waiting.wake_all();
        }
        return;
    }
    const auto& bounds = context_.settings.bounds;
    double per_s = service->cold_requests_per_s;
    cold_limit limit{.start_time_ms = entry.start_time_ms,
                     .rate =
                         cold_permit_rate(per_s * bounds.cold_factor + bounds.cold_extra, per_s),
                     .until = context_.now() + entry.warmup_left};
    if (limits.set_cold(entry.id, limit))
    {
        context_.stats.increment("banyanshunt_cold_servers_total");
        context_.log.write("server_cold", "server={} left_ms={} permits_per_s={:.3f}",
                           entry.id.str(), entry.warmup_left.count(),
                           static_cast<double>(limit.rate.count()) / millirequests_per_request);
        context_.on_server_cold(entry.id);
    }
}

bool state_watcher::apply_config(const platform::keyed_record& record)
{
    if (record.key != platform::config_key || !record.value)
    {
        return false;
    }
    auto parsed = platform::parse_manifest(*record.value);
    if (!parsed)
    {
        if (log_refusal(platform::config_topic))
        {
            context_.log.write("config_refused", "detail=\"{}\"", parsed.error().detail);
        }
        return false;
    }
    if (context_.config && (*parsed)->version <= context_.config->version)
    {
        return false;
    }
    context_.config = *parsed;
    context_.log.write("config_in_force", "version={} routes={} workspaces={}",
                       context_.config->version, context_.config->routes.size(),
                       context_.config->workspaces.size());
    for (const auto& [id, it] : context_.servers.servers())
    {
        apply_cold(it.entry);
    }
    context_.on_config_change();
    context_.waiting.wake_all();
    return true;
}

bool state_watcher::apply_server(const platform::keyed_record& record, log_offset offset)
{
    server_id id(record.key);
    if (!record.value)
    {
        return remove_server(id);
    }
    auto parsed = platform::parse_server_entry(id, *record.value);
    if (!parsed)
    {
        if (log_refusal(platform::server_topic))
        {
            context_.log.write("server_entry_refused", "server={} known={} detail=\"{}\"", id.str(),
                               context_.servers.find(id) != nullptr, parsed.error().detail);
        }
        return false;
    }
    bool removal_cancelled = deferred_removals_.erase(id) > 0;
    const auto* known = context_.servers.find(id);
    if (known && context_.config && !context_.config->find_service(parsed->service) &&
        context_.config->find_service(known->entry.service))
    {
        // Of another writer: it names no server to use, and the server's own entry holds.
        if (log_refusal(platform::server_topic))
        {
            context_.log.write("server_entry_refused",
                               "server={} known=true detail=\"no service has the name {}\"",
                               id.str(), parsed->service.str());
        }
        return removal_cancelled;
    }
    if (known && known->entry.sequence <= parsed->sequence)
    {
        // A running server announces itself repeatedly.
        auto refreshed = known->entry;
        refreshed.sequence = parsed->sequence;
        if (refreshed == *parsed && !known->removed)
        {
            context_.servers.confirm_newest(id, context_.now());
            // Hosts that take over what this one reads have deferred the removal as well.
            return removal_cancelled;
        }
    }
    bool restarted = known && known->entry.start_time_ms != parsed->start_time_ms;
    bool began_draining = parsed->draining && (!known || !known->entry.draining);
    endpoint_text old_address = known ? known->entry.address : parsed->address;
    if (!context_.servers.apply_entry(*parsed, context_.now(), offset))
    {
        return false;
    }
    apply_cold(*parsed);
    if (restarted || began_draining)
    {
        context_.pool.close_idle(old_address);
    }
    context_.log.write("server_entry",
                       "server={} service={} draining={} announcement={} models={} born={}",
                       id.str(), parsed->service.str(), parsed->draining, parsed->sequence,
                       parsed->models.size(), parsed->start_time_ms);
    context_.waiting.wake_all();
    return true;
}

void state_watcher::apply_server_snapshot(const std::vector<platform::keyed_record>& records)
{
    std::set<server_id> listed;
    context_.servers.forget_offsets();
    for (const auto& record : records)
    {
        apply_server(record, backend_table::complete_read_offset);
        listed.insert(server_id(record.key));
    }
    std::vector<server_id> missing;
    for (const auto& [id, it] : context_.servers.servers())
    {
        if (!listed.contains(id) && !it.removed)
        {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing)
    {
        remove_server(id);
    }
}

bool state_watcher::remove_server(const server_id& server)
{
    const auto* known = context_.servers.find(server);
    if (!known || known->removed)
    {
        return false;
    }
    if (context_.now() < defer_removals_until_ && !known->entry.draining)
    {
        deferred_removals_[server] = ++next_deferral_;
        auto length = defer_removals_until_ - context_.now();
        context_.stats.increment("banyanshunt_server_removals_deferred_total");
        context_.log.write("server_removal_deferred", "server={} for_ms={}", server.str(),
                           std::chrono::ceil<milliseconds>(length).count());
        spawn_once(context_, "server_removal", remove_later(server, defer_removals_until_));
        return true;
    }
    drop_server(server);
    return true;
}

task<void> state_watcher::remove_later(server_id server, instant at)
{
    auto deferral = deferred_removals_[server];
    co_await pause(at - context_.now());
    auto it = deferred_removals_.find(server);
    if (it != deferred_removals_.end() && it->second == deferral)
    {
        deferred_removals_.erase(it);
        drop_server(server);
    }
}

void state_watcher::drop_server(const server_id& server)
{
    const auto* known = context_.servers.find(server);
    if (!known || known->removed)
    {
        return;
    }
    context_.log.write("server_gone", "server={}", server.str());
    context_.pool.close_idle(known->entry.address);
    context_.servers.remove(server);
    context_.waiting.wake_all();
}

} // namespace banyanshunt
