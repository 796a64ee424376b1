#include "soak/odd_writers.hpp"

#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "soak/odd_records.hpp"

namespace banyanshunt::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int max_pause_ms = 700;
/// How long an odd record may be the newest of its key before the good one follows.
constexpr int max_odd_ms = 400;
/// The length of the faults of servers.
constexpr int max_fault_ms = 1500;
/// How long behind the response a copy follows at the most.
constexpr int max_copy_delay_ms = 200;
/// A list read whole stays within a few megabytes.
constexpr int max_large_records = 6;
constexpr std::size_t large_record_size = 10'000;
constexpr int max_records_at_once = 300;
constexpr int max_broken_streams = 4;

} // namespace

std::set<odd_kind> parse_odd_kinds(const std::string& text)
{
    const std::map<std::string, odd_kind> names = {{"entries", odd_kind::entries},
                                                   {"configurations", odd_kind::configurations},
                                                   {"copies", odd_kind::copies},
                                                   {"streams", odd_kind::streams}};
    std::set<odd_kind> kinds;
    std::istringstream from(text);
    for (std::string name; std::getline(from, name, ',');)
    {
        auto it = names.find(name);
        if (it == names.end())
        {
            throw std::invalid_argument(
                fmt::format("{} is no odd writer; allowed are entries, configurations, copies and "
                            "streams",
                            name));
        }
        kinds.insert(it->second);
    }
    return kinds;
}

odd_writer::odd_writer(soak_fleet& fleet, std::uint64_t seed, odd_kind kind, logger log)
    : random_(seed * 10 + static_cast<std::uint64_t>(kind)), fleet_(fleet), kind_(kind),
      log_(std::move(log)), large_left_(max_large_records)
{
}

int odd_writer::draw(int bound)
{
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
}

void odd_writer::wait(const std::stop_token& stop, int max_ms)
{
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(draw(max_ms));
    while (std::chrono::steady_clock::now() < until && !stop.stop_requested())
    {
        std::this_thread::sleep_for(5ms);
    }
}

void odd_writer::write(const std::stop_token& stop)
{
    while (!stop.stop_requested())
    {
        wait(stop, max_pause_ms);
        switch (kind_)
        {
        case odd_kind::entries:
            write_entries(stop);
            break;
        case odd_kind::configurations:
            write_configuration(stop);
            break;
        case odd_kind::copies:
            copy_responses(stop);
            break;
        case odd_kind::streams:
            break_streams(stop);
            break;
        }
    }
}

void odd_writer::write_odd_entry()
{
    auto n = static_cast<std::size_t>(draw(static_cast<int>(fleet_.backends.size())));
    auto odd = make_odd_entry(random_, fleet_.entry(n));
    auto key = make_odd_key(random_);
    if (odd.value.size() > large_record_size && --large_left_ < 0)
    {
        return;
    }
    log_("odd entry: " + odd.description);
    fleet_.store.put("keyed.servers", key, odd.value);
}

void odd_writer::write_entries(const std::stop_token& stop)
{
    switch (draw(4))
    {
    case 0:
    {
        auto n = static_cast<std::size_t>(draw(static_cast<int>(fleet_.backends.size())));
        auto odd = make_odd_entry(random_, fleet_.entry(n));
        if (odd.value.size() > large_record_size && --large_left_ < 0)
        {
            return;
        }
        log_(fmt::format("odd entry of server {}: {}", n, odd.description));
        fleet_.store.put("keyed.servers", soak_fleet::server_name(n), odd.value);
        wait(stop, max_odd_ms);
        fleet_.announce(n);
        break;
    }
    case 1:
        log_(fmt::format("{} odd entries", max_records_at_once));
        for (int left = max_records_at_once; left > 0; --left)
        {
            auto odd = make_odd_entry(random_, fleet_.entry(0));
            if (odd.value.size() <= large_record_size)
            {
                fleet_.store.put("keyed.servers", fmt::format("many-{}", left), odd.value);
            }
        }
        break;
    default:
        write_odd_entry();
    }
}

void odd_writer::write_configuration(const std::stop_token& stop)
{
    auto odd = make_odd_configuration(random_, fleet_.configuration());
    if (odd.value.size() > large_record_size && --large_left_ < 0)
    {
        return;
    }
    log_("odd configuration: " + odd.description);
    fleet_.store.put("keyed.op", "config", odd.value);
    wait(stop, max_odd_ms);
    fleet_.configure_again();
}

void odd_writer::copy_responses(const std::stop_token& stop)
{
    const copied_id ids[] = {copied_id::same, copied_id::none, copied_id::earlier};
    bool refusals = draw(3) != 0;
    auto id = ids[draw(3)];
    int delay_ms = draw(6) == 0 ? 0 : draw(max_copy_delay_ms);
    // One server, or all of them.
    auto only = static_cast<std::size_t>(draw(2 * static_cast<int>(fleet_.backends.size())));
    // Without the other plain server, a request that was refused goes to the same one again.
    bool alone = draw(2) == 0;
    if (alone)
    {
        only = static_cast<std::size_t>(draw(2));
        fleet_.drain(1 - only);
    }
    log_(fmt::format("server {} copies its {}, id {}, {} ms late",
                     only < fleet_.backends.size() ? std::to_string(only) : "of each number",
                     refusals ? "refusals" : "answers", static_cast<int>(id), delay_ms));
    for (std::size_t n = 0; n < fleet_.backends.size(); ++n)
    {
        if (only < fleet_.backends.size() && n != only)
        {
            continue;
        }
        auto& backend = *fleet_.backends[n];
        backend.copy_delay_ms = delay_ms;
        (refusals ? backend.copied_refusal : backend.copied_answer) = id;
        // It refuses every second request: one that it refused comes again and runs.
        backend.refuses_every_second = refusals;
    }
    wait(stop, max_fault_ms);
    if (alone)
    {
        fleet_.restart(1 - only);
    }
    for (const auto& it : fleet_.backends)
    {
        it->refuses_every_second = false;
        it->copied_refusal = copied_id::no_copy;
        it->copied_answer = copied_id::no_copy;
    }
}

void odd_writer::break_streams(const std::stop_token& stop)
{
    const odd_resumption kinds[] = {odd_resumption::error_text,    odd_resumption::error_head,
                                    odd_resumption::empty,         odd_resumption::from_the_start,
                                    odd_resumption::skipped_event, odd_resumption::refused_first};
    auto how = kinds[draw(6)];
    int count = 1 + draw(max_broken_streams);
    log_(fmt::format("{} streams of each engine break, and go on wrongly in way {}", count,
                     static_cast<int>(how)));
    for (const auto& it : fleet_.backends)
    {
        it->resumption = how;
        it->streams_to_break = count;
    }
    wait(stop, max_fault_ms);
    for (const auto& it : fleet_.backends)
    {
        it->streams_to_break = 0;
        it->resumption = odd_resumption::sound;
    }
}

void odd_writer::write_last_records()
{
    if (kind_ == odd_kind::entries)
    {
        write_odd_entry();
        write_odd_entry();
    }
    if (kind_ == odd_kind::configurations)
    {
        write_configuration({});
    }
}

} // namespace banyanshunt::soak
