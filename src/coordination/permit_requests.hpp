#pragma once

/// \file
/// Requests for permits that one host has sent to the hosts that grant them, and which response
/// belongs to which.
///
/// Made for datagrams that are delayed, duplicated, or answer a request of an earlier incarnation
/// of this host: none of them may be taken for the permit that a request now waits for.

#include <cstdint>
#include <map>
#include <optional>

#include "coordination/permit_schedule.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

class permit_requests
{
public:
    /// Numbers begin at one that follows from the incarnation, so that no response to an earlier
    /// incarnation has the number of an open request.
    explicit permit_requests(incarnation_id own) : last_number_(own.count() / 2) {}

    /// Opens a request to a host; returns its number.
    std::int64_t begin(const host_id& granter)
    {
        pending_.emplace(++last_number_, pending_request{.granter = granter, .grant = {}});
        return last_number_;
    }
    /// Takes a host's response to the request with the number. Returns false, without an effect, if
    /// no request with it is open, if another host was asked, or if it has a response already.
    bool record(const host_id& from, std::int64_t number, const permit_grant& grant)
    {
        auto it = pending_.find(number);
        if (it == pending_.end() || it->second.granter != from || it->second.grant)
        {
            return false;
        }
        it->second.grant = grant;
        return true;
    }
    /// Whether an open request has its response.
    bool has_response(std::int64_t number) const { return pending_.at(number).grant.has_value(); }
    /// Closes an open request; returns its response, or nothing.
    std::optional<permit_grant> end(std::int64_t number)
    {
        return pending_.extract(number).mapped().grant;
    }

private:
    struct pending_request
    {
        host_id granter;
        std::optional<permit_grant> grant;
    };

    std::map<std::int64_t, pending_request> pending_;
    std::int64_t last_number_;
};

} // namespace banyanshunt
