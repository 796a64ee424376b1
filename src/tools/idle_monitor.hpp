#pragma once

/// \file
/// Defines the measurement of idle accelerator hours: engines are asked once a second whether they
/// hold a loaded replica and run nothing, because only the engines know both.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// Watches from construction to `stop`.
class idle_monitor
{
public:
    idle_monitor(std::vector<std::string> engines, std::int64_t accelerators_per_engine);
    ~idle_monitor();
    idle_monitor(const idle_monitor&) = delete;
    idle_monitor& operator=(const idle_monitor&) = delete;

    /// Ends the watch and returns the accelerator time that stood idle with a replica loaded;
    /// nothing when no engine was named or none answered.
    std::optional<nanoseconds> stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
