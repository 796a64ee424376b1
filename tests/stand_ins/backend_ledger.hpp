#pragma once

/// \file
/// A ledger shared by all engine stand-ins of one test. It records every replica and run of the
/// fleet as it happens, so that short-lived states between two polls are not missed.

#include <algorithm>
#include <map>
#include <mutex>
#include <string>

#include "state/ids.hpp"

namespace banyanshunt
{

/// Thread-safe.
class backend_ledger
{
public:
    /// Records that one engine loaded (`change` 1) or unloaded (-1) a replica.
    void record_replica(const model_id& model, int change)
    {
        std::lock_guard lock(mutex_);
        auto& it = replicas_[model];
        it.current += change;
        it.peak = std::max(it.peak, it.current);
    }

    void record_run(const std::string& prompt)
    {
        std::lock_guard lock(mutex_);
        ++runs_[prompt];
    }

    /// The largest number of replicas held at the same time.
    int max_replicas(const model_id& model) const
    {
        std::lock_guard lock(mutex_);
        auto it = replicas_.find(model);
        return it == replicas_.end() ? 0 : it->second.peak;
    }

    /// The number of completions started with this prompt.
    int runs_of(const std::string& prompt) const
    {
        std::lock_guard lock(mutex_);
        auto it = runs_.find(prompt);
        return it == runs_.end() ? 0 : it->second;
    }

private:
    struct replica_count
    {
        int current = 0;
        int peak = 0;
    };

    mutable std::mutex mutex_;
    std::map<model_id, replica_count> replicas_;
    std::map<std::string, int> runs_;
};

} // namespace banyanshunt
