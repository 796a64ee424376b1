#include "scenario_language/checkers.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace banyanshunt::scenario
{
namespace
{

using requests_in = std::vector<observed_request>;

std::string describe(const observed_request& it)
{
    if (!it.response)
    {
        return it.name + " has no outcome";
    }
    const caller_response& response = *it.response;
    return fmt::format("{}: status {}, {}, reason \"{}\", run \"{}\", {} bytes, ran {} times {}",
                       it.name, response.status, response.complete ? "complete" : "incomplete",
                       response.reason, response.run, response.text.size(), it.runs,
                       response.detail);
}

// Describes the first request that does not satisfy `good`.
template <class Predicate>
diagnostic each(const requests_in& requests, Predicate good)
{
    if (requests.empty())
    {
        return "there are no such requests";
    }
    auto it = std::find_if_not(requests.begin(), requests.end(), good);
    return it == requests.end() ? diagnostic() : describe(*it);
}

bool is_run_status(const std::string& run)
{
    return run == "not_run" || run == "may_have_run" || run == "ran";
}

bool was_refused(const observed_request& it)
{
    return it.response && it.response->refused() && is_run_status(it.response->run);
}

bool was_answered(const observed_request& it)
{
    return it.response && it.response->answered();
}

} // namespace

diagnostic check_answered(const requests_in& requests)
{
    return each(requests, was_answered);
}

diagnostic check_settled(const requests_in& requests)
{
    return each(requests, [](const auto& it) { return was_answered(it) || was_refused(it); });
}

diagnostic check_refused(const requests_in& requests, const std::string& reason)
{
    return each(requests, [&](const auto& it)
                { return was_refused(it) && (reason.empty() || it.response->reason == reason); });
}

diagnostic check_whole(const requests_in& requests)
{
    return each(requests,
                [](const auto& it)
                {
                    if (!it.response || it.expected_text.empty())
                    {
                        return true;
                    }
                    return was_answered(it) ? it.response->text == it.expected_text
                                            : it.expected_text.starts_with(it.response->text);
                });
}

diagnostic check_truthful(const requests_in& requests)
{
    return each(requests, [](const auto& it)
                { return !it.response || it.response->run != "not_run" || it.runs == 0; });
}

diagnostic check_at_most_once(const requests_in& requests)
{
    return each(requests, [](const auto& it) { return it.runs <= 1; });
}

diagnostic check_once(const requests_in& requests)
{
    return each(requests, [](const auto& it) { return it.runs == 1; });
}

diagnostic check_no_key(const std::vector<std::string>& headers,
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

diagnostic check_replicas(int most_held, std::int64_t limit)
{
    if (most_held <= limit)
    {
        return std::nullopt;
    }
    return fmt::format("{} replicas were held at once, but at most {} are allowed", most_held,
                       limit);
}

diagnostic check_memory(int overcommits)
{
    if (overcommits == 0)
    {
        return std::nullopt;
    }
    return fmt::format("{} orders exceeded an engine's memory", overcommits);
}

diagnostic check_within_rate(const requests_in& requests, const workspace_id& workspace,
                             std::int64_t rate, std::int64_t burst)
{
    requests_in granted;
    std::copy_if(requests.begin(), requests.end(), std::back_inserter(granted),
                 [&](const auto& it) { return it.workspace == workspace && was_answered(it); });
    std::sort(granted.begin(), granted.end(),
              [](const auto& a, const auto& b) { return a.response->ended < b.response->ended; });
    for (const auto& first : granted)
    {
        std::int64_t sum = 0;
        for (const auto& it : granted)
        {
            if (it.response->sent < first.response->sent)
            {
                continue;
            }
            sum += it.tokens;
            double s =
                std::chrono::duration<double>(it.response->ended - first.response->sent).count();
            if (static_cast<double>(sum) >
                static_cast<double>(burst) + static_cast<double>(rate) * s)
            {
                return fmt::format("{} was granted {} tokens in {:.3f} s, beyond its burst of {} "
                                   "and rate of {} per second",
                                   workspace.str(), sum, s, burst, rate);
            }
        }
    }
    return granted.empty() ? diagnostic("nothing was granted, so nothing was checked")
                           : diagnostic();
}

diagnostic check_no_revert(const std::string& host, const std::vector<std::int64_t>& seen)
{
    auto it = std::is_sorted_until(seen.begin(), seen.end());
    if (it == seen.end())
    {
        return std::nullopt;
    }
    return fmt::format("{} went back from ticket {} to {}", host, *(it - 1), *it);
}

diagnostic check_no_new_work(const std::string& server, int runs_at_mark, int runs_now)
{
    if (runs_now == runs_at_mark)
    {
        return std::nullopt;
    }
    return fmt::format("{} started {} requests since its mark", server, runs_now - runs_at_mark);
}

diagnostic check_clean_stop(const std::string& host, std::optional<bool> clean)
{
    if (!clean)
    {
        return host + " was not stopped";
    }
    return *clean ? diagnostic() : host + " cut off requests when it stopped";
}

} // namespace banyanshunt::scenario
