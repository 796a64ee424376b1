#pragma once

/// \file
/// Which engines may still read an order that was given before: one of this host that had no
/// response, or one of an earlier owner.
///
/// It is made for engines that stall. The kernel of such an engine has acknowledged the order
/// and keeps it, also after its sender has reset the connection, and the engine reads it when it
/// resumes; meanwhile its entry may leave the registry and come back. Engines may also carry out an
/// order seconds after its arrival, without a response. Hosts tell each other when one does, and
/// only then wait for such orders of owners that are gone. Pure: the time and what was observed are
/// arguments.

#include <functional>
#include <map>
#include <optional>

#include "coordination/assignment_record.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

struct order_history_options
{
    /// The minimum time between orders of two hosts.
    milliseconds lease;
    /// How long an order without a response counts as under way, also if the engine responds to
    /// other calls: something between the hosts may hold it up.
    milliseconds open_order_time;
    /// How long after it was sent an engine may carry out an order without a response.
    milliseconds order_delay{0};
    /// An engine that responds to a later call within this time has read the order.
    milliseconds late_order_evidence{2000};
    /// How far the time of day may differ between two machines.
    milliseconds clock_difference{10000};
    /// How long an engine that is not registered any more is remembered.
    milliseconds forget_after{60000};
};

class order_history
{
public:
    explicit order_history(const order_history_options& options) : options_(options) {}

    /// The claim by which this host owns an engine.
    struct claim
    {
        takeover taken;
        fencing_number fence;
    };

    /// Applies the registry. An engine is given with the start of its process on this host's clock,
    /// and `leaving` if it gets no requests any more; those not given are not registered. The
    /// engines of the first call count as registered all the while.
    struct registered_engine
    {
        std::int64_t start_time_ms = 0;
        instant process_started_at;
        bool leaving = false;
    };
    void observe(const std::map<server_id, registered_engine>& engines, instant now);

    /// Records that an order ended: with a response, or without one although it was sent.
    void record_order(const server_id& server, fencing_number fence, bool answered, instant now);
    /// Records a response at `now` to a call for a report that was sent at `asked_at`. Returns when
    /// an order ended of which it shows that the engine may carry it out late; nothing if it shows
    /// none.
    std::optional<instant> record_response(const server_id& server, const claim& it,
                                           instant asked_at, instant now);
    /// Records that an engine of any host may carry out an order late that ended at `at` without a
    /// response.
    void record_late_order(instant at);
    /// Whether an order of an owner before this claim may be carried out late. What is known only
    /// when this host may order already changes nothing.
    bool expects_late_orders(const takeover& taken) const;

    /// When the first order to the engine may be given; nothing while that depends on a response of
    /// the engine.
    std::optional<instant> first_order_at(const server_id& server, const claim& it) const;
    /// After which moment a call has to be sent whose response is awaited; nothing if none is.
    std::optional<instant> awaits_response_after(const server_id& server, const claim& it) const;
    /// Whether no engine that `in_partition` accepts may still read an order of an earlier claim or
    /// one without a response.
    bool is_settled(const claim& it, const std::function<bool(const server_id&)>& in_partition,
                    instant now) const;
    /// When another host may give orders to these engines at the earliest, if this one gives no
    /// more; nothing while one of them may hold an order that it has not read.
    std::optional<instant> free_at(const claim& it,
                                   const std::function<bool(const server_id&)>& in_partition) const;
    /// When the last order to one of these engines ended, or may have been read.
    instant last_order_at(const std::function<bool(const server_id&)>& in_partition) const;

private:
    struct engine_record
    {
        registered_engine engine;
        bool registered = true;
        instant seen_at;
        /// When it was registered again without a new start, and when it was last seen before.
        std::optional<instant> reappeared_at;
        instant absent_since;
        instant last_order_at;
        /// When the wait for the response to an order ended without one.
        std::optional<instant> open_since;
        fencing_number open_fence;
        /// The first response that counts, and when that call was sent.
        std::optional<instant> responded_at;
        instant asked_at;
    };

    /// After which moment a response is needed before anything of this engine counts as settled.
    std::optional<instant> needed_after(const engine_record& it, const takeover& taken) const;
    /// After which time behind the response that is needed no order of another host is carried out
    /// within a lease.
    milliseconds response_wait(const engine_record& it, const takeover& taken) const;
    static bool has_responded(const engine_record& it, const std::optional<instant>& needed);
    std::optional<instant> first_order_at(const engine_record& it, const claim& own) const;
    bool has_open_order(const engine_record& it, instant now) const;

    order_history_options options_;
    std::map<server_id, engine_record> records_;
    /// The last of the late orders that are known, and the first of those that followed each other
    /// within `order_delay`.
    std::optional<instant> last_late_order_;
    std::optional<instant> late_orders_since_;
    bool observed_ = false;
};

} // namespace banyanshunt
