#include "scenario_language/checkers.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace banyanshunt::scenario
{
namespace
{

using requests_in = std::vector<observed_request>;

std::string told(const observed_request& it)
{
    if (!it.reply)
    {
        return it.name + " has no outcome";
    }
    const caller_reply& reply = *it.reply;
    return fmt::format("{}: status {}, {}, reason \"{}\", run \"{}\", {} bytes, ran {} times {}",
                       it.name, reply.status, reply.whole ? "whole" : "not whole", reply.reason,
                       reply.run, reply.text.size(), it.runs, reply.detail);
}

// The first request that `good` is not true of, as a complaint.
template <class Predicate>
complaint each(const requests_in& requests, Predicate good)
{
    if (requests.empty())
    {
        return "there are no such requests";
    }
    auto it = std::find_if_not(requests.begin(), requests.end(), good);
    return it == requests.end() ? complaint() : told(*it);
}

bool is_truthful_word(const std::string& run)
{
    return run == "not_run" || run == "may_have_run" || run == "ran";
}

bool was_refused(const observed_request& it)
{
    return it.reply && it.reply->refused() && is_truthful_word(it.reply->run);
}

bool was_answered(const observed_request& it)
{
    return it.reply && it.reply->answered();
}

} // namespace

complaint check_answered(const requests_in& requests)
{
    return each(requests, was_answered);
}

complaint check_settled(const requests_in& requests)
{
    return each(requests, [](const auto& it) { return was_answered(it) || was_refused(it); });
}

complaint check_refused(const requests_in& requests, const std::string& reason)
{
    return each(requests, [&](const auto& it)
                { return was_refused(it) && (reason.empty() || it.reply->reason == reason); });
}

complaint check_whole(const requests_in& requests)
{
    return each(requests,
                [](const auto& it)
                {
                    if (!it.reply || it.own_text.empty())
                    {
                        return true;
                    }
                    return was_answered(it) ? it.reply->text == it.own_text
                                            : it.own_text.starts_with(it.reply->text);
                });
}

complaint check_truthful(const requests_in& requests)
{
    return each(requests, [](const auto& it)
                { return !it.reply || it.reply->run != "not_run" || it.runs == 0; });
}

complaint check_at_most_once(const requests_in& requests)
{
    return each(requests, [](const auto& it) { return it.runs <= 1; });
}

complaint check_once(const requests_in& requests)
{
    return each(requests, [](const auto& it) { return it.runs == 1; });
}

complaint check_no_key(const std::vector<std::string>& headers,
                       const std::vector<std::string>& secrets)
{
    for (const auto& header : headers)
    {
        for (const auto& secret : secrets)
        {
            if (header.find(secret) != std::string::npos)
            {
                return "a backend server saw the header \"" + header + "\"";
            }
        }
    }
    return std::nullopt;
}

complaint check_replicas(int most_held, std::int64_t limit)
{
    if (most_held <= limit)
    {
        return std::nullopt;
    }
    return fmt::format("{} replicas were held at once, but at most {} are allowed", most_held,
                       limit);
}

complaint check_memory(int overcommits)
{
    if (overcommits == 0)
    {
        return std::nullopt;
    }
    return fmt::format("{} orders went beyond an engine's memory", overcommits);
}

complaint check_within_rate(const requests_in& requests, const workspace_id& workspace,
                            std::int64_t rate, std::int64_t burst)
{
    requests_in granted;
    std::copy_if(requests.begin(), requests.end(), std::back_inserter(granted),
                 [&](const auto& it) { return it.workspace == workspace && was_answered(it); });
    std::sort(granted.begin(), granted.end(),
              [](const auto& a, const auto& b) { return a.reply->ended < b.reply->ended; });
    for (const auto& first : granted)
    {
        std::int64_t sum = 0;
        for (const auto& it : granted)
        {
            if (it.reply->sent < first.reply->sent)
            {
                continue;
            }
            sum += it.tokens;
            double s = std::chrono::duration<double>(it.reply->ended - first.reply->sent).count();
            if (static_cast<double>(sum) >
                static_cast<double>(burst) + static_cast<double>(rate) * s)
            {
                return fmt::format(
                    "{} got {} tokens in {:.3f} s, but {} and {} a second are its own",
                    workspace.str(), sum, s, burst, rate);
            }
        }
    }
    return granted.empty() ? complaint("nothing was granted, so nothing was checked") : complaint();
}

complaint check_no_revert(const std::string& host, const std::vector<std::int64_t>& seen)
{
    auto it = std::is_sorted_until(seen.begin(), seen.end());
    if (it == seen.end())
    {
        return std::nullopt;
    }
    return fmt::format("{} went back from ticket {} to {}", host, *(it - 1), *it);
}

complaint check_no_new_work(const std::string& server, int runs_at_mark, int runs_now)
{
    if (runs_now == runs_at_mark)
    {
        return std::nullopt;
    }
    return fmt::format("{} began {} requests since its mark", server, runs_now - runs_at_mark);
}

complaint check_clean_stop(const std::string& host, std::optional<bool> clean)
{
    if (!clean)
    {
        return host + " was not stopped";
    }
    return *clean ? complaint() : host + " cut requests when it stopped";
}

} // namespace banyanshunt::scenario
