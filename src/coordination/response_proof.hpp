#pragma once

/// \file
/// Which response on a kept connection is the answer to the request that was sent last, from what
/// the connection has carried. Input and output are left to the caller.
///
/// Made for servers that write an earlier response once more, at any later time, with or without
/// the id of its request: such a copy must not end a request that runs.

#include <cstddef>
#include <unordered_set>

#include "state/ids.hpp"

namespace banyanshunt
{

/// How surely a response is the answer to the request that was sent.
enum class response_match
{
    /// It has the request's id, which the connection carried only once.
    exact,
    /// It has no id, and the connection carried nothing else that it could belong to. Does not show
    /// which server made it.
    unidentified,
    /// It has no id, and may be a copy of an earlier response.
    unproven,
    /// An interim response, or one to another request, made at an unknown time.
    other,
};

constexpr const char* to_text(response_match it)
{
    switch (it)
    {
    case response_match::exact:
        return "exact";
    case response_match::unidentified:
        return "unidentified";
    case response_match::unproven:
        return "unproven";
    default:
        return "other";
    }
}

/// Whether the response is the answer to the request.
constexpr bool is_answer(response_match it)
{
    return it == response_match::exact || it == response_match::unidentified;
}

/// What a connection has carried so far. Requests have ids; calls, such as orders, have none.
class connection_history
{
public:
    /// Whether a response on this connection can be proven to be the answer to a request with the
    /// id, or to a call if it is empty.
    bool may_carry(const request_id& id) const;
    /// Whether nothing more can be recorded, so that the connection must be closed.
    bool is_full() const { return sent_.size() >= max_requests; }
    /// Precondition: `may_carry(id)`. Called before the first byte is written.
    void record_sent(const request_id& id);
    /// The final response to none of the connection's open requests was received.
    void record_foreign_response() { foreign_ = true; }
    /// Judges a response that was received after the request with the id, or the call, was sent and
    /// before the next one. `answered_id` is the id in the response, or empty.
    response_match judge(const request_id& id, const std::string& answered_id, bool interim) const;

    /// Requests that one connection carries, at most; 64 KiB or so of memory.
    static constexpr std::size_t max_requests = 2048;

private:
    /// Hashes of the ids, as these are of any length. Two ids with one hash cost a connection.
    std::unordered_set<std::size_t> sent_;
    bool carried_call_ = false;
    bool foreign_ = false;
};

} // namespace banyanshunt
