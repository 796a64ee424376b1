#pragma once

/// \file
/// How fast each model engine is against the others, learned from the streams that it sends anyway.
///
/// Made for a load pattern in which engines of one service differ in speed by a factor of two or
/// more and pause now and then, while each host gets few streams of each: a stream's mean gap
/// between events is compared with what its model usually has, and hosts tell each other what they
/// learned. A single pause hardly counts, as it is averaged over streams; what was learned is
/// forgotten within a minute. Pure.

#include <map>
#include <optional>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// What one host learned of one server: the logarithm of its gaps against the usual ones, and how
/// many streams that rests on.
struct pace_sample
{
    double slowness = 0;
    double weight = 0;
    instant at;
};

class server_pace
{
public:
    /// Records a stream of at least `min_events` events with this mean gap.
    void record(const server_id& server, const model_id& model, nanoseconds mean_gap, int events,
                instant now);
    /// Applies what another host learned.
    void apply(const host_id& host, const server_id& server, const pace_sample& sample);
    /// What this host learned of a server itself, for the others; nothing if that is too little.
    std::optional<pace_sample> own(const server_id& server, instant now) const;

    /// The server's speed against the others: 1 if it is as fast as they are, or unknown.
    double speed(const server_id& server, instant now) const;

    /// Drops what was learned too long ago to count.
    void expire(instant now);

    /// Streams of fewer events say little of an engine's pace.
    static constexpr int min_events = 4;
    /// Weights halve within this time, so that a server which turns slow is known to within a few
    /// streams of each host.
    static constexpr seconds half_life{15};
    /// Streams without which a server counts as fast as the others; noise of gaps of up to 40 %
    /// averages out over so many.
    static constexpr double prior_weight = 3;
    /// Differences below this, a fraction, count as none: engines of one kind vary as much with
    /// their load.
    static constexpr double min_difference = 0.15;

private:
    static double decayed(const pace_sample& it, instant now);
    /// Adds a value to a decaying mean.
    static void add(pace_sample& to, double value, instant now);

    /// The logarithm of the usual gap, in ns, by model.
    std::map<model_id, pace_sample> usual_;
    std::map<server_id, pace_sample> own_;
    std::map<server_id, std::map<host_id, pace_sample>> peers_;
};

} // namespace banyanshunt
