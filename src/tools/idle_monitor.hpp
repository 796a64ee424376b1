#pragma once

/// \file
/// Measures idle accelerator time. It polls the engines once a second, because only they know both
/// whether a replica is loaded and whether a request is running.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// Polls the engines from construction until `stop`.
class idle_monitor
{
public:
    idle_monitor(std::vector<std::string> engines, std::int64_t accelerators_per_engine);
    ~idle_monitor();
    idle_monitor(const idle_monitor&) = delete;
    idle_monitor& operator=(const idle_monitor&) = delete;

    /// Stops polling and returns the accelerator time during which a replica was loaded and no
    /// request ran; nullopt if no engine was configured or none responded.
    std::optional<nanoseconds> stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
