#pragma once

/// \file
/// Defines the ledger that all engine stand-ins of one test share: what the fleet held and ran is
/// known exactly, and not only as often as somebody looked.

#include <algorithm>
#include <map>
#include <mutex>
#include <string>

#include "state/ids.hpp"

namespace banyanshunt
{

/// Safe from any thread.
class backend_ledger
{
public:
    /// Notes that one engine took (`change` 1) or gave up (-1) a replica.
    void record_replica(const model_id& model, int change)
    {
        std::lock_guard lock(mutex_);
        auto& it = replicas_[model];
        it.now += change;
        it.most = std::max(it.most, it.now);
    }

    void record_run(const std::string& prompt)
    {
        std::lock_guard lock(mutex_);
        ++runs_[prompt];
    }

    /// The most replicas that were held at once.
    int max_replicas(const model_id& model) const
    {
        std::lock_guard lock(mutex_);
        auto it = replicas_.find(model);
        return it == replicas_.end() ? 0 : it->second.most;
    }

    /// How often completions with this prompt were begun.
    int runs_of(const std::string& prompt) const
    {
        std::lock_guard lock(mutex_);
        auto it = runs_.find(prompt);
        return it == runs_.end() ? 0 : it->second;
    }

private:
    struct held
    {
        int now = 0;
        int most = 0;
    };

    mutable std::mutex mutex_;
    std::map<model_id, held> replicas_;
    std::map<std::string, int> runs_;
};

} // namespace banyanshunt
