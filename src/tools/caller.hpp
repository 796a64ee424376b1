#pragma once

/// \file
/// Defines a caller of the system as measurement tools and scenarios use it: it sends one request
/// and tells all that a caller can see of the outcome.

#include <optional>
#include <string>

#include "state/clock.hpp"
#include "transport/http_client.hpp"

namespace banyanshunt
{

/// One request of a caller.
struct caller_request
{
    /// The entry host, or the balancer before them.
    std::string address;
    /// "k1.secret", or empty for none.
    std::string bearer;
    /// "POST" with a body, unless the test says otherwise.
    std::string method = "POST";
    /// "/v1/completions" or a plain service's path.
    std::string path;
    std::string body;
    /// Sent as X-Deadline-Ms when not zero.
    milliseconds deadline{0};
    /// Sent as Idempotency-Key when not empty.
    std::string idempotency_key;
    /// The longest silence that the caller bears before it calls the answer lost.
    milliseconds read_timeout{60000};
};

/// What came of a request, as its caller sees it.
struct caller_response
{
    /// 0 when no answer came.
    int status = 0;
    /// The answer's text: joined tokens of a completion, the body of a plain service.
    std::string text;
    /// The answer came to its proper end.
    bool complete = false;
    /// The machine-readable reason of a refusal or a broken stream, or empty.
    std::string reason;
    /// "not_run", "may_have_run", "ran", or empty.
    std::string run;
    /// Why no answer came, for people.
    std::string detail;
    /// When to come back, if the refusal says so.
    std::optional<milliseconds> retry_after;
    /// Tokens of the prompt and the answer, as the answer's end tells them.
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;
    /// Readings of the caller's clock.
    instant sent;
    std::optional<instant> first_token;
    instant ended;

    bool answered() const { return status == 200 && complete; }
    bool refused() const { return !reason.empty() && !complete; }
};

/// Builds the body of a streamed completion.
std::string completion_body(const std::string& model, const std::string& prompt,
                            std::int64_t max_tokens);

/// Sends the request, once, and reads its answer to the end. `http` may be shared by threads.
caller_response call(http_client& http, const caller_request& request);

} // namespace banyanshunt
