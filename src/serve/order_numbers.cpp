/// \file
/// The part of `order_controller` that finds out the fencing numbers of earlier owners: from the
/// records before a claim, from announcements and from the other members.

#include "serve/order_controller.hpp"

#include <algorithm>
#include <utility>

#include "platform/store.hpp"
#include "serve/loop_runner.hpp"
#include "state/elapsed_time.hpp"

namespace banyanshunt
{

namespace
{

/// How often a record before a claim is read if the reads show nothing, and the time between them:
/// a store that answers again does so within milliseconds.
constexpr int max_reads = 4;
constexpr milliseconds read_interval{50};
/// Records that are read at once in search of a stated number; they fit into one response.
constexpr std::int64_t max_block = 16;

} // namespace

std::vector<known_host> order_controller::hosts_to_survey() const
{
    auto hosts = link_.hosts();
    auto members = order_members(hosts, member_count(hosts));
    std::erase_if(hosts,
                  [&](const known_host& host)
                  {
                      const auto& name = host.it.host;
                      return name == context_.settings.name ||
                             std::find(members.begin(), members.end(), name) == members.end();
                  });
    return hosts;
}

void order_controller::ask_numbers()
{
    std::vector<host_id> names;
    for (const auto& host : hosts_to_survey())
    {
        names.push_back(host.it.host);
    }
    link_.ask_numbers(names, survey_.begin_round(context_.now()));
}

bool order_controller::is_surveyed(int partition)
{
    auto hosts = hosts_to_survey();
    bool others_go_on = std::any_of(hosts.begin(), hosts.end(),
                                    [](const known_host& it) { return it.live && !it.stopping; });
    if (others_go_on)
    {
        // One that stops may be gone before it answers.
        std::erase_if(hosts, [](const known_host& it) { return it.stopping; });
    }
    instant since = listed_since_.try_emplace(partition, context_.now()).first->second;
    auto state = survey_.state_at(context_.now(), since, hosts);
    if (state == number_survey::state::waiting)
    {
        return false;
    }
    context_.stats.increment("banyanshunt_number_surveys_total", {{"result", to_text(state)}});
    context_.log.write("duty_surveyed", "partition={} result={} hosts={} known={} took_ms={}",
                       partition, to_text(state), hosts.size(), known_numbers_[partition].count(),
                       elapsed_ms(since, context_.now()).count());
    return true;
}

const std::map<int, fencing_number>& order_controller::known_numbers()
{
    observe_engines();
    return known_numbers_;
}

void order_controller::apply_known_number(int partition, fencing_number number)
{
    if (partition < 0 || partition >= context_.settings.log.partitions)
    {
        return;
    }
    auto& highest = known_numbers_[partition];
    highest = std::max(highest, number);
    if (auto held = partitions_.find(partition); held != partitions_.end())
    {
        bool exceeded = exceeds(number, held->second);
        held->second.outnumbered = held->second.outnumbered || exceeded;
        if (exceeded && number < held->second.number)
        {
            forgotten_owners_.insert(partition);
        }
    }
}

void order_controller::apply_known_number(const server_id& server, fencing_number number)
{
    apply_known_number(partition_of(server), number);
}

bool order_controller::exceeds(fencing_number number, const held_partition& held) const
{
    if (number > held.number)
    {
        return true;
    }
    // After a resumed takeover orders have a lower number than the claim. The records before it
    // account for claims in between that gave no order.
    return number > held.fence && number > held.highest_stated && names_machine(number) &&
           machine_of(number) != claimant_of_settings().number;
}

void order_controller::record_survey_answer(const host_id& from, survey_round round)
{
    survey_.record_answer(from, round);
}

task<std::optional<order_controller::number_search>>
order_controller::read_stated_number(int partition, log_offset at, preceding_record before)
{
    fencing_number highest(0);
    // Returns whether an earlier record may state a higher number.
    auto hides_number = [&](const std::optional<assignment_record>& record)
    {
        if (record)
        {
            highest = std::max(highest, record->claim_number.value_or(fencing_number(0)));
        }
        return !record || may_hide_number(*record);
    };
    if (is_inconclusive(before.read))
    {
        co_return std::nullopt;
    }
    bool is_first = before.read == preceding_read::none || before.read == preceding_read::dropped;
    if (is_first || !hides_number(before.record))
    {
        co_return number_search{.highest = highest, .ends_at_gap = is_first};
    }
    std::int64_t end = at.count() - 1;
    std::int64_t size = max_block;
    while (end > 0 && has_time_for_calls())
    {
        const std::int64_t from = std::max<std::int64_t>(0, end - size);
        auto block = co_await read_block(partition, log_offset(from));
        auto covers = static_cast<std::int64_t>(block.records.size()) >= end - from;
        if (block.read == preceding_read::dropped && size == 1)
        {
            co_return number_search{.highest = highest, .ends_at_gap = true};
        }
        if (block.read == preceding_read::dropped ||
            (block.read == preceding_read::record && !covers))
        {
            // Only the newer records of the block are left, or fit into a response.
            size = std::max<std::int64_t>(1, size / 2);
            continue;
        }
        if (block.read != preceding_read::record)
        {
            co_return std::nullopt;
        }
        for (auto n = end - from; n > 0; --n)
        {
            if (!hides_number(
                    parse_assignment_record(block.records[static_cast<std::size_t>(n - 1)])))
            {
                co_return number_search{.highest = highest};
            }
        }
        end = from;
    }
    if (end > 0)
    {
        co_return std::nullopt;
    }
    co_return number_search{.highest = highest, .ends_at_gap = true};
}

task<std::optional<fencing_number>> order_controller::read_lasting_number(int partition)
{
    fencing_number highest(0);
    std::string after;
    for (bool more = true; more;)
    {
        auto call = platform::newest_call(platform::claim_number_topic, after);
        auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
        if (response && response->status == platform::no_topic_status)
        {
            co_return highest;
        }
        if (!response || response->status != 200)
        {
            co_return std::nullopt;
        }
        auto page = platform::parse_newest(response->body);
        if (!page)
        {
            context_.log.write("store_answer_bad", "call=newest topic={} detail=\"{}\"",
                               platform::claim_number_topic, page.error().detail);
            co_return std::nullopt;
        }
        for (const auto& record : page->records)
        {
            auto it = platform::parse_claim_number(record);
            if (it && it->partition == partition && it->number <= max_recorded_number)
            {
                highest = std::max(highest, it->number);
            }
            after = record.key;
        }
        more = page->more && !page->records.empty();
    }
    co_return highest;
}

task<void> order_controller::record_lasting_numbers()
{
    std::map<int, fencing_number> due;
    for (const auto& [partition, it] : partitions_)
    {
        if (!it.lasts)
        {
            due.emplace(partition, it.number);
        }
    }
    for (const auto& [partition, number] : due)
    {
        if (!has_time_for_calls())
        {
            co_return;
        }
        auto record = platform::to_record(platform::claim_number_record{
            .partition = partition, .machine = claimant_of_settings().machine, .number = number});
        auto call = platform::put_call(platform::claim_number_topic, record);
        auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
        auto held = partitions_.find(partition);
        if (response && response->status == 200 && held != partitions_.end() &&
            held->second.number == number)
        {
            held->second.lasts = true;
        }
    }
}

bool order_controller::has_time_for_calls() const
{
    // Calls that take long must not delay the next one to the group.
    return context_.now() + lease() / 2 < membership_until_;
}

task<order_controller::preceding_record> order_controller::read_conclusively(int partition,
                                                                             log_offset at)
{
    auto before = co_await read_record_before(partition, at);
    for (int n = 1; n < max_reads && is_inconclusive(before.read) && has_time_for_calls(); ++n)
    {
        co_await pause(read_interval);
        before = co_await read_record_before(partition, at);
    }
    co_return before;
}

task<order_controller::record_block> order_controller::read_block(int partition, log_offset from)
{
    auto call = platform::assignment_read_call(partition, from);
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    if (!response)
    {
        co_return record_block{.read = preceding_read::no_response};
    }
    if (response->status != 200)
    {
        co_return record_block{.read = response->status == platform::expired_status
                                           ? preceding_read::dropped
                                           : preceding_read::refused};
    }
    auto records = platform::parse_assignment_records(response->body);
    co_return record_block{.read =
                               records.empty() ? preceding_read::past_end : preceding_read::record,
                           .records = std::move(records)};
}

task<order_controller::preceding_record> order_controller::read_record_before(int partition,
                                                                              log_offset at)
{
    if (at.count() == 0)
    {
        co_return preceding_record{};
    }
    auto block = co_await read_block(partition, log_offset(at.count() - 1));
    if (block.read != preceding_read::record)
    {
        co_return preceding_record{.read = block.read};
    }
    auto record = parse_assignment_record(block.records.front());
    co_return preceding_record{.read =
                                   record ? preceding_read::record : preceding_read::unknown_record,
                               .record = std::move(record)};
}

} // namespace banyanshunt
