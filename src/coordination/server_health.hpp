#pragma once

/// \file
/// Defines the health of backend servers as one host sees it: a server that fails again and again
/// is ejected, and comes back by a single probing request. Pure: time and chance come in.

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
    /// Failures in a row that eject a server.
    int failure_threshold = 3;
    /// The first ejection's length; each further one in a row is twice as long.
    milliseconds base_ejection{500};
    milliseconds max_ejection{10000};
};

/// What a request came to at a server.
enum class server_outcome
{
    /// It answered, well or with an error of its own.
    responded,
    /// It refused in good order, which says nothing of its health.
    refused,
    /// Nothing came, or what came was broken.
    failed,
};

/// What a verdict on a call says of the server that it went to.
server_outcome outcome_of(const failure& why);

/// The health of all servers that had failures.
class server_health
{
public:
    explicit server_health(const server_health_options& options = {}) : options_(options) {}

    /// Whether a request may go to the server now. An ejected one gets one at a time, for probing,
    /// once its ejection is over.
    bool usable(const server_id& server, instant now) const;
    bool ejected(const server_id& server) const;

    /// Counts a request as sent to the server.
    void record_sent(const server_id& server);
    /// Counts its outcome. `random` spreads the probing of several hosts.
    template <random_source Random>
    void record_outcome(const server_id& server, server_outcome outcome, instant now,
                        Random& random)
    {
        std::uniform_int_distribution<std::int64_t> percent(75, 125);
        end_with(server, outcome, now, percent(random));
    }

private:
    struct record
    {
        int failures = 0;
        /// Ejections in a row; 0 while the server is in use.
        int ejections = 0;
        instant probe_at;
        bool probing = false;
    };

    void end_with(const server_id& server, server_outcome outcome, instant now,
                  std::int64_t percent);

    server_health_options options_;
    std::map<server_id, record> records_;
};

} // namespace banyanshunt
