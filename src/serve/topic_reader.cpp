#include "serve/topic_reader.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "platform/manifest.hpp"
#include "platform/registry.hpp"

namespace banyanshunt
{

namespace
{

/// What a call may take beyond the wait that it asks for. The store answers in some milliseconds;
/// a slow one takes a second. Short, as a connection can go silent without an error.
constexpr milliseconds answer_patience{1000};
/// How long a call waits for a change. With the patience behind it, a connection that went silent
/// is found well before the configuration counts as stale, and quiet hosts call seldom.
constexpr milliseconds config_wait{2200};
/// A host that others ask for what it has read calls more often, so that they get it fresh, until
/// it was not asked for `readers_turn`.
constexpr milliseconds readers_turn{3000};
constexpr milliseconds reader_wait{500};
constexpr milliseconds reader_gap{400};
/// How old the configuration may grow before a host reads it itself though another reads for it:
/// less than half of the shortest bound on withdrawn keys.
constexpr milliseconds own_config_read_after{2000};
/// How often a host looks whether what another reads for it has grown old.
constexpr milliseconds longest_nap{300};
/// What a host keeps of the records it has read, and sends in one datagram, in bytes.
constexpr std::size_t most_recent_bytes = 65536;
constexpr std::size_t most_view_bytes = 16384;
/// The pause after a failed call, doubled while failures go on.
constexpr milliseconds first_pause{50};
constexpr milliseconds longest_pause{400};
/// If the store was out of reach for so long, entries may have lapsed though their servers live;
/// three times the usual period of servers' heartbeats.
constexpr milliseconds store_away{3000};
/// By then lapsed entries of live servers are back.
constexpr milliseconds entries_back{2000};

/// The pause between two reads of the registry while servers change, as a part of the bound on how
/// soon a leaving server gets no more work; the rest covers a slow store and the way of a request.
constexpr double registry_gap_part = 0.6;

milliseconds registry_gap(milliseconds drain_bound)
{
    return std::chrono::duration_cast<milliseconds>(drain_bound * registry_gap_part);
}

} // namespace

topic_reader::topic_reader(host_context& core, topic_reader_options options, handlers given)
    : core_(core), options_(std::move(options)), handlers_(std::move(given)),
      link_(core.settings.log.address)
{
}

task<void> topic_reader::run()
{
    milliseconds after_failure = first_pause;
    while (true)
    {
        if (others_suffice())
        {
            auto left = options_.max_shared_age - (core_.now() - confirmed_at_);
            co_await pause(std::clamp<nanoseconds>(left, milliseconds(20), longest_nap));
            continue;
        }
        bool good = false;
        if (next_)
        {
            good = co_await read_on();
        }
        else
        {
            good = co_await read_whole();
        }
        if (good != reached_)
        {
            core_.log.write(good ? "store_regained" : "store_lost", "topic={}", options_.topic);
            reached_ = good;
        }
        if (good)
        {
            after_failure = first_pause;
            auto gap = options_.gap();
            if (reads_for_others())
            {
                gap = std::min(gap, reader_gap);
            }
            if (gap.count() > 0)
            {
                co_await pause(gap);
            }
            continue;
        }
        co_await pause(after_failure);
        after_failure = std::min(after_failure * 2, longest_pause);
    }
}

bool topic_reader::others_suffice() const
{
    return next_ && reached_ && !behind_ && core_.view.read_by_other &&
           core_.now() - confirmed_at_ < options_.max_shared_age;
}

bool topic_reader::reads_for_others() const
{
    return is_shared() && core_.now() - core_.view.requested_at < readers_turn;
}

void topic_reader::hand_on(const std::vector<platform::keyed_record>& records)
{
    for (const auto& it : records)
    {
        if (!handlers_.record(it))
        {
            continue;
        }
        recent_.push_back(it);
        recent_bytes_ += it.key.size() + it.value.value_or("").size();
    }
    while (recent_bytes_ > most_recent_bytes)
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
        view.complete = bytes <= most_view_bytes;
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
    if (!next_ || view.end < *next_)
    {
        return;
    }
    if (!view.complete)
    {
        behind_ = true;
        return;
    }
    next_ = view.end;
    note_answer(view.confirmed_at);
    hand_on(view.records);
    handlers_.confirmed(view.confirmed_at);
}

task<bool> topic_reader::read_whole()
{
    instant asked = core_.now();
    std::vector<platform::keyed_record> all;
    std::optional<log_offset> begin;
    std::string after;
    while (true)
    {
        auto call = platform::newest_call(options_.topic, after);
        auto answer = co_await link_.call(call.method, call.target, call.body, answer_patience);
        if (!answer || answer->status != 200)
        {
            co_return false;
        }
        auto page = platform::parse_newest(answer->body);
        if (!page)
        {
            core_.log.write("store_answer_bad", "topic={} detail=\"{}\"", options_.topic,
                            page.error().detail);
            co_return false;
        }
        // Pages are no snapshot: what changed since the first is read again from its end.
        begin = begin ? begin : page->end;
        std::move(page->records.begin(), page->records.end(), std::back_inserter(all));
        if (!page->more || all.empty())
        {
            break;
        }
        after = all.back().key;
    }
    next_ = begin;
    recent_.clear();
    recent_bytes_ = 0;
    recent_from_ = *begin;
    note_answer(asked);
    handlers_.snapshot(all);
    handlers_.confirmed(asked);
    co_return true;
}

task<bool> topic_reader::read_on()
{
    instant asked = core_.now();
    // Behind a failure the first call does not wait: what matters is to be confirmed again.
    milliseconds wait = reached_ ? options_.wait : milliseconds(0);
    wait = reads_for_others() ? std::min(wait, reader_wait) : wait;
    // The one that reads for this host fell silent: what matters is what is in force now.
    wait = is_shared() && core_.view.read_by_other ? milliseconds(0) : wait;
    auto call = platform::read_call(options_.topic, *next_, wait);
    auto answer = co_await link_.call(call.method, call.target, call.body, wait + answer_patience);
    if (!answer)
    {
        co_return false;
    }
    if (answer->status == platform::expired_status)
    {
        core_.log.write("store_history_expired", "topic={} offset={}", options_.topic,
                        next_->count());
        next_.reset();
        co_return co_await read_whole();
    }
    if (answer->status != 200)
    {
        co_return false;
    }
    auto page = platform::parse_records(answer->body, *next_);
    if (!page)
    {
        core_.log.write("store_answer_bad", "topic={} detail=\"{}\"", options_.topic,
                        page.error().detail);
        co_return false;
    }
    next_ = page->end;
    note_answer(asked);
    hand_on(page->records);
    handlers_.confirmed(asked);
    co_return true;
}

void topic_reader::note_answer(instant confirmed)
{
    instant now = core_.now();
    confirmed_at_ = std::max(confirmed_at_, confirmed);
    behind_ = false;
    if (answered_at_ && now - *answered_at_ > store_away)
    {
        handlers_.recovered();
    }
    answered_at_ = now;
}

state_watcher::state_watcher(host_context& core)
    : core_(core), config_(core,
                           {.topic = platform::config_topic,
                            .wait = config_wait,
                            .max_shared_age = own_config_read_after},
                           {.snapshot =
                                [this](const auto& records)
                            {
                                for (const auto& record : records)
                                {
                                    take_config(record);
                                }
                            },
                            .record = [this](const auto& record) { return take_config(record); },
                            .confirmed =
                                [this](instant asked)
                            {
                                if (core_.config)
                                {
                                    core_.config_confirmed_at =
                                        std::max(core_.config_confirmed_at.value_or(asked), asked);
                                }
                            }}),
      servers_(core,
               {.topic = platform::server_topic,
                .wait = config_wait,
                .max_shared_age = registry_gap(core.settings.bounds.drain),
                .gap = [&core] { return registry_gap(core.settings.bounds.drain); }},
               {.snapshot = [this](const auto& records) { take_all_servers(records); },
                .record = [this](const auto& record) { return take_server(record); },
                .recovered = [this] { doubtful_until_ = core_.now() + entries_back; },
                .confirmed = [this](instant) { core_.servers_known = true; }})
{
}

bool state_watcher::take_config(const platform::keyed_record& record)
{
    if (record.key != platform::config_key || !record.value)
    {
        return false;
    }
    auto parsed = platform::parse_manifest(*record.value);
    if (!parsed)
    {
        core_.log.write("config_refused", "detail=\"{}\"", parsed.error().detail);
        return false;
    }
    if (core_.config && (*parsed)->version <= core_.config->version)
    {
        return false;
    }
    core_.config = *parsed;
    core_.log.write("config_in_force", "version={} routes={} workspaces={}", core_.config->version,
                    core_.config->routes.size(), core_.config->workspaces.size());
    core_.on_config_change();
    core_.waiting.wake_all();
    return true;
}

bool state_watcher::take_server(const platform::keyed_record& record)
{
    server_id id(record.key);
    if (!record.value)
    {
        return remove_server(id);
    }
    auto parsed = platform::parse_server_entry(id, *record.value);
    if (!parsed)
    {
        core_.log.write("server_entry_refused", "server={} detail=\"{}\"", id.str(),
                        parsed.error().detail);
        return false;
    }
    doubtful_.erase(id);
    const auto* known = core_.servers.find(id);
    if (known && known->entry.sequence <= parsed->sequence)
    {
        // A server that lives announces itself again and again.
        auto same = known->entry;
        same.sequence = parsed->sequence;
        if (same == *parsed && !known->removed)
        {
            return false;
        }
    }
    bool fresh_life = known && known->entry.start_time_ms != parsed->start_time_ms;
    bool leaving = parsed->draining && (!known || !known->entry.draining);
    endpoint_text old_address = known ? known->entry.address : parsed->address;
    if (!core_.servers.apply_entry(*parsed, core_.now()))
    {
        return false;
    }
    if (fresh_life || leaving)
    {
        core_.pool.close_idle(old_address);
    }
    core_.log.write("server_entry",
                    "server={} service={} draining={} announcement={} models={} born={}", id.str(),
                    parsed->service.str(), parsed->draining, parsed->sequence,
                    parsed->models.size(), parsed->start_time_ms);
    core_.waiting.wake_all();
    return true;
}

void state_watcher::take_all_servers(const std::vector<platform::keyed_record>& records)
{
    std::set<server_id> listed;
    for (const auto& record : records)
    {
        take_server(record);
        listed.insert(server_id(record.key));
    }
    std::vector<server_id> missing;
    for (const auto& [id, it] : core_.servers.servers())
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
    const auto* known = core_.servers.find(server);
    if (!known || known->removed)
    {
        return false;
    }
    if (core_.now() < doubtful_until_ && !known->entry.draining)
    {
        doubtful_[server] = ++next_doubt_;
        asio::co_spawn(core_.executor, remove_later(server), asio::detached);
        return true;
    }
    core_.log.write("server_gone", "server={}", server.str());
    core_.pool.close_idle(known->entry.address);
    core_.servers.remove(server);
    core_.waiting.wake_all();
    return true;
}

task<void> state_watcher::remove_later(server_id server)
{
    auto doubt = doubtful_[server];
    co_await pause(entries_back);
    auto it = doubtful_.find(server);
    if (it != doubtful_.end() && it->second == doubt)
    {
        doubtful_.erase(it);
        doubtful_until_ = instant::min();
        remove_server(server);
    }
}

} // namespace banyanshunt
