#pragma once

/// \file
/// A stand-in for the platform: log service, host list and weight store at one address.

#include <memory>
#include <string>

#include "coordination/weight_store.hpp"
#include "stand_ins/memory_log.hpp"

namespace banyanshunt
{

struct platform_stand_in_options
{
    std::string address = "127.0.0.1:0";
    weight_store_limits limits;
    /// The time that the weight store takes for one model load at full speed.
    milliseconds load_time{300};
    /// The time that it takes for one adapter at full speed.
    milliseconds adapter_time{6};
};

/// Serves from construction to destruction.
///
/// Beside the platform's own calls it serves: PUT /hosts (the complete list), POST /control/down
/// and /control/up, POST /control/faults (rows of `fault_table`), POST /fetches?kind=model|adapter,
/// which responds once a fetch from the weight store is complete.
class platform_stand_in
{
public:
    explicit platform_stand_in(const platform_stand_in_options& options);
    ~platform_stand_in();

    const std::string& address() const;
    memory_log& log();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
