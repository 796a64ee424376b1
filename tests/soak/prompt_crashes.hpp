#pragma once

/// \file
/// Requests that crash engines of their own service during a soak run, by one part of their
/// prompts, beside sound ones that share the other parts. These engines also break heads off, and
/// end responses with their connections.

#include <map>
#include <mutex>
#include <random>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include "soak/soak_callers.hpp"
#include "soak/soak_fleet.hpp"
#include "stand_ins/crashing_engines.hpp"

namespace banyanshunt::soak
{

class prompt_crashes
{
public:
    prompt_crashes(soak_fleet& fleet, std::uint64_t seed);

    /// Ends the callers, and returns one line for each violation. From `recovered` on, all hosts
    /// are in touch.
    std::vector<std::string> find_violations(crashing_engines::time recovered);

private:
    struct result
    {
        std::string id;
        bool deadly = false;
        int status = 0;
        std::string body = {};
        crashing_engines::time sent = {};
    };

    void run_caller(const std::stop_token& stop, std::uint64_t seed);

    std::string part_;
    std::vector<std::string> ips_;
    crashing_engines engines_;
    std::mutex mutex_;
    std::vector<result> results_;
    std::vector<std::jthread> callers_;
};

} // namespace banyanshunt::soak
