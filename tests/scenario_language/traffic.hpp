#pragma once

/// \file
/// The traffic of a scenario: labelled batches of requests, each request sent on its own thread,
/// and their outcomes.

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

/// One request of a scenario.
struct scenario_request
{
    std::string name;
    caller_request call;
    /// The prompt of a completion or the body of a call. It is unique and identifies the request at
    /// the backend servers.
    std::string tag;
    workspace_id workspace;
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;
};

/// Sends and collects requests, grouped by label.
class traffic
{
public:
    ~traffic();

    /// Sends the requests now, each on its own thread.
    void send(const std::string& label, std::vector<scenario_request> requests);
    /// Waits until each request of the label has an outcome.
    void join(const std::string& label);
    bool contains(const std::string& label) const { return labels_.contains(label); }
    /// The requests of one label, in the order sent.
    const std::vector<scenario_request>& sent(const std::string& label) const;

    /// Observations of the label's requests; `runs_of` returns how many times a request ran.
    template <class RunsOf>
    std::vector<observed_request> observed(const std::string& label, RunsOf runs_of) const
    {
        std::lock_guard lock(mutex_);
        const auto& it = *labels_.at(label);
        std::vector<observed_request> out;
        for (std::size_t i = 0; i < it.requests.size(); ++i)
        {
            out.push_back(observe(it.requests[i], it.responses[i], runs_of(it.requests[i])));
        }
        return out;
    }

    std::vector<std::string> labels() const;

private:
    struct batch
    {
        std::vector<scenario_request> requests;
        std::vector<std::optional<caller_response>> responses;
        std::vector<std::thread> threads;
    };

    static observed_request observe(const scenario_request& request,
                                    const std::optional<caller_response>& response, int runs);

    http_client http_;
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<batch>> labels_;
};

} // namespace banyanshunt::scenario
