#pragma once

/// \file
/// The JSON of the completion API for callers, in the format common to model-serving APIs, and of
/// refusals.

#include <string>
#include <vector>

#include "coordination/model_engine.hpp"

namespace banyanshunt
{

/// A caller's completion request.
struct caller_completion
{
    /// The name of a model or of an adapter, as sent by the caller.
    std::string name;
    std::string prompt;
    std::int64_t max_tokens = 16;
    bool stream = false;
    /// Whether the request was sent to /v1/chat/completions.
    bool chat = false;
};

/// Decodes the body of /v1/completions or, with `chat`, of /v1/chat/completions. Fails with
/// `errc::bad_request` and a message that names the invalid field.
verdict<caller_completion> decode_completion_request(const std::string& body, bool chat);

/// The fields common to all events and bodies of a response.
struct completion_header
{
    request_id id;
    std::string name;
    bool chat = false;
};

/// The body of a complete response.
std::string encode_completion_response(const completion_header& header, const std::string& text,
                                       const completion_end& end);
/// The server-sent event of one token.
std::string encode_chunk(const completion_header& header, const std::string& text);
/// The last events of a stream that ended normally.
std::string encode_stream_end(const completion_header& header, const completion_end& end);
/// The event that reports the failure of a stream.
std::string encode_stream_failure(const failure& cause);

/// The body of a refusal or failure: a machine-readable reason and whether the request ran.
std::string encode_failure(const failure& cause);
/// The HTTP status for a failure.
int status_of(const failure& cause);

/// The body of /v1/models.
std::string encode_models(const std::vector<std::string>& names);

} // namespace banyanshunt
