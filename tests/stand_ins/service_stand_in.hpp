#pragma once

/// \file
/// Defines the stand-in for a plain service, which counts how often each call ran.

#include <memory>
#include <string>
#include <vector>

#include "stand_ins/fault_table.hpp"

namespace banyanshunt
{

struct service_stand_in_options
{
    std::string address = "127.0.0.1:0";
};

/// Answers every POST with the number of times that its body was posted: {"runs":1}.
/// GET /control/runs tells the sum over all bodies; POST /control/faults takes rows for "call".
class service_stand_in
{
public:
    explicit service_stand_in(const service_stand_in_options& options);
    ~service_stand_in();

    const std::string& address() const;
    fault_table& faults();

    /// How often a call with this body ran.
    int runs_of(const std::string& body) const;
    /// Calls that ran so far.
    int runs() const;
    /// Header fields that came with calls, as "name: value".
    std::vector<std::string> headers_seen() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
