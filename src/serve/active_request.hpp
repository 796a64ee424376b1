#pragma once

/// \file
/// Runs one request on an entry host: API key check, rate limit, choice of a server, sending, and
/// relaying the response. The caller gets exactly one final response; a refusal that promises "not
/// run" is given only if no server can have executed the request.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "coordination/server_silence.hpp"
#include "coordination/stream_continuity.hpp"
#include "platform/headers.hpp"
#include "serve/caller_connection.hpp"
#include "serve/host_context.hpp"
#include "serve/server_exchange.hpp"

namespace banyanshunt
{

using caller_request = http::request<http::string_body>;

class active_request : public std::enable_shared_from_this<active_request>
{
public:
    /// `memory` is reserved for the request's body.
    active_request(host_context& context, std::shared_ptr<caller_connection> caller,
                   caller_request request, memory_reservation memory);

    /// Runs the request to its final response. Returns whether the caller's connection may carry
    /// another request.
    task<bool> run();
    /// Ends the request, because the host ends, and logs that. Its caller gets a final response if
    /// it has not received a part of one.
    void end_for_stop();

private:
    /// How an attempt at one server ended.
    enum class attempt_result
    {
        /// The caller received the complete response.
        delivered,
        /// The caller closed its connection.
        caller_left,
        /// The server is guaranteed not to have executed it.
        not_run,
        /// No response or a malformed one, and no byte of it was sent to the caller.
        may_have_run,
        /// The server responded with a 5xx status; `kept_response_` holds the response.
        server_failure,
        /// The stream ended early, after its head was sent to the caller.
        stream_broken,
    };
    /// Why a request is ended before its response is complete.
    enum class end_cause
    {
        none,
        deadline,
        host_stop,
    };
    struct refusal
    {
        int status = 503;
        const char* reason = "";
        std::optional<milliseconds> retry_after;
    };
    /// This host's own state does not allow a decision.
    static constexpr refusal unavailable{
        .status = 503, .reason = "state_unavailable", .retry_after = milliseconds(500)};
    /// A part of the prompt crashes servers. Not a 4xx, as the request is proper, and without a
    /// time to come back, as it will be refused then, too.
    static constexpr refusal banned{.status = 503, .reason = "prompt_banned", .retry_after = {}};

    void record_cut();
    /// Logs and counts a request that came after this host began to stop.
    void record_during_stop(const char* verdict);
    task<std::optional<refusal>> admit();
    /// Like `check_allowed`, but does not refuse by a configuration that may be superseded while it
    /// can be confirmed, and only with `unavailable` if it cannot.
    task<std::optional<refusal>> confirm_allowed();
    /// Waits until the configuration is confirmed, or is known not to be soon; for a refusal as
    /// long as it may.
    task<ground_verdict> confirm_config(config_decision decision);
    /// What the current configuration says of a request.
    struct admission
    {
        std::optional<refusal> refused = std::nullopt;
        const serving_route* route = nullptr;
        const workspace_spec* workspace = nullptr;
    };
    admission judge_admission() const;
    /// Applies the current configuration to this request.
    std::optional<refusal> check_allowed();
    bool routed_to_service(const serving_route& route) const;
    task<std::optional<refusal>> acquire_tokens();
    task<std::optional<server_id>> find_server();
    /// How long the caller of a stream waits for its next event before it leaves.
    milliseconds caller_patience() const;
    /// How long a stream may wait for its next event, so that another server can still send it
    /// before the caller leaves.
    milliseconds max_event_wait() const;
    /// The latest time at which a send to a server is worthwhile.
    instant latest_start() const;
    /// The latest time at which a send can end before this host does, if it was asked to stop.
    std::optional<instant> latest_start_before_stop() const;
    bool ends_before_stop(milliseconds expected_wait) const;
    /// How long a server probably takes for it during a stop, if that is known.
    std::optional<nanoseconds> run_estimate() const;
    bool out_of_time(milliseconds expected) const
    {
        return context_.now() + expected > latest_start();
    }
    bool ended() const { return end_cause_ != end_cause::none; }
    /// The reason to give for a request that was ended, or that failed for `otherwise`.
    const char* end_reason(const char* otherwise) const;
    void end(end_cause cause);
    /// Waits until it is known whether failure domains are evacuated, for a short time: a host
    /// without contact to the log serves on.
    task<void> confirm_evacuations();
    /// Waits for the server list to be confirmed if it is too old to send by it.
    task<void> confirm_server_list();
    task<void> respond();
    /// Whether a permit for the server is held and valid now, or none is needed.
    bool permitted(const server_id& server) const;
    /// Requests a permit for the chosen server; returns false if none was requested, because it is
    /// known that none can be had in time.
    task<bool> request_permit(const server_choice& choice);
    void request_extra_replica(const server_criteria& need);
    /// Waits until it is known whether the server of the last send has ended, if that is found out.
    task<void> await_end_check();
    /// The shared parts of the prompt; none at a plain service, which takes the field as any other.
    const std::vector<prompt_part>& shared_parts() const;
    bool has_banned_part() const
    {
        return context_.quarantine.judge(shared_parts()) == part_state::banned;
    }
    /// Records what the end of a send shows of the parts of the prompt.
    void record_prompt(const server_exchange& exchange, attempt_result end);
    void record_sound();
    /// Whether the current response began long enough ago to be sound.
    bool begun_soundly() const;
    /// Whether the current send is to be closed, because its server is silent and the request can
    /// go on; the retry budget is charged then.
    bool gives_up_on_server();
    /// Whether the request may be sent once more if the current send ends without its answer.
    bool may_repeat_after_this() const;
    /// Whether another server could take the request over at once; if one has to load its model
    /// first, requests that.
    bool other_server_ready();
    /// Whether everything that the choice of the server and the admission of the request rested on
    /// still applies. Asked right before the first byte, as a wait or a suspension may precede it.
    bool may_still_send(const server_id& server, std::int64_t start_time_ms) const;
    task<attempt_result> attempt(server_id server);
    /// Takes back that the request was sent, as nothing was.
    void undo_send();
    /// Records when the request was written, for `request_end`.
    void record_write(const server_exchange& exchange);
    /// Logs that a send did not bring the final answer.
    void log_attempt_end(const server_exchange& exchange, attempt_result end);
    task<attempt_result> relay(server_exchange& exchange);
    task<attempt_result> relay_buffered(server_exchange& exchange);
    task<attempt_result> relay_stream(server_exchange& exchange);
    /// Ends the send of a stream whose response, or the rest of it, is not passed on.
    attempt_result refuse_rest(server_exchange& exchange, stream_fault fault);
    attempt_result judge_refused(server_exchange& exchange);
    task<void> finish(attempt_result end);
    task<bool> refuse(refusal cause);
    outgoing_request server_request(const server_id& server);
    std::string response_head(const server_exchange& exchange, std::optional<std::size_t> length);
    void start_timers();
    void schedule_inactivity_check();
    void cancel_timers();
    bool repeatable() const;
    /// Whether the request may be run again after this many runs. A response of which the caller
    /// has a part can only be continued if it is a stream that may be resumed.
    bool may_run_again(int runs) const;
    milliseconds remaining() const;
    std::int64_t token_cost() const;
    /// The engine of the request's service by the current configuration; null for a plain one.
    const engine_spec* engine() const;
    /// What its server has to hold.
    model_target target() const { return target_of(engine(), fields_.model, fields_.adapter); }
    /// Key in the wait list: the model, or the service if the request has no target.
    std::string wait_key() const;
    /// Records how long a run of a model, if any, took that was sent at `sent_at` and has just
    /// ended well.
    void record_duration(const model_id& model, instant sent_at);
    void record_target_end(bool delivered);
    /// Records that events of the current attempt arrived.
    void record_events(std::string_view events);
    /// Records the pace of the server that sent a whole stream.
    void record_pace(const server_id& server);
    /// What made a stream late for its caller: `first`, its first event, `gap`, a gap between
    /// events, or `none`.
    const char* late_cause() const;
    void log_end(const char* outcome, int status);

    host_context& context_;
    std::shared_ptr<caller_connection> caller_;
    caller_request request_;
    memory_reservation memory_;
    platform::caller_fields fields_;
    instant arrived_;
    instant deadline_;
    serving_config_ptr config_;
    /// The age of the configuration, and the end of what was read of its topic, at the last
    /// decision whether the request may run.
    milliseconds config_age_{-1};
    log_offset config_end_;
    const serving_route* route_ = nullptr;
    const workspace_spec* workspace_ = nullptr;
    service_id service_;
    int priority_ = 5;
    std::int64_t charged_ = 0;

    asio::steady_timer deadline_timer_;
    asio::steady_timer inactivity_timer_;
    server_exchange* exchange_ = nullptr;
    end_cause end_cause_ = end_cause::none;
    /// The log did not confirm the server list when this request asked for it.
    bool list_unconfirmed_ = false;
    bool head_sent_ = false;
    bool may_have_run_ = false;
    /// Whether the retry budget has counted this request.
    bool request_counted_ = false;
    /// The retry budget was charged for the next send.
    bool repeat_acquired_ = false;
    int sends_ = 0;
    /// Servers that could not be connected to, so that nothing was sent.
    int failed_connects_ = 0;
    int runs_ = 0;
    std::set<server_id> tried_;
    stream_continuity events_;
    /// When the current attempt began, or completed its last event.
    instant progressed_at_;
    /// When it began or completed its first event, how many events it has brought, and the longest
    /// gap between two of them over all attempts.
    instant first_event_at_;
    int event_count_ = 0;
    nanoseconds longest_gap_{0};
    /// When the current attempt brought the first byte of a body, or the first event of a stream.
    std::optional<instant> first_byte_at_;
    /// The current attempt's response was recorded as sound.
    bool sound_recorded_ = false;
    std::string kept_response_;
    int kept_status_ = 0;
    const char* last_reason_ = "no_replica";
    server_id last_server_;
    /// Requests at that server when it was chosen: own ones and those that peers reported.
    int last_load_ = 0;
    /// From the choice of that server to the first byte sent there, and the age of the server list
    /// then; negative if nothing was sent.
    milliseconds connect_time_{-1};
    milliseconds servers_age_{-1};
    /// A permit to send the request to a server that states a limit.
    struct held_permit
    {
        server_id server;
        instant valid_from;
        instant valid_until;
    };
    std::optional<held_permit> permit_;
    /// When permits were last requested, by server.
    std::map<server_id, instant> permits_requested_;
    /// How long until a server's limit or pause allows another request, if that is why this one is
    /// refused.
    milliseconds limit_wait_{0};
    /// Where the last load request for the model or adapter went, if one was needed.
    std::optional<load_request_route> load_route_;
    server_id load_server_;
    milliseconds waited_{0};
    /// Time from arrival to the first event sent to the caller; 0 before.
    nanoseconds time_to_first_byte_{0};
    bool keep_alive_ = true;
};

} // namespace banyanshunt
