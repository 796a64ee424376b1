#pragma once

/// \file
/// How long requests probably run, by what earlier ones took. Those that still run, or were cut, do
/// not count, so the next may take longer than all that are known.
///
/// Made for a load pattern in which the responses of one route differ in length by a factor of ten,
/// and the pace of an engine follows its load: how long a request probably runs follows from its
/// size and from recent runs, not from the usual duration.

#include <deque>
#include <map>
#include <optional>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/serving_config.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct run_times_options
{
    /// Runs that ended earlier than this no longer count: the load of an engine changes within
    /// seconds, and a rare model is requested every few seconds.
    milliseconds window{30000};
    /// The newest runs that are kept for each model and service: more than a host of the largest
    /// deployment completes for one service in the window, 5 to 10 a second.
    std::size_t max_runs = 512;
    /// Fewer runs of one model than this say nothing of the next; those of its service count then.
    std::size_t min_runs = 8;
    /// How much longer than such a run a request may take, as a factor: a step of an
    /// engine with a full batch takes a quarter longer than one with a half-full batch.
    double reserve = 1.25;
};

/// One completed run.
struct run_duration
{
    /// From sending the request to the first byte of its response.
    nanoseconds first{0};
    /// From the first byte of the response to its last.
    nanoseconds rest{0};
    /// The output tokens that the request allowed; 0 if it stated none.
    millitokens output{0};
};

class run_times
{
public:
    explicit run_times(const run_times_options& options) : options_(options) {}

    /// Records a run of a model, or of a plain service if `model` is empty.
    void record(const service_id& service, const model_id& model, const run_duration& run,
                instant now);
    /// How long a request with this output limit probably takes: no more than that in `covered` of
    /// the recent runs, a fraction, scaled to its size. Empty if no run is known.
    std::optional<nanoseconds> estimate(const service_id& service, const model_id& model,
                                        millitokens output, double covered, instant now) const;
    /// How many models and services have runs that are kept.
    std::size_t count_models() const { return by_model_.size(); }
    std::size_t count_services() const { return by_service_.size(); }

private:
    struct ended_run
    {
        run_duration duration;
        instant at;
    };
    using run_list = std::deque<ended_run>;

    /// Appends a run, and drops those that no longer count.
    void append(run_list& to, const ended_run& run) const;
    std::size_t count_recent(const run_list& runs, instant now) const;
    nanoseconds estimate_of(const run_list& runs, millitokens output, double covered,
                            instant now) const;

    run_times_options options_;
    std::map<model_id, run_list> by_model_;
    std::map<service_id, run_list> by_service_;
};

} // namespace banyanshunt
