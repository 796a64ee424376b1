#include "serve/view_sync.hpp"

#include "coordination/view_source.hpp"
#include "peers.pb.h"

namespace banyanshunt
{

namespace
{

/// How often the reader is asked; with its own calls this keeps a change on its way for a second.
constexpr milliseconds ask_period{500};
/// A peer that was not heard of for this long is not asked; peers of a domain report each 250 ms.
constexpr milliseconds heard_for{1500};
/// After so many asks without an answer another host is asked, and this one not for a while.
constexpr int most_unanswered = 3;
constexpr milliseconds passed_over_for{4000};
/// A reader whose configuration is older has lost the store.
constexpr milliseconds oldest_view{2600};

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

topic_view read_view(const peers::topic_view& from, instant asked)
{
    topic_view view{.end = log_offset(from.end()),
                    .confirmed_at = asked - milliseconds(from.age_ms()),
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
    std::vector<host_id> live;
    for (const auto& [host, it] : peers_.all)
    {
        auto passed = passed_over_.find(host);
        bool asked_in_vain = passed != passed_over_.end() && now < passed->second;
        if (it.domain == core_.settings.domain && now - it.received_at < heard_for &&
            !asked_in_vain)
        {
            live.push_back(host);
        }
    }
    return view_source(core_.settings.domain, core_.settings.name, live);
}

void view_sync::ask(const host_id& source)
{
    asked_ = source;
    asked_at_ = core_.now();
    auto message = peers_.new_message();
    auto& to = *message.mutable_view_asked();
    to.set_number(++number_);
    to.set_config_from(follower_.config().position()->count());
    to.set_servers_from(follower_.servers().position()->count());
    ++unanswered_;
    peers_.send(peers_.all.at(source), message);
}

task<void> view_sync::run()
{
    while (true)
    {
        co_await pause(ask_period);
        instant now = core_.now();
        if (unanswered_ >= most_unanswered)
        {
            core_.log.write("reader_passed_over", "host={} unanswered={}", asked_.str(),
                            unanswered_);
            passed_over_[asked_] = now + passed_over_for;
            unanswered_ = 0;
        }
        auto from = source(now);
        bool known = follower_.config().position() && follower_.servers().position();
        core_.view.read_by_other = from && known;
        if (core_.view.read_by_other)
        {
            ask(*from);
        }
    }
}

void view_sync::handle_message(const host_id& from, const peer& sender,
                               const peers::peer_message& message)
{
    instant now = core_.now();
    if (message.has_view_asked())
    {
        core_.view.requested_at = now;
        const auto& asked = message.view_asked();
        auto answer = peers_.new_message();
        auto& view = *answer.mutable_view();
        view.set_number(asked.number());
        write_view(follower_.config().view_from(log_offset(asked.config_from())), now,
                   *view.mutable_config());
        write_view(follower_.servers().view_from(log_offset(asked.servers_from())), now,
                   *view.mutable_servers());
        peers_.send(sender, answer);
    }
    if (!message.has_view() || message.view().number() != number_ || from != asked_)
    {
        return;
    }
    unanswered_ = 0;
    if (milliseconds(message.view().config().age_ms()) > oldest_view)
    {
        core_.log.write("reader_passed_over", "host={} age_ms={}", from.str(),
                        message.view().config().age_ms());
        passed_over_[from] = now + passed_over_for;
        return;
    }
    follower_.config().apply(read_view(message.view().config(), asked_at_));
    follower_.servers().apply(read_view(message.view().servers(), asked_at_));
}

} // namespace banyanshunt
