#pragma once

/// \file
/// What a faulty server sends besides or in place of its responses.

#include <chrono>
#include <string>

namespace httplib
{
struct Request;
struct Response;
} // namespace httplib

namespace banyanshunt
{

/// Whose id the copy of a response states that follows the response on its connection.
enum class copied_id
{
    no_copy,
    /// That of the request just answered.
    same,
    none,
    /// That of an earlier request on the connection that got such a response.
    earlier,
};

/// How an engine answers a request to go on with a stream.
enum class odd_resumption
{
    sound,
    /// With an error as text, under status 200.
    error_text,
    /// With the head and the body of an error, as if they were events.
    error_head,
    /// With status 200 and no body.
    empty,
    /// With the stream's events from the first on.
    from_the_start,
    /// Without the first of the events that are left.
    skipped_event,
    /// With a refusal; the next time as it should.
    refused_first,
};

/// Responds with this body, and after a delay sends a copy of the response that states another id
/// or none. The server reads its next request only then. The response's status must be set.
void send_with_copy(const httplib::Request& call, httplib::Response& response,
                    const std::string& body, copied_id id, std::chrono::milliseconds delay);

/// Responds to a request to go on with a stream, for the ways that send no events; returns whether
/// it did.
bool resume_without_events(odd_resumption how, httplib::Response& response);

/// The first event that a resumed stream sends if `next` is due.
int first_resumed_event(odd_resumption how, int next);

} // namespace banyanshunt
