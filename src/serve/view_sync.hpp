#pragma once

/// \file
/// Shares what hosts of one failure domain have read of the platform's topics: one host reads, the
/// others request its view.
///
/// What a response confirms is dated from the time of the request on the requesting host's own
/// clock, less the age that the response states, so a datagram that stayed in a suspended host's
/// buffer makes nothing look fresh.

#include <optional>

#include "coordination/catch_up.hpp"
#include "coordination/view_requests.hpp"
#include "serve/peer_list.hpp"
#include "serve/state_watcher.hpp"

namespace banyanshunt
{

namespace peers
{
class host_report;
}

class view_sync
{
public:
    view_sync(host_context& context, peer_list& peers, state_watcher& watcher)
        : context_(context), peers_(peers), watcher_(watcher)
    {
    }

    /// Requests the view of the domain's reader until the host stops.
    task<void> run();
    void handle_message(const host_id& from, const peer& sender,
                        const peers::peer_message& message);
    /// Adds what this host has read of the configuration.
    void fill_report(peers::host_report& report) const;

private:
    void handle_report(const peers::host_report& report);
    void request_view(const host_id& source);
    std::optional<host_id> source(instant now) const;

    host_context& context_;
    peer_list& peers_;
    state_watcher& watcher_;
    view_requests requests_;
    catch_up<log_offset> config_catch_up_;
    catch_up<config_version> version_catch_up_;
};

} // namespace banyanshunt
