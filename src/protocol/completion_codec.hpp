#pragma once

/// \file
/// Defines the JSON of the callers' API for completions, in the shape that users of model-serving
/// APIs know, and of refusals.

#include <string>
#include <vector>

#include "coordination/model_engine.hpp"

namespace banyanshunt
{

/// A caller's completion request.
struct caller_completion
{
    /// As written by the caller: the name of a model or of an adapter.
    std::string name;
    std::string prompt;
    std::int64_t max_tokens = 16;
    bool stream = false;
    /// The request came to /v1/chat/completions.
    bool chat = false;
};

/// Reads the body of /v1/completions or, with `chat`, of /v1/chat/completions. Fails with
/// `errc::bad_request` and a sentence that names the wrong field.
verdict<caller_completion> decode_completion_request(const std::string& body, bool chat);

/// What the answer says about itself.
struct completion_header
{
    request_id id;
    std::string name;
    bool chat = false;
};

/// The body of a whole answer.
std::string encode_completion_response(const completion_header& header, const std::string& text,
                                       const completion_end& end);
/// The server-sent event of one token.
std::string encode_chunk(const completion_header& header, const std::string& text);
/// The last events of a stream that ended well.
std::string encode_stream_end(const completion_header& header, const completion_end& end);
/// The event of a stream that broke off.
std::string encode_stream_failure(const failure& why);

/// The body of a refusal or failure: a machine-readable reason and whether the request ran.
std::string encode_failure(const failure& why);
/// The HTTP status for a failure.
int status_of(const failure& why);

/// The body of /v1/models.
std::string encode_models(const std::vector<std::string>& names);

} // namespace banyanshunt
