#pragma once

/// \file
/// Sends orders to model engines. The platform's groups assign engines to entry hosts, so that each
/// engine has one owner. A host sends orders only while its membership is guaranteed to last, and a
/// new owner waits until the last order of the previous owner is long past.

#include <map>
#include <memory>
#include <set>

#include "coordination/assignment_record.hpp"
#include "coordination/engine_controller.hpp"
#include "coordination/number_survey.hpp"
#include "coordination/order_history.hpp"
#include "coordination/order_membership.hpp"
#include "serve/host_context.hpp"
#include "serve/server_exchange.hpp"
#include "transport/loop/http_connection.hpp"

namespace banyanshunt
{

class order_controller
{
public:
    /// What it needs of the other hosts.
    struct fleet_link
    {
        /// Sends to the other hosts what an engine holds.
        std::function<void(const server_id&, const server_placement&)> publish_placement;
        /// Sends to the other hosts that this host owns the engine and may not order yet, or any
        /// more.
        std::function<void(const server_id&, const engine_owner&)> publish_pending_owner;
        /// Sends to the other hosts that this host gives no more orders to the engines of a
        /// partition.
        std::function<void(int partition, const peer_release&)> publish_release;
        /// Tells the other hosts that an engine may carry out an order late.
        std::function<void()> publish_late_order;
        /// Asks these hosts for the numbers of owners that they know.
        std::function<void(const std::vector<host_id>&, survey_round)> ask_numbers;
        /// The known hosts including this one; empty before the others can know of this host.
        std::function<std::vector<known_host>()> hosts;
    };

    order_controller(host_context& context, fleet_link link);

    void start();
    /// Leaves the group, for a planned stop.
    task<void> leave();

    bool owns(const server_id& server) const { return owned_engines_.contains(server); }
    /// Applies a load request for an engine that this host owns; counts others.
    void request_load(const server_id& server, const model_target& unit, milliseconds waited);
    void record_use(const host_id& host, const server_id& server, const model_target& unit,
                    int running, int requests);
    /// Applies another host's release of a partition.
    void apply_release(int partition, const peer_release& release);
    /// Applies that another host knows of an order that may be carried out late.
    void apply_late_order(instant at);
    /// The highest number of an owner of each partition that this host knows.
    const std::map<int, fencing_number>& known_numbers();
    /// Applies the number of an owner of a partition, or of an engine, that another host knows.
    void apply_known_number(int partition, fencing_number number);
    void apply_known_number(const server_id& server, fencing_number number);
    /// Applies that a host has answered a question for the numbers it knows.
    void record_survey_answer(const host_id& from, survey_round round);
    /// Publishes the placements of all engines that this host owns.
    void publish_all();

private:
    static constexpr milliseconds store_timeout{1000};
    /// After an outage hosts join one by one, and the first is assigned partitions that move on
    /// within this time.
    static constexpr milliseconds assignment_settle_time{300};

    struct held_partition
    {
        fencing_number fence;
        /// The number of the claim, by which other hosts tell the newest owner. Orders may have an
        /// earlier one, of a takeover that this host continues.
        fencing_number number;
        /// Offset of the record by which this host claimed the partition.
        log_offset claim;
        takeover taken;
        /// When the log last recorded that the takeover is complete; nothing if it does not.
        std::optional<instant> recorded_at = {};
        /// Offset of the last record of which this host knows; those behind its claim are its own,
        /// or late releases.
        log_offset last_record;
        /// The last record of the last owner that gave orders before; nothing if there was none, or
        /// if the log has lost it.
        std::optional<log_offset> base = {};
        /// Whether the number of the claim outlasts its records: the offset gives it, or it is kept
        /// in a topic of its own.
        bool lasts = true;
        /// Whether this host has given an order under its claim.
        bool used = false;
        /// The highest number that the records before the claim state.
        fencing_number highest_stated = fencing_number(0);
        /// Whether another host is known to have had a number above the one of this host's orders.
        bool outnumbered = false;
        /// Whether no other host had claimed the partition when the group last changed.
        bool confirmed = true;
        /// Whether another host has announced the number of this claim, and that was reported.
        bool shared_reported = false;
        /// When the records behind the claim are read next for a late release of the owner before.
        instant read_at = {};
    };
    struct owned_engine
    {
        engine_controller controller;
        int partition;
        asio::steady_timer wake_timer;
        /// When the engine may be asked again whether it responds.
        instant probe_at = {};
        bool ended = false;
        bool announced = false;
        /// The other hosts know that orders cannot be given now.
        bool pending_announced = false;
        /// The placement that was last published to the other hosts.
        server_placement last_published;
    };

    task<void> run_membership();
    /// How many hosts should be members of the group.
    std::size_t member_count(const std::vector<known_host>& hosts) const;
    bool should_be_member() const;
    /// Ends the membership of a host that goes on serving.
    task<void> resign();
    /// Stops ordering all engines; returns the partitions to release.
    std::map<int, held_partition> give_up_engines();
    /// Ends the claims of a membership that has ended, and tells the other hosts.
    void void_claims();
    void release_to_peers(int partition, const held_partition& held, milliseconds wait);
    void publish_releases();
    /// Lets this host order the engines of a partition from a time on, if the owner before has
    /// released it.
    void apply_release(int partition, held_partition& held, instant free_at, const char* source);
    task<void> leave_group();
    task<bool> join();
    task<void> claim(int partition);
    /// The other hosts that may have owned partitions, or will.
    std::vector<known_host> hosts_to_survey() const;
    /// Asks them for the numbers they know.
    void ask_numbers();
    /// Whether a partition that is listed for this host may be claimed: the other hosts have told
    /// it what they know of earlier owners.
    bool is_surveyed(int partition);
    /// Appends a claim that may state a number, directly behind the record at `after` if that is
    /// given. Returns its offset; nothing if it was not appended, or got no response.
    task<std::optional<log_offset>> append_claim(int partition,
                                                 std::optional<fencing_number> number,
                                                 std::optional<log_offset> after);
    claimant claimant_of_settings() const;
    /// The record that precedes a claim; without one if there is none, or if it cannot be read.
    struct preceding_record
    {
        preceding_read read = preceding_read::none;
        std::optional<assignment_record> record = {};
    };
    task<preceding_record> read_record_before(int partition, log_offset at);
    /// Records from an offset on; `read` is `record` if there are any.
    struct record_block
    {
        preceding_read read = preceding_read::none;
        std::vector<std::string> records = {};
    };
    task<record_block> read_block(int partition, log_offset from);
    bool has_time_for_calls() const;
    /// The same; repeats a read that shows nothing, while the claim has time.
    task<preceding_record> read_conclusively(int partition, log_offset at);
    /// What the records before a claim state.
    struct number_search
    {
        fencing_number highest;
        /// Whether earlier records may have stated more, as the log does not have them.
        bool ends_at_gap = false;
    };
    /// Searches the records before a claim at `at`; nothing if one of them could not be read.
    task<std::optional<number_search>> read_stated_number(int partition, log_offset at,
                                                          preceding_record before);
    /// The highest number of a partition that outlasts the records of the assignment topic; nothing
    /// if it could not be read.
    task<std::optional<fencing_number>> read_lasting_number(int partition);
    /// Lets the numbers of this host's claims outlast their records, as long as there is time.
    task<void> record_lasting_numbers();
    /// The offset of this host's claim that it could not use yet, if no other follows; else that of
    /// a new one. Nothing if neither is known.
    task<std::optional<log_offset>> find_or_append_claim(int partition);
    /// Logs that a claim is not used.
    void log_claim_dropped(int partition, const char* reason, const assignment_claim& claim);
    /// Holds a partition by a claim, unless the membership has ended meanwhile. `last_record` is
    /// the claim, or the record behind it that states its number.
    void take_partition(int partition, const assignment_claim& claim, log_offset last_record);
    task<void> record_takeovers();
    /// Records that the takeover of a partition is complete.
    task<void> record_takeover(int partition);
    /// Whether a number is above those under which this host orders, and is not its own.
    bool exceeds(fencing_number number, const held_partition& held) const;
    /// Reads whether other hosts have claimed partitions that this host kept when the group
    /// changed: one may have moved away and back since the last call.
    task<void> confirm_claims();
    /// Confirms a claim by a record directly behind its own, where a read shows nothing; gives it
    /// up if the record is not appended.
    task<void> confirm_by_record(int partition);
    /// Reads for late releases that end the waits of claims.
    task<void> read_late_releases();
    /// What is recorded behind the claim of a partition; nothing if it cannot be read.
    task<std::optional<records_after_claim>> read_records(int partition, const held_partition& it);
    /// Applies what was read behind a claim of this host.
    void apply_records(int partition, const held_partition& read_for,
                       const records_after_claim& after);
    void give_up_superseded(int partition);
    /// States in the log that this host gives no more orders in these partitions, so that their
    /// next owners need not wait until its lease has expired.
    task<void> release(std::map<int, held_partition> partitions, milliseconds timeout);
    /// Records a release that states a wait; returns whether it was recorded.
    task<bool> append_release(int partition, const held_partition& held, milliseconds wait,
                              milliseconds timeout);
    /// Whether another host's orders may still be under way, and this host has given none.
    static bool is_unused(const held_partition& it);
    /// How long the next owner of a partition has to wait; nothing if that cannot be stated.
    std::optional<milliseconds> release_wait(int partition, const held_partition& it) const;
    /// Whether the partition has been listed long enough to be considered stable.
    bool is_settled(int partition, instant now);
    void update_owned_engines();
    task<void> run_server(server_id server, std::shared_ptr<owned_engine> held);
    void log_expired_requests(const server_id& server, owned_engine& held);
    /// Acquires a permit for one order or call for a report, if the engine states a limit. Returns
    /// false if it must not be sent now.
    task<bool> acquire_permit(server_id server, const owned_engine& held);
    task<void> query_report(server_id server, std::shared_ptr<owned_engine> held);
    /// Asks an engine for its report. Returns it if the engine responded.
    task<std::optional<residency_report>> fetch_report(server_id server);
    /// Records that an engine responded to a call that was sent at `asked_at`.
    void record_response(const server_id& server, owned_engine& held, instant asked_at);
    /// Lets the other hosts know of an order that the engine may carry out late, if there is one.
    void share_late_order(const server_id& server, std::optional<instant> ended_at);
    /// Asks an engine whose last owner may have left an order with it, if that is due.
    task<void> probe_engine(server_id server, std::shared_ptr<owned_engine> held);
    task<void> send_order(server_id server, std::shared_ptr<owned_engine> held, load_order order);
    /// Asks an engine that sent no response to an order whether it responds to another call, also
    /// if this host has lost it meanwhile.
    task<void> query_open_order(server_id server, const owned_engine& held,
                                order_history::claim own);
    /// What became of an order that was to be sent.
    struct order_outcome
    {
        exchange_state state = exchange_state::no_response;
        /// Status of the response; 0 if none came.
        int status = 0;
        /// How much of the membership was left when the order was written; negative if it was not.
        milliseconds membership_left{-1};
        /// Time from the begin of the exchange to the check and write; negative if it was not
        /// written.
        milliseconds written{-1};
        milliseconds took{0};
    };
    task<order_outcome> exchange_order(server_id server, std::shared_ptr<owned_engine> held,
                                       load_order order);
    void record_order(const server_id& server, owned_engine& held, const load_order& order,
                      fencing_number fence, const order_outcome& outcome);
    /// Logs and counts that this host orders the engines of a partition no more.
    void log_partition_lost(int partition, const held_partition& held, const char* reason);
    /// Logs and counts that another host announced the number of this host's claim.
    void report_shared_number(int partition, const engine_owner& owner);
    milliseconds lease() const;
    order_terms terms() const;
    /// Tells the other hosts from when on orders can be given.
    void publish_pending(const server_id& server, const owned_engine& held, instant may_order_at);
    bool may_order(const server_id& server, instant now) const;
    /// When this host, or the owner after it, may order at the earliest; for one that may not now.
    instant may_order_from(const server_id& server, instant now) const;
    /// Applies the registry to the history of orders, and the numbers of owners to those known.
    void observe_engines();
    static order_history::claim claim_of(const held_partition& it);
    /// Whether no engine of the partition may still read an earlier order.
    bool is_settled(int partition, const held_partition& it) const;
    /// Waits until the orders in flight to engines of these partitions have ended.
    task<void> await_orders(const std::map<int, held_partition>& partitions);
    bool acquire_store_load(const engine_spec& engine);
    const engine_spec* engine_of(const server_id& server) const;
    int partition_of(const server_id& server) const;
    /// Publishes what the server holds, if it differs from what was last published or `force` is
    /// set.
    void publish_placement(const server_id& server, owned_engine& held, bool force = false);

    host_context& context_;
    fleet_link link_;
    std::string member_;
    http_connection store_;
    std::int64_t generation_ = 0;
    bool is_member_ = false;
    bool leaving_ = false;
    bool membership_ended_ = false;
    asio::steady_timer membership_timer_;
    /// Until when the membership is guaranteed to last.
    instant membership_until_;
    std::map<int, held_partition> partitions_;
    /// The claims that this process held last.
    std::map<int, held_partition> former_;
    /// The highest number of an owner of each partition, by own claims, announcements and answers
    /// of other hosts.
    std::map<int, fencing_number> known_numbers_;
    /// Partitions of which the log has forgotten an owner that this host heard of.
    std::set<int> forgotten_owners_;
    /// A claim in the log that was not used, as what precedes it could not be read.
    struct unread_claim
    {
        log_offset at;
        instant appended_at;
    };
    std::map<int, unread_claim> unread_claims_;
    /// Releases of this host that could not be recorded, and those of other hosts.
    std::map<int, peer_release> own_releases_;
    std::map<int, peer_release> peer_releases_;
    /// Partitions of orders whose response is awaited.
    std::multiset<int> orders_in_flight_;
    order_history history_;
    number_survey survey_;
    /// When the other hosts were last told at once of a late order.
    instant late_order_shared_at_ = {};
    /// Partitions that are listed for this host and not claimed yet, with the time when they were
    /// first listed.
    std::map<int, instant> listed_since_;
    std::map<server_id, std::shared_ptr<owned_engine>> owned_engines_;
    double store_load_tokens_ = 0;
    instant store_load_refilled_at_;
};

} // namespace banyanshunt
