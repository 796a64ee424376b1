#pragma once

/// \file
/// A client of the system for measurement tools and scenarios. It sends one request and records
/// everything that a caller can observe of the outcome.

#include <optional>
#include <string>

#include "state/clock.hpp"
#include "transport/http_client.hpp"

namespace banyanshunt
{

struct caller_request
{
    /// Address of an entry host, or of a load balancer in front of the entry hosts.
    std::string address;
    /// "k1.secret", or empty for none.
    std::string bearer;
    /// "POST" with a body by default.
    std::string method = "POST";
    /// "/v1/completions" or a plain service's path.
    std::string path;
    std::string body;
    /// Sent as X-Deadline-Ms when not zero.
    milliseconds deadline{0};
    /// Sent as Idempotency-Key when not empty.
    std::string idempotency_key;
    /// If no data arrives for this long, the caller counts the response as lost.
    milliseconds read_timeout{60000};
};

/// The outcome of a request as its caller observes it.
struct caller_response
{
    /// HTTP status; 0 if no response arrived.
    int status = 0;
    /// The joined tokens of a completion, or the body of a plain service's response.
    std::string text;
    /// The response ended normally, not by a broken connection.
    bool complete = false;
    /// The machine-readable reason of a refusal or a broken stream, or empty.
    std::string reason;
    /// "not_run", "may_have_run", "ran", or empty.
    std::string run;
    /// Human-readable reason why no response arrived.
    std::string detail;
    /// Delay before a retry, if the refusal names one.
    std::optional<milliseconds> retry_after;
    /// Token counts of the prompt and the completion, as the last event of the response reports
    /// them.
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;
    /// Times on the caller's clock.
    instant sent;
    std::optional<instant> first_token;
    instant ended;

    bool answered() const { return status == 200 && complete; }
    bool refused() const { return !reason.empty() && !complete; }
};

/// Builds the body of a streamed completion.
std::string completion_body(const std::string& model, const std::string& prompt,
                            std::int64_t max_tokens);

/// Sends the request once, without retries, and reads the complete response. `http` may be shared
/// between threads.
caller_response call(http_client& http, const caller_request& request);

} // namespace banyanshunt
