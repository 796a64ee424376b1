#pragma once

/// \file
/// Defines the run of one request on an entry host: key, rate, choice of a server, sending, and the
/// answer on its way back. The request gets one final answer; a refusal that promises "not run" is
/// given only if no server can have run it.

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "coordination/event_splitter.hpp"
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
    active_request(host_context& core, std::shared_ptr<caller_connection> caller,
                   caller_request request);

    /// Runs the request to its final answer. Returns whether the caller's connection may carry
    /// another request.
    task<bool> run();

private:
    /// How an attempt at one server ended.
    enum class attempt_result
    {
        /// The caller has the whole answer.
        delivered,
        /// The caller left.
        caller_left,
        /// The server surely did not run it.
        not_run,
        /// No answer, or a broken one, and nothing of it went to the caller.
        may_have_run,
        /// The server's own failure is kept in `kept_answer_`.
        server_failure,
        /// A stream broke off after its head went to the caller.
        stream_broken,
    };
    struct refusal
    {
        int status = 503;
        const char* reason = "";
        std::optional<milliseconds> retry_after;
    };

    std::optional<refusal> admit();
    std::optional<refusal> check_allowed();
    task<std::optional<refusal>> acquire_tokens();
    task<std::optional<server_id>> find_server();
    bool out_of_time(milliseconds expected) const;
    /// Whether what allowed the request is still in force.
    bool may_still_send() const;
    task<attempt_result> attempt(server_id server);
    task<attempt_result> relay(server_exchange& exchange);
    task<attempt_result> relay_whole(server_exchange& exchange);
    task<attempt_result> relay_stream(server_exchange& exchange);
    attempt_result judge_refused(server_exchange& exchange);
    task<void> settle(attempt_result end);
    task<bool> refuse(refusal why);
    std::string server_request(const server_id& server);
    std::string answer_head(const server_exchange& exchange, std::optional<std::size_t> length);
    void arm();
    void expire();
    void guard_silence();
    void stop_waiting();
    bool repeatable() const;
    milliseconds left() const;
    std::int64_t token_cost() const;
    /// What it waits for: its model, or its plain service.
    const std::string& wait_name() const;
    void log_end(const char* outcome, int status);

    host_context& core_;
    std::shared_ptr<caller_connection> caller_;
    caller_request request_;
    platform::caller_fields fields_;
    instant arrived_;
    instant deadline_;
    serving_config_ptr config_;
    const serving_route* route_ = nullptr;
    const workspace_spec* workspace_ = nullptr;
    service_id service_;
    int priority_ = 5;
    std::int64_t charged_ = 0;

    asio::steady_timer deadline_timer_;
    asio::steady_timer guard_timer_;
    server_exchange* active_ = nullptr;
    bool expired_ = false;
    bool head_sent_ = false;
    bool may_have_run_ = false;
    int sends_ = 0;
    int runs_ = 0;
    std::set<server_id> tried_;
    event_splitter events_;
    std::string kept_answer_;
    int kept_status_ = 0;
    const char* last_reason_ = "no_replica";
    server_id last_server_;
    /// Requests at that server, own and told, when it was chosen.
    int last_load_ = 0;
    milliseconds waited_{0};
    /// From arrival to the first byte of the answer; 0 before.
    nanoseconds first_byte_{0};
    bool keep_alive_ = true;
};

} // namespace banyanshunt
