#pragma once

/// \file
/// Callers that ask every host for more models and adapters than the engines hold, so that the
/// owners of engines always have an order to give.

#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace banyanshunt::soak
{

class model_demand
{
public:
    /// Calls the hosts at these addresses until destroyed.
    model_demand(std::vector<std::string> ips, int port, int adapters);

private:
    void run_caller(std::size_t caller, const std::stop_token& stop) const;

    std::vector<std::string> ips_;
    int port_;
    std::vector<std::string> targets_;
    std::vector<std::jthread> threads_;
};

} // namespace banyanshunt::soak
