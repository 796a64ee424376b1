#include "tools/engine_timeline.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace banyanshunt
{

namespace
{

using std::chrono::milliseconds;
using steady_instant = std::chrono::steady_clock::time_point;

/// Keeps sums of a few numbers in range, also in nanoseconds.
constexpr std::int64_t max_number = 4'000'000'000'000;
constexpr int max_status = 999;
/// How much of a timeline precedes the earlier order of a pair.
constexpr milliseconds max_lead{20000};

const std::set<std::string, std::less<>> claim_events = {
    "duty_taken",        "duty_lost",          "duty_released",
    "duty_not_released", "duty_claim_dropped", "duty_turn_untold",
    "duty_surveyed",     "duty_number_stated", "duty_number_shared",
};
const std::set<std::string, std::less<>> host_events = {
    "start",       "stop_begun",       "stop_ended",        "listen_failed",
    "duty_joined", "duty_call_failed", "log_lines_dropped", "duty_resigned",
};
const std::set<std::string, std::less<>> engine_events = {
    "engine_owned",
    "takeover_response",
    "order",
};

steady_instant as_steady(unix_instant at)
{
    return steady_instant(at.time_since_epoch());
}

unix_instant as_unix(steady_instant at)
{
    return unix_instant(std::chrono::floor<milliseconds>(at.time_since_epoch()));
}

std::optional<std::int64_t> parse_number(const std::string& text)
{
    std::int64_t value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    bool valid =
        ec == std::errc() && end == text.data() + text.size() && value >= 0 && value <= max_number;
    return valid ? std::optional(value) : std::nullopt;
}

/// " name=value" for each of the fields that the line has.
std::string list_fields(const log_line& line, std::initializer_list<const char*> names)
{
    std::string out;
    for (const char* name : names)
    {
        if (line.fields.contains(name))
        {
            out += fmt::format(" {}={}", name, line.text(name));
        }
    }
    return out;
}

std::string describe_line(const log_line& line)
{
    return line.event +
           list_fields(line, {"partition", "fence",         "kind",   "before", "wait_ms",
                              "claim_ms",  "membership_ms", "reason", "status", "generation",
                              "took_ms",   "orders_in_ms",  "offset", "number", "known",
                              "stated",    "read",          "result", "domain", "life",
                              "address",   "count"});
}

/// The check and write of an order, and its end if it had no response.
void add_order_entries(std::vector<timeline_entry>& out, unix_instant ended_at,
                       const std::string& host, const log_line& line)
{
    auto took = line.number("took_ms");
    auto written = line.number("written_ms");
    bool responded = line.text("sent") == "responded";
    if (took && written)
    {
        auto at = ended_at - milliseconds(*took) + milliseconds(*written);
        out.push_back(
            {.at = at,
             .source = host,
             .text = "order_written" + list_fields(line, {"fence", "what", "model", "expected",
                                                          "membership_ms", "sent", "status"})});
    }
    if (!took || !written || !responded)
    {
        out.push_back({.at = ended_at,
                       .source = host,
                       .text = "order_ended" + list_fields(line, {"fence", "what", "model", "sent",
                                                                  "status", "took_ms"})});
    }
}

/// The arrival of an order, and its effect if that came later.
void add_received_entries(std::vector<timeline_entry>& out, const received_order& it, std::size_t n)
{
    auto arrived = as_unix(it.at);
    auto effect = as_unix(it.carried_out_at.value_or(it.at));
    std::string order = fmt::format("holder={} fence={}", it.holder, it.fence);
    out.push_back(
        {.at = arrived,
         .source = "engine",
         .text = fmt::format("order_arrived {} late={} {}", order, it.is_late,
                             it.carried_out_at ? fmt::format("status={} effect_ms={}", it.status,
                                                             (effect - arrived).count())
                                               : "effect_ms=-1"),
         .order = n});
    if (effect != arrived)
    {
        out.push_back({.at = effect,
                       .source = "engine",
                       .text = fmt::format("order_effect {} status={}", order, it.status),
                       .order = n});
    }
}

std::string format_entry(const timeline_entry& it, unix_instant begun, bool marked)
{
    std::chrono::duration<double> after = it.at - begun;
    return fmt::format("{} {:10.3f} s  {}  {:<10} {}", marked ? '*' : ' ', after.count(),
                       it.at.time_since_epoch().count(), it.source, it.text);
}

/// The part of an engine's timeline that `explain_breaches` promises.
std::vector<std::string> excerpt(const std::vector<timeline_entry>& entries,
                                 const std::vector<received_order>& orders,
                                 const order_breach& breach, unix_instant begun)
{
    const auto& a = orders[breach.before];
    const auto& b = orders[breach.after];
    const auto& earlier = a.at <= b.at ? a : b;
    auto from = as_unix(earlier.at) - max_lead;
    auto until = as_unix(
        std::max({a.at, b.at, a.carried_out_at.value_or(a.at), b.carried_out_at.value_or(b.at)}));
    auto is_claim = [](const timeline_entry& entry, const received_order& order)
    { return entry.claim_fence == order.fence && entry.source == order.holder; };
    for (const auto& it : entries)
    {
        if (is_claim(it, earlier))
        {
            from = std::max(from, it.at);
        }
    }
    std::vector<std::string> out;
    for (const auto& it : entries)
    {
        bool marked = it.order == breach.before || it.order == breach.after;
        bool within = it.at >= from && it.at <= until;
        if (within || marked || is_claim(it, a) || is_claim(it, b))
        {
            out.push_back(format_entry(it, begun, marked));
        }
    }
    return out;
}

} // namespace

const std::string& log_line::text(std::string_view field) const
{
    static const std::string none;
    auto it = fields.find(field);
    return it != fields.end() ? it->second : none;
}

std::optional<std::int64_t> log_line::number(std::string_view field) const
{
    return parse_number(text(field));
}

std::optional<unix_instant> log_line::time(std::string_view field) const
{
    auto value = number(field);
    return value ? std::optional(unix_instant(milliseconds(*value))) : std::nullopt;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    constexpr std::string_view time_field = " unix_ms=";
    if (!text.starts_with("event="))
    {
        return std::nullopt;
    }
    log_line line;
    // Details may hold other writers' text, so that only the last one is the line's own.
    if (auto n = text.rfind(time_field); n != std::string_view::npos)
    {
        line.fields.emplace("unix_ms", text.substr(n + time_field.size()));
        text = text.substr(0, n);
    }
    while (!text.empty())
    {
        auto name = text.substr(0, text.find_first_of(" ="));
        text.remove_prefix(name.size());
        if (text.empty() || text.front() == ' ')
        {
            text.remove_prefix(std::min<std::size_t>(text.size(), 1));
            continue;
        }
        text.remove_prefix(1);
        bool quoted = text.starts_with('"');
        text.remove_prefix(quoted ? 1 : 0);
        auto value = text.substr(0, text.find(quoted ? '"' : ' '));
        text.remove_prefix(std::min(text.size(), value.size() + 1));
        line.fields.emplace(name, value);
    }
    line.event = line.text("event");
    return line.event.empty() ? std::nullopt : std::optional(line);
}

std::string received_order_line(const std::string& server, const received_order& order,
                                std::chrono::nanoseconds unix_offset)
{
    auto unix_ms = [&](steady_instant at)
    { return as_unix(at + unix_offset).time_since_epoch().count(); };
    return fmt::format(
        "event=order_received server={} holder={} fence={} status={} late={} arrived_unix_ms={}{}",
        server, order.holder, order.fence, order.status, order.is_late, unix_ms(order.at),
        order.carried_out_at
            ? fmt::format(" carried_out_unix_ms={}", unix_ms(*order.carried_out_at))
            : "");
}

void order_logs::record_time(unix_instant at)
{
    begun_ = std::min(begun_.value_or(at), at);
}

void order_logs::add_host_log(const std::vector<std::string>& lines, std::string name)
{
    for (const auto& it : lines)
    {
        skipped_ += add_host_line(it, name) ? 0 : 1;
    }
}

bool order_logs::add_host_line(const std::string& text, std::string& host)
{
    auto line = parse_log_line(text);
    auto at = line ? line->time("unix_ms") : std::nullopt;
    if (!at)
    {
        return false;
    }
    record_time(*at);
    if (line->event == "start" && !line->text("host").empty())
    {
        host = line->text("host");
    }
    bool of_claim = claim_events.contains(line->event);
    bool of_engine = engine_events.contains(line->event);
    if (!of_claim && !of_engine && !host_events.contains(line->event))
    {
        return true;
    }
    bool needs_partition = of_claim || line->event == "engine_owned";
    if ((needs_partition && !line->number("partition")) ||
        (of_engine && line->text("server").empty()) ||
        (line->event == "duty_taken" && !line->number("fence")))
    {
        return false;
    }
    host_lines_.push_back({.at = *at, .host = host, .line = std::move(*line)});
    return true;
}

void order_logs::add_record(const std::vector<std::string>& lines)
{
    for (const auto& it : lines)
    {
        skipped_ += add_order(it) ? 0 : 1;
    }
}

bool order_logs::add_order(const std::string& text)
{
    auto line = parse_log_line(text);
    if (!line || line->event != "order_received" || line->text("server").empty())
    {
        return false;
    }
    auto fence = line->number("fence");
    auto status = line->number("status");
    auto arrived = line->time("arrived_unix_ms");
    auto effect = line->time("carried_out_unix_ms");
    const auto& late = line->text("late");
    if (!fence || !arrived || !status || *status > max_status ||
        (late != "true" && late != "false") ||
        (line->fields.contains("carried_out_unix_ms") && (!effect || *effect < *arrived)))
    {
        return false;
    }
    record_time(*arrived);
    orders_[line->text("server")].push_back(
        {.at = as_steady(*arrived),
         .holder = line->text("holder"),
         .fence = *fence,
         .status = static_cast<int>(*status),
         .is_late = late == "true",
         .carried_out_at = effect ? std::optional(as_steady(*effect)) : std::nullopt});
    return true;
}

std::set<std::int64_t> order_logs::partitions_of(const std::string& server) const
{
    std::set<std::int64_t> out;
    for (const auto& it : host_lines_)
    {
        if (it.line.event == "engine_owned" && it.line.text("server") == server)
        {
            out.insert(it.line.number("partition").value_or(0));
        }
    }
    return out;
}

std::set<std::string> order_logs::hosts_of(const std::string& server,
                                           const std::set<std::int64_t>& partitions) const
{
    std::set<std::string> out;
    for (const auto& it : host_lines_)
    {
        auto partition = it.line.number("partition");
        bool claims = claim_events.contains(it.line.event) && partitions.contains(*partition);
        if (claims || it.line.text("server") == server)
        {
            out.insert(it.host);
        }
    }
    return out;
}

std::vector<timeline_entry> order_logs::timeline(const std::string& server) const
{
    std::vector<timeline_entry> out;
    auto partitions = partitions_of(server);
    auto hosts = hosts_of(server, partitions);
    for (const auto& it : host_lines_)
    {
        const auto& event = it.line.event;
        bool relevant = engine_events.contains(event) ? it.line.text("server") == server
                        : claim_events.contains(event)
                            ? partitions.contains(*it.line.number("partition"))
                            : hosts.contains(it.host);
        if (!relevant)
        {
            continue;
        }
        if (event == "order")
        {
            add_order_entries(out, it.at, it.host, it.line);
            continue;
        }
        out.push_back(
            {.at = it.at,
             .source = it.host,
             .text = describe_line(it.line),
             .claim_fence = event == "duty_taken" ? it.line.number("fence") : std::nullopt});
    }
    if (auto it = orders_.find(server); it != orders_.end())
    {
        for (std::size_t n = 0; n < it->second.size(); ++n)
        {
            add_received_entries(out, it->second[n], n);
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    return out;
}

std::vector<engine_breach> judge_engines(const order_logs& logs, milliseconds lease)
{
    std::vector<engine_breach> out;
    for (const auto& [server, orders] : logs.orders())
    {
        for (auto dating : {order_dating::arrival, order_dating::effect})
        {
            auto judgement = judge_orders(orders, dating, lease, [](const auto&) { return false; });
            for (const auto& it : judgement.breaches)
            {
                out.push_back({.server = server, .dating = dating, .breach = it});
            }
        }
    }
    return out;
}

std::vector<std::string> format_timeline(const std::vector<timeline_entry>& entries,
                                         unix_instant begun)
{
    std::vector<std::string> out;
    out.reserve(entries.size());
    for (const auto& it : entries)
    {
        out.push_back(format_entry(it, begun, false));
    }
    return out;
}

std::vector<std::string> explain_breaches(const order_logs& logs,
                                          const std::vector<engine_breach>& breaches,
                                          std::size_t most, unix_instant begun)
{
    using pair = std::tuple<std::string, std::size_t, std::size_t>;
    auto key = [](const engine_breach& it)
    { return pair(it.server, it.breach.before, it.breach.after); };
    std::set<pair> shown;
    std::vector<std::string> out;
    for (const auto& it : breaches)
    {
        if (shown.size() >= most || !shown.insert(key(it)).second)
        {
            continue;
        }
        const auto& orders = logs.orders().at(it.server);
        for (const auto& other : breaches)
        {
            if (key(other) == key(it))
            {
                out.push_back(it.server + ": " +
                              describe(other.breach, orders, other.dating, as_steady(begun)));
            }
        }
        std::ranges::move(excerpt(logs.timeline(it.server), orders, it.breach, begun),
                          std::back_inserter(out));
    }
    return out;
}

} // namespace banyanshunt
