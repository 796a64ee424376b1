#pragma once

/// \file
/// The health of backend servers as one host sees it: a server that fails repeatedly is ejected,
/// and returns after a single successful probe request. Pure: the time and a random source are
/// arguments.

#include <map>

#include "coordination/random_source.hpp"
#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

struct server_health_options
{
    /// Consecutive failures that eject a server.
    int failure_threshold = 3;
    /// The first ejection's duration; each consecutive one lasts twice as long.
    milliseconds base_ejection{500};
    milliseconds max_ejection{10000};
};

/// The outcome of a request at a server.
enum class server_outcome
{
    /// It responded, with success or with an error of its own.
    responded,
    /// It refused in a well-formed response, which says nothing about its health.
    refused,
    /// No response, or a malformed one.
    failed,
};

/// Returns what a failed call says about the server that it went to.
server_outcome outcome_of(const failure& why);

/// The health of all servers that had failures.
class server_health
{
public:
    explicit server_health(const server_health_options& options = {}) : options_(options) {}

    /// Whether a request may go to the server now. An ejected server gets one probe request at a
    /// time once its ejection is over.
    bool usable(const server_id& server, instant now) const;
    bool ejected(const server_id& server) const;

    /// Counts a request as sent to the server.
    void record_sent(const server_id& server);
    /// Records a request's outcome. `random` spreads the probes of several hosts over time.
    template <random_source Random>
    void record_outcome(const server_id& server, server_outcome outcome, instant now,
                        Random& random)
    {
        std::uniform_int_distribution<std::int64_t> percent(75, 125);
        apply_outcome(server, outcome, now, percent(random));
    }

private:
    struct record
    {
        int failures = 0;
        /// Consecutive ejections; 0 while the server is in use.
        int ejections = 0;
        instant probe_at;
        bool probing = false;
    };

    void apply_outcome(const server_id& server, server_outcome outcome, instant now,
                       std::int64_t percent);

    server_health_options options_;
    std::map<server_id, record> records_;
};

} // namespace banyanshunt
