#include "serve/view_sync.hpp"

#include "coordination/view_source.hpp"
#include "peers.pb.h"

namespace banyanshunt
{

namespace
{

/// Period of requests to the reader; together with the reader's own calls, a change takes up to a
/// second to arrive.
constexpr milliseconds request_period{500};
/// No view is requested from a peer that sent nothing for this long; peers of a domain report each
/// 250 ms.
constexpr milliseconds report_ttl{1500};

void write_view(const topic_view& from, instant now, peers::topic_view& to)
{
    to.set_end(from.end.count());
    auto age = std::chrono::ceil<milliseconds>(now - from.confirmed_at).count();
    to.set_age_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, INT32_MAX)));
    to.set_whole(from.complete);
    for (const auto& it : from.records)
    {
        auto& record = *to.add_records();
        record.set_key(it.key);
        record.set_value(it.value.value_or(""));
        record.set_dropped(!it.value);
        record.set_at(it.offset.count());
    }
}

topic_view read_view(const peers::topic_view& from, instant requested_at)
{
    topic_view view{.end = log_offset(from.end()),
                    .confirmed_at = requested_at - milliseconds(from.age_ms()),
                    .complete = from.whole(),
                    .records = {}};
    for (const auto& it : from.records())
    {
        view.records.push_back({.key = it.key(),
                                .value = it.dropped() ? std::nullopt : std::optional(it.value()),
                                .offset = log_offset(it.at())});
    }
    return view;
}

} // namespace

std::optional<host_id> view_sync::source(instant now) const
{
    auto contact = watcher_.config().contact();
    std::vector<host_id> candidates;
    for (const auto& [host, it] : peers_.all)
    {
        if (it.domain == context_.settings.domain && now - it.received_at < report_ttl &&
            !requests_.is_skipped(host, contact, now) && !it.stopping)
        {
            candidates.push_back(host);
        }
    }
    return view_source(context_.settings.domain, context_.settings.name, candidates, contact);
}

void view_sync::request_view(const host_id& source)
{
    auto message = peers_.new_message();
    auto& to = *message.mutable_view_asked();
    to.set_number(requests_.request(source, context_.now()));
    to.set_config_from(watcher_.config().position()->count());
    to.set_servers_from(watcher_.servers().position()->count());
    peers_.send(peers_.all.at(source), message);
}

task<void> view_sync::run()
{
    // Hosts that start at the same moment ask the reader apart from each other: what it sends to
    // all of a domain at once can exceed its link.
    co_await pause(context_.random_delay(request_period));
    while (true)
    {
        co_await pause(request_period);
        instant now = context_.now();
        int unanswered = requests_.unanswered();
        if (auto host = requests_.pass_over_unresponsive(now))
        {
            context_.log.write("reader_passed_over", "host={} unanswered={}", host->str(),
                               unanswered);
        }
        auto from = source(now);
        bool topics_read = watcher_.config().position() && watcher_.servers().position();
        context_.view.read_by_other = from && topics_read;
        if (context_.view.read_by_other)
        {
            request_view(*from);
        }
        else
        {
            requests_.end();
        }
    }
}

void view_sync::fill_report(peers::host_report& report) const
{
    if (auto end = watcher_.config().position())
    {
        report.set_config_end(end->count());
    }
    report.set_config_version(context_.version_in_force().count());
}

void view_sync::handle_report(const peers::host_report& report)
{
    auto position = watcher_.config().position();
    // A host that another reads for asks it each half second anyway; many that ask at the same
    // moment only delay its answers.
    if (!position || context_.view.read_by_other)
    {
        return;
    }
    config_version version(report.config_version());
    context_.ground.record_report(log_offset(report.config_end()), version, context_.now());
    if (config_catch_up_.reads_now(log_offset(report.config_end()), *position, context_.now()))
    {
        context_.log.write("config_behind", "offset={} peer_offset={}", position->count(),
                           report.config_end());
        context_.refresh_config();
        return;
    }
    // A position that passed a record never meets it again.
    auto own = context_.version_in_force();
    if (report.config_end() <= position->count() &&
        version_catch_up_.reads_now(version, own, context_.now()))
    {
        context_.log.write_change("config_version_behind", "version={} peer_version={} end={}",
                                  own.count(), version.count(), position->count());
        context_.reread_config();
    }
}

void view_sync::handle_message(const host_id& from, const peer& sender,
                               const peers::peer_message& message)
{
    instant now = context_.now();
    if (message.has_report())
    {
        handle_report(message.report());
    }
    if (message.has_view_asked())
    {
        context_.view.requested_at = now;
        if (requests_.asked_by_reader(from, now))
        {
            context_.log.write("reader_passed_over", "host={} asks=true", from.str());
            context_.refresh_config();
        }
        const auto& request = message.view_asked();
        auto response = peers_.new_message();
        auto& view = *response.mutable_view();
        view.set_number(request.number());
        write_view(watcher_.config().view_from(log_offset(request.config_from())), now,
                   *view.mutable_config());
        write_view(watcher_.servers().view_from(log_offset(request.servers_from())), now,
                   *view.mutable_servers());
        peers_.send(sender, response);
    }
    if (!message.has_view())
    {
        return;
    }
    milliseconds age(message.view().config().age_ms());
    auto verdict =
        requests_.judge(from, message.view().number(), age, watcher_.config_bounds(), now);
    if (verdict == view_requests::response::too_old)
    {
        context_.log.write("reader_passed_over", "host={} age_ms={}", from.str(), age.count());
    }
    if (verdict == view_requests::response::ignored)
    {
        return;
    }
    watcher_.config().apply(read_view(message.view().config(), requests_.requested_at()));
    watcher_.servers().apply(read_view(message.view().servers(), requests_.requested_at()));
}

} // namespace banyanshunt
