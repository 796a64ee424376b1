#pragma once

/// \file
/// A stand-in for a plain service that counts the runs of each call.

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

/// Responds to every POST with the number of times its body was posted: {"runs":1}.
/// GET /control/runs returns the sum over all bodies; POST /control/faults accepts rows for "call".
class service_stand_in
{
public:
    explicit service_stand_in(const service_stand_in_options& options);
    ~service_stand_in();

    const std::string& address() const;
    fault_table& faults();

    /// The number of runs of a call with this body.
    int runs_of(const std::string& body) const;
    /// The number of calls run so far.
    int runs() const;
    /// Header fields received with calls, as "name: value".
    std::vector<std::string> headers_seen() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
