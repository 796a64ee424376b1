#pragma once

/// \file
/// The gRPC call by which entry hosts exchange heartbeats and deltas of the state.

#include <functional>
#include <memory>
#include <string>

#include "coordination/state_manager.hpp"
#include "transport/peer_rpc.hpp"

namespace banyanshunt
{

/// Handles heartbeats; called from several threads.
using exchange_handler = std::function<exchange_response(const heartbeat&)>;

/// The gRPC service of an entry host.
class state_relay_service
{
public:
    explicit state_relay_service(exchange_handler handler);
    ~state_relay_service();

    grpc::Service* service();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Sends a heartbeat to the host at `address`. The complete response must arrive within
/// `limit`; a truncated delta is discarded entirely.
verdict<exchange_response> exchange_heartbeats(peer_channels& channels, const std::string& address,
                                               const heartbeat& it, milliseconds limit);

} // namespace banyanshunt
