#include "serve/peer_message_check.hpp"

#include <algorithm>
#include <cstdlib>
#include <string>

#include "coordination/assignment_record.hpp"
#include "peers.pb.h"
#include "transport/loop/event_loop.hpp"

namespace banyanshunt
{

namespace
{

/// As of the keys of the platform's records.
constexpr std::size_t max_name_bytes = 255;
/// More requests than a host has at once, or in the time between two reports.
constexpr std::uint32_t max_requests = 1'000'000;
/// Largest amount of tokens; in thousandths, a thousand such amounts can be added.
constexpr std::int64_t max_tokens = 1'000'000'000'000;
constexpr std::int64_t max_millitokens = max_tokens * 1000;
constexpr std::uint64_t max_millirequests_per_s = std::uint64_t(max_requests) * 1000;
/// Parts in the requests of one host that one server had not begun to answer.
constexpr int max_parts_of_crash = 256;
/// Gaps between events that are 150 times as long as usual, or as short.
constexpr std::int32_t max_slowness_permille = 5000;
/// More streams than a host lets count for one server.
constexpr std::uint32_t max_paced_streams_tenths = 1000;
/// A server is cold for some seconds after its start.
constexpr std::uint32_t max_cold_ms = 600'000;
constexpr std::int64_t max_waited_ms = 24LL * 3600 * 1000;
/// The end of the year 9999, as in entries of servers.
constexpr std::int64_t max_unix_ms = 253402300799999;

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), [](char it) { return it > ' ' && it < '\x7f'; });
}

/// The name of an adapter, or of none.
bool is_name_or_empty(const std::string& text)
{
    return text.empty() || is_name(text);
}

/// Operators name workspaces as they like.
bool is_workspace(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_bytes;
}

template <class Number>
bool is_within(Number n, Number max)
{
    return n >= 0 && n <= max;
}

bool is_sound(const peers::unit_use& it)
{
    return is_name(it.model()) && is_name_or_empty(it.adapter()) && it.running() <= max_requests &&
           it.asked() <= max_requests;
}

bool is_sound(const peers::server_use& it)
{
    return is_name(it.server()) && it.running() <= max_requests &&
           std::abs(it.slowness_permille()) <= max_slowness_permille &&
           it.paced_streams_tenths() <= max_paced_streams_tenths;
}

bool is_sound(const peers::spare_tokens& it)
{
    return is_workspace(it.workspace()) && it.tokens() <= static_cast<std::uint64_t>(max_tokens);
}

bool is_sound(const peers::held_model& it)
{
    return is_name(it.model()) &&
           std::all_of(it.adapters().begin(), it.adapters().end(),
                       [](const auto& held) { return is_name(held.name()); });
}

bool is_sound(const peers::placement& it)
{
    return is_name(it.server()) && is_within(it.born_ms(), max_unix_ms) &&
           is_within(it.fence(), max_fencing_number.count()) &&
           std::all_of(it.models().begin(), it.models().end(),
                       [](const auto& held) { return is_sound(held); });
}

bool is_sound(const peers::pending_owner& it)
{
    return is_name(it.server()) && is_within(it.fence(), max_fencing_number.count());
}

bool is_sound(const peers::partition_release& it)
{
    return it.last_record() >= 0 && is_within<std::int64_t>(it.wait_ms(), max_waited_ms);
}

bool is_sound(const peers::partition_number& it)
{
    return is_within(it.number(), max_fencing_number.count());
}

bool is_sound(const peers::load_wish& it)
{
    return is_name(it.server()) && is_name(it.model()) && is_name_or_empty(it.adapter());
}

bool is_sound(const peers::token_ask& it)
{
    return is_workspace(it.workspace()) && is_within(it.millitokens(), max_millitokens) &&
           is_within(it.waited_ms(), max_waited_ms);
}

bool is_sound(const peers::token_loan& it)
{
    return is_workspace(it.workspace()) && is_within(it.millitokens(), max_millitokens) &&
           is_within(it.left(), max_millitokens);
}

bool is_sound(const peers::loan_end& it)
{
    return is_within(it.returned(), max_millitokens);
}

bool is_sound(const peers::limit_statement& it)
{
    return is_name(it.server()) && is_within(it.born_ms(), max_unix_ms) &&
           it.millirequests_per_s() <= max_millirequests_per_s && it.sent() <= max_requests &&
           it.cold_ms() <= max_cold_ms && it.cold_millirequests_per_s() <= max_millirequests_per_s;
}

bool is_sound(const peers::permit_request& it)
{
    return is_sound(it.limit());
}

bool is_sound(const peers::permit_response& it)
{
    return !it.has_limit() || is_sound(it.limit());
}

bool is_sound(const peers::leaving_notice& it)
{
    return is_name(it.server()) && is_within(it.born_ms(), max_unix_ms);
}

bool is_sound(const peers::prompt_crash& it)
{
    return is_name(it.server()) && is_within(it.born_ms(), max_unix_ms) &&
           it.parts_size() <= max_parts_of_crash;
}

bool is_sound(const peers::prompt_part_age& it)
{
    return it.with_size() <= max_parts_of_crash;
}

/// Whether the sender of a message is named and, if it was relayed, its address states a port.
bool is_from_host(const peers::peer_message& message)
{
    return is_name(message.host()) && is_name(message.domain()) &&
           (message.relayed() != peers::passed_on ||
            to_endpoint(endpoint_text(message.address())).port() != 0);
}

template <class Items, class Sound>
void keep_if(Items& items, const char* kind, const std::function<void(const char*)>& refuse,
             const Sound& sound)
{
    auto end = std::remove_if(items.begin(), items.end(),
                              [&](const auto& it)
                              {
                                  bool keep = sound(it);
                                  if (!keep)
                                  {
                                      refuse(kind);
                                  }
                                  return !keep;
                              });
    items.erase(end, items.end());
}

} // namespace

bool remove_odd_items(peers::peer_message& message, const std::function<void(const char*)>& refuse)
{
    if (!is_from_host(message))
    {
        refuse("message");
        return false;
    }
    auto keep_sound = [&](auto& items, const char* kind)
    { keep_if(items, kind, refuse, [](const auto& it) { return is_sound(it); }); };
    if (message.has_report())
    {
        keep_sound(*message.mutable_report()->mutable_servers(), "server_use");
        for (auto& it : *message.mutable_report()->mutable_servers())
        {
            keep_sound(*it.mutable_units(), "unit_use");
        }
        keep_sound(*message.mutable_report()->mutable_spare(), "spare_tokens");
    }
    keep_sound(*message.mutable_placements(), "placement");
    keep_sound(*message.mutable_pending_owners(), "pending_owner");
    keep_sound(*message.mutable_partition_releases(), "partition_release");
    keep_sound(*message.mutable_partition_numbers(), "partition_number");
    keep_sound(*message.mutable_wishes(), "load_request");
    keep_sound(*message.mutable_asks(), "token_request");
    keep_sound(*message.mutable_loans(), "loan");
    keep_sound(*message.mutable_ends(), "loan_end");
    keep_sound(*message.mutable_limits(), "limit");
    keep_sound(*message.mutable_permit_requests(), "permit_request");
    keep_sound(*message.mutable_permit_responses(), "permit_response");
    keep_sound(*message.mutable_leaving(), "leaving_notice");
    keep_sound(*message.mutable_prompt_crashes(), "prompt_crash");
    keep_sound(*message.mutable_banned_parts(), "banned_part");
    for (auto& it : *message.mutable_bundled())
    {
        // A bundled message bundles none.
        it.clear_bundled();
        if (!remove_odd_items(it, refuse))
        {
            it.Clear();
        }
    }
    return true;
}

} // namespace banyanshunt
