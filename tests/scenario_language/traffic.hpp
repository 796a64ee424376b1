#pragma once

/// \file
/// Defines the traffic of a scenario: requests sent by threads of their own under a label, with
/// their outcomes.

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "scenario_language/checkers.hpp"

namespace banyanshunt::scenario
{

/// A request as a scenario sends it.
struct scenario_request
{
    std::string name;
    caller_request call;
    /// The prompt of a completion or the body of a call: unique, and what the backends know it by.
    std::string tag;
    workspace_id workspace;
    std::int64_t prompt_tokens = 0;
    std::int64_t answer_tokens = 0;
};

/// Requests under one label.
class traffic
{
public:
    ~traffic();

    /// Sends the requests now, each on its own thread.
    void send(const std::string& label, std::vector<scenario_request> requests);
    /// Waits until each request of the label has its outcome.
    void join(const std::string& label);
    bool contains(const std::string& label) const { return labels_.contains(label); }
    /// The requests of one label, as they were sent.
    const std::vector<scenario_request>& sent(const std::string& label) const;

    /// What is known of the label's requests; `runs_of` tells how often a mark ran.
    template <class RunsOf>
    std::vector<observed_request> observed(const std::string& label, RunsOf runs_of) const
    {
        std::lock_guard lock(mutex_);
        const auto& it = *labels_.at(label);
        std::vector<observed_request> out;
        for (std::size_t i = 0; i < it.requests.size(); ++i)
        {
            out.push_back(observe(it.requests[i], it.replies[i], runs_of(it.requests[i])));
        }
        return out;
    }

    std::vector<std::string> labels() const;

private:
    struct batch
    {
        std::vector<scenario_request> requests;
        std::vector<std::optional<caller_response>> replies;
        std::vector<std::thread> threads;
    };

    static observed_request observe(const scenario_request& request,
                                    const std::optional<caller_response>& reply, int runs);

    http_client http_;
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<batch>> labels_;
};

} // namespace banyanshunt::scenario
