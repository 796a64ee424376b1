#pragma once

/// \file
/// An HTTP proxy in front of the platform stand-in, one per failure domain. A test can disconnect
/// one domain from the platform, or delay its responses, without affecting the others.

#include <atomic>
#include <string>

#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace banyanshunt
{

/// Forwards calls from construction to destruction, unless it is cut.
class platform_proxy
{
public:
    explicit platform_proxy(std::string platform);
    ~platform_proxy();
    platform_proxy(const platform_proxy&) = delete;
    platform_proxy& operator=(const platform_proxy&) = delete;

    const std::string& address() const { return server_.address(); }

    /// While cut, every connection is aborted without a response, and no new call reaches the
    /// platform.
    void set_cut(bool cut) { cut_ = cut; }
    /// The delay added to each response.
    void set_delay(milliseconds delay) { delay_ = delay; }

private:
    http_response forward_request(const http_request& request);

    std::string platform_;
    std::atomic<bool> cut_ = false;
    std::atomic<milliseconds> delay_{milliseconds(0)};
    http_client http_;
    http_server server_;
};

} // namespace banyanshunt
