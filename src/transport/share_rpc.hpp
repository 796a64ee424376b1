#pragma once

/// \file
/// The gRPC call by which entry hosts lend tokens to each other. It is sent once: tokens lent in a
/// lost response stay unusable until the lender's loan expires, and are never lent twice.

#include <functional>
#include <memory>
#include <string>

#include "coordination/share_messages.hpp"
#include "state/verdict.hpp"
#include "transport/peer_rpc.hpp"

namespace banyanshunt
{

/// Handles calls; called from several threads.
using share_call_handler = std::function<share_response(const share_call&)>;

/// The gRPC service of an entry host.
class share_service
{
public:
    explicit share_service(share_call_handler handler);
    ~share_service();

    grpc::Service* service();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// The encoded size in bytes, without the framing of gRPC.
std::size_t encoded_size(const share_call& it);
std::size_t encoded_size(const share_response& it);

/// Sends a call to the host at `address` and waits up to `limit` for its response.
verdict<share_response> send_share_call(peer_channels& channels, const std::string& address,
                                        const share_call& it, milliseconds limit);

} // namespace banyanshunt
