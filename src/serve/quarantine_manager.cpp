#include "serve/quarantine_manager.hpp"

#include <algorithm>
#include <iterator>

#include "peers.pb.h"
#include "serve/loop_runner.hpp"

namespace banyanshunt
{

namespace
{

/// From the end of a connection until its server's address is tried: a process that ends closes its
/// connections and its listener one after the other.
constexpr milliseconds check_delay{20};
/// A server in another failure domain refuses a connection within milliseconds.
constexpr milliseconds check_timeout{300};
/// How long reports repeat what this host saw: 410 hosts send those between domains every 3.8 s.
constexpr seconds report_duration{8};
/// What one report repeats; the next one has other bans. An item is some 15 bytes and a part, and a
/// host sends 80 reports a second at most, so the bans cost up to 5 KB/s.
constexpr std::size_t max_crashes_in_report = 4;
constexpr std::size_t max_sound_in_report = 4;
constexpr std::size_t max_bans_in_report = 4;
constexpr std::size_t max_kept = 32;
/// Parts that are told with a ban; fewer of them ban more requests.
constexpr std::size_t max_parts_with_ban = 8;
/// Parts in the requests that one server had not begun to answer.
constexpr std::size_t max_parts_of_crash = 256;
/// How often one host contradicts bans and suspicions of one part.
constexpr milliseconds contradiction_period{1000};
/// About so many of the hosts that know a part as sound say so at once; the others in a report.
constexpr double first_contradictions = 4;

constexpr milliseconds store_timeout{1000};
constexpr milliseconds first_retry_delay{100};
constexpr milliseconds max_retry_delay{2000};
constexpr int max_writes = 10;
constexpr int ok_status = 200;

std::int64_t unix_ms_now()
{
    auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::floor<milliseconds>(since_epoch).count();
}

std::uint32_t age_ms(instant at, instant now)
{
    auto age = std::chrono::ceil<milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0));
}

prompt_part to_part(std::uint64_t bits)
{
    return prompt_part(static_cast<std::int64_t>(bits));
}

std::uint64_t to_bits(prompt_part part)
{
    return static_cast<std::uint64_t>(part.count());
}

template <class Items, class Item>
void push_newest(Items& items, Item newest)
{
    items.push_front(std::move(newest));
    if (items.size() > max_kept)
    {
        items.pop_back();
    }
}

} // namespace

quarantine_manager::quarantine_manager(host_context& context, const peer_list& peers,
                                       broadcast send_to_all)
    : context_(context), peers_(peers), send_to_all_(std::move(send_to_all))
{
}

void quarantine_manager::start()
{
    context_.quarantine.record_allowed(context_.settings.sound_parts);
    spawn_loop(context_, "bans", [this] { return read_bans(); });
}

task<void> quarantine_manager::read_bans()
{
    http_connection store(context_.settings.log.address);
    milliseconds retry_delay = first_retry_delay;
    std::string after;
    while (!context_.bans_known)
    {
        auto next = co_await read_page(store, after);
        if (!next)
        {
            co_await pause(retry_delay);
            retry_delay = std::min(retry_delay * 2, max_retry_delay);
            continue;
        }
        context_.bans_known = next->empty();
        after = *next;
    }
}

task<std::optional<std::string>> quarantine_manager::read_page(http_connection& store,
                                                               std::string after)
{
    auto call = platform::newest_call(platform::banned_part_topic, after);
    auto response = co_await store.call(call.method, call.target, call.body, store_timeout);
    if (response && response->status == platform::no_topic_status)
    {
        co_return "";
    }
    if (!response || response->status != ok_status)
    {
        co_return std::nullopt;
    }
    auto page = platform::parse_newest(response->body);
    if (!page)
    {
        context_.log.write("store_answer_bad", "topic={} offset=0 call=newest detail=\"{}\"",
                           platform::banned_part_topic, page.error().detail);
        co_return std::nullopt;
    }
    for (const auto& record : page->records)
    {
        apply_record(record);
    }
    co_return page->more && !page->records.empty() ? page->records.back().key : "";
}

void quarantine_manager::apply_record(const platform::keyed_record& record)
{
    auto ban = platform::parse_ban(record);
    if (!ban)
    {
        return;
    }
    // The clocks of hosts differ, and may jump.
    auto age = std::max(milliseconds(unix_ms_now() - ban->unix_ms), milliseconds(0));
    instant now = context_.now();
    if (age > context_.quarantine.retention() || context_.quarantine.is_sound(ban->part))
    {
        drop_record(ban->part);
    }
    else if (context_.quarantine.record_ban({.part = ban->part, .at = now - age, .with = ban->with},
                                            now))
    {
        context_.stats.increment("banyanshunt_prompt_parts_banned_total", {{"source", "store"}});
        context_.log.write("prompt_part_banned", "part={:x} servers=- source=store",
                           to_bits(ban->part));
    }
}

task<void> quarantine_manager::write_record(platform::keyed_record record)
{
    auto call = platform::put_call(platform::banned_part_topic, record);
    milliseconds retry_delay = first_retry_delay;
    for (int n = 0; n < max_writes; ++n)
    {
        http_connection store(context_.settings.log.address);
        auto response = co_await store.call(call.method, call.target, call.body, store_timeout);
        if (response && response->status == ok_status)
        {
            co_return;
        }
        co_await pause(retry_delay);
        retry_delay = std::min(retry_delay * 2, max_retry_delay);
    }
    context_.log.write("ban_not_stored", "part={}", record.key);
}

void quarantine_manager::store_ban(prompt_part part)
{
    auto bans = context_.quarantine.bans();
    auto it =
        std::find_if(bans.begin(), bans.end(), [&](const auto& ban) { return ban.part == part; });
    if (it == bans.end())
    {
        return;
    }
    it->with.resize(std::min(it->with.size(), max_parts_with_ban));
    spawn_once(context_, "store_ban",
               write_record(platform::to_record(
                   {.part = part, .unix_ms = unix_ms_now(), .with = it->with})));
}

void quarantine_manager::drop_record(prompt_part part)
{
    auto record = platform::to_record({.part = part});
    record.value.reset();
    spawn_once(context_, "drop_ban", write_record(std::move(record)));
}

void quarantine_manager::check_server(const server_id& server,
                                      const std::vector<prompt_part>& parts)
{
    const auto* known = context_.servers.find(server);
    // One that leaves ends as planned.
    if (!known || known->removed || context_.servers.leaves(*known))
    {
        return;
    }
    auto [it, is_new] = context_.end_checks.try_emplace(server);
    for (auto part : parts)
    {
        if (it->second.size() < max_parts_of_crash)
        {
            it->second.insert(part);
        }
    }
    if (is_new)
    {
        spawn_once(context_, "end_check",
                   run_check(server, known->entry.start_time_ms, known->entry.address),
                   [this, server] { context_.end_checks.erase(server); });
    }
}

task<void> quarantine_manager::run_check(server_id server, std::int64_t start_time_ms,
                                         endpoint_text address)
{
    instant ended_at = context_.now();
    co_await pause(check_delay);
    bool ended = co_await refuses_connections(address, check_timeout);
    auto parts = context_.end_checks.extract(server).mapped();
    context_.stats.increment("banyanshunt_server_end_checks_total",
                             {{"result", ended ? "ended" : "lives"}});
    if (ended)
    {
        crash_report report{
            .crash = {.server = server, .start_time_ms = start_time_ms, .at = ended_at},
            .parts = {parts.begin(), parts.end()}};
        record_crash(report, "response");
        // A crash of a part that is banned already tells it apart from others that were beside it.
        for (auto part : report.parts)
        {
            if (context_.quarantine.is_banned(part))
            {
                store_ban(part);
            }
        }
        auto message = peers_.new_message();
        write(report, *message.add_prompt_crashes());
        send_to_all_(std::move(message));
        push_newest(crashes_, std::move(report));
    }
    context_.waiting.wake(host_context::quarantine_wait_key);
}

void quarantine_manager::record_crash(const crash_report& report, const char* source)
{
    auto effect = context_.quarantine.record_crash(report.parts, report.crash);
    for (auto part : effect.counted)
    {
        if (lines_.take(context_.now()))
        {
            context_.log.write("prompt_part_suspected", "part={:x} server={} born={} source={}",
                               to_bits(part), report.crash.server.str(), report.crash.start_time_ms,
                               source);
        }
    }
    for (auto part : effect.banned)
    {
        std::string servers;
        for (const auto& crash : context_.quarantine.crashes(part))
        {
            servers += (servers.empty() ? "" : ",") + crash.server.str();
        }
        context_.stats.increment("banyanshunt_prompt_parts_banned_total", {{"source", source}});
        context_.log.write("prompt_part_banned", "part={:x} servers={} source={}", to_bits(part),
                           servers, source);
    }
    if (!effect.banned.empty())
    {
        context_.waiting.wake_all();
    }
}

void quarantine_manager::record_sound(const std::vector<prompt_part>& parts)
{
    std::vector<prompt_part> banned;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(banned),
                 [this](prompt_part part) { return context_.quarantine.is_banned(part); });
    auto cleared = context_.quarantine.record_sound(parts, context_.now());
    record_cleared(cleared, "response");
    for (auto part : cleared)
    {
        contradict(part);
    }
    for (auto part : banned)
    {
        drop_record(part);
    }
}

void quarantine_manager::record_cleared(const std::vector<prompt_part>& parts, const char* source)
{
    for (auto part : parts)
    {
        context_.stats.increment("banyanshunt_prompt_parts_cleared_total", {{"source", source}});
        if (lines_.take(context_.now()))
        {
            context_.log.write("prompt_part_cleared", "part={:x} source={}", to_bits(part), source);
        }
    }
    if (!parts.empty())
    {
        context_.waiting.wake_all();
    }
}

void quarantine_manager::contradict(prompt_part part)
{
    instant now = context_.now();
    bool told =
        std::any_of(sound_.begin(), sound_.end(),
                    [&](const sound_report& it)
                    { return it.part == part && now - it.reported_at < contradiction_period; });
    if (told)
    {
        return;
    }
    push_newest(sound_, sound_report{.part = part, .reported_at = now});
    std::bernoulli_distribution at_once(
        std::min(1.0, first_contradictions / static_cast<double>(context_.host_count)));
    if (at_once(context_.random))
    {
        auto message = peers_.new_message();
        write(part, now, *message.add_sound_parts());
        send_to_all_(std::move(message));
    }
}

void quarantine_manager::handle_message(const peers::peer_message& message, instant sent_at)
{
    instant now = context_.now();
    for (const auto& it : message.sound_parts())
    {
        record_cleared(context_.quarantine.record_sound({to_part(it.part())},
                                                        sent_at - milliseconds(it.age_ms())),
                       "peer");
    }
    for (const auto& it : message.prompt_crashes())
    {
        crash_report report{.crash = {.server = server_id(it.server()),
                                      .start_time_ms = it.born_ms(),
                                      .at = sent_at - milliseconds(it.age_ms())},
                            .parts = {}};
        for (auto bits : it.parts())
        {
            report.parts.push_back(to_part(bits));
            if (context_.quarantine.is_sound(report.parts.back()))
            {
                contradict(report.parts.back());
            }
        }
        record_crash(report, "peer");
    }
    for (const auto& it : message.banned_parts())
    {
        auto part = to_part(it.part());
        prompt_quarantine::ban ban{
            .part = part, .at = sent_at - milliseconds(it.age_ms()), .with = {}};
        std::transform(it.with().begin(), it.with().end(), std::back_inserter(ban.with), to_part);
        if (context_.quarantine.is_sound(part))
        {
            contradict(part);
        }
        else if (context_.quarantine.record_ban(ban, now))
        {
            context_.stats.increment("banyanshunt_prompt_parts_banned_total", {{"source", "peer"}});
            context_.log.write("prompt_part_banned", "part={:x} servers=- source=peer host={}",
                               it.part(), message.host());
            context_.waiting.wake_all();
        }
    }
}

void quarantine_manager::write(const crash_report& from, peers::prompt_crash& to) const
{
    to.set_server(from.crash.server.str());
    to.set_born_ms(from.crash.start_time_ms);
    to.set_age_ms(age_ms(from.crash.at, context_.now()));
    for (auto part : from.parts)
    {
        to.add_parts(to_bits(part));
    }
}

void quarantine_manager::write(prompt_part part, instant at, peers::prompt_part_age& to) const
{
    to.set_part(to_bits(part));
    to.set_age_ms(age_ms(at, context_.now()));
}

void quarantine_manager::fill_report(peers::peer_message& message)
{
    instant now = context_.now();
    for (std::size_t n = 0; n < std::min(crashes_.size(), max_crashes_in_report); ++n)
    {
        if (now - crashes_[n].crash.at < report_duration)
        {
            write(crashes_[n], *message.add_prompt_crashes());
        }
    }
    for (std::size_t n = 0; n < std::min(sound_.size(), max_sound_in_report); ++n)
    {
        if (now - sound_[n].reported_at < report_duration)
        {
            write(sound_[n].part, now, *message.add_sound_parts());
        }
    }
    auto bans = context_.quarantine.bans();
    std::shuffle(bans.begin(), bans.end(), context_.random);
    bans.resize(std::min(bans.size(), max_bans_in_report));
    for (const auto& ban : bans)
    {
        auto& to = *message.add_banned_parts();
        write(ban.part, ban.at, to);
        for (std::size_t n = 0; n < std::min(ban.with.size(), max_parts_with_ban); ++n)
        {
            to.add_with(to_bits(ban.with[n]));
        }
    }
}

void quarantine_manager::expire()
{
    context_.quarantine.expire(context_.now());
    context_.stats.set("banyanshunt_prompt_parts_banned",
                       static_cast<double>(context_.quarantine.bans().size()));
    context_.stats.set("banyanshunt_prompt_parts_suspected",
                       static_cast<double>(context_.quarantine.suspects()));
}

} // namespace banyanshunt
