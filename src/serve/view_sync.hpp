#pragma once

/// \file
/// Defines the duty that shares what hosts of one failure domain have read of the platform's
/// topics: one of them reads, the others ask it.
///
/// What an answer confirms is counted from the ask on the asking host's own clock, less the age
/// that the answer states, so a datagram that lay in a suspended host's buffer makes nothing look
/// fresh.

#include <optional>

#include "serve/peer_list.hpp"
#include "serve/topic_reader.hpp"

namespace banyanshunt
{

class view_sync
{
public:
    view_sync(host_context& core, peer_list& peers, state_watcher& follower)
        : core_(core), peers_(peers), follower_(follower)
    {
    }

    /// Asks the domain's reader until the host stops.
    task<void> run();
    void handle_message(const host_id& from, const peer& sender,
                        const peers::peer_message& message);

private:
    void ask(const host_id& source);
    std::optional<host_id> source(instant now) const;

    host_context& core_;
    peer_list& peers_;
    state_watcher& follower_;
    std::int64_t number_ = 0;
    instant asked_at_;
    host_id asked_;
    /// Asks in a row without an answer.
    int unanswered_ = 0;
    /// Hosts that did not answer, or had nothing fresh, and until when they are not asked.
    std::map<host_id, instant> passed_over_;
};

} // namespace banyanshunt
