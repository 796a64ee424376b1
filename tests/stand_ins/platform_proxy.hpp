#pragma once

/// \file
/// Defines a gate in front of the platform's stand-in: one for each failure domain, so that a test
/// can cut a domain off from the platform, or let answers be late, while others go on.

#include <atomic>
#include <string>

#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace banyanshunt
{

/// Passes calls on from construction to destruction, unless it is cut.
class platform_proxy
{
public:
    explicit platform_proxy(std::string platform);
    ~platform_proxy();
    platform_proxy(const platform_proxy&) = delete;
    platform_proxy& operator=(const platform_proxy&) = delete;

    const std::string& address() const { return server_.address(); }

    /// While cut, no call gets an answer that tells anything, and none reaches the platform.
    void set_cut(bool cut) { cut_ = cut; }
    /// How long each answer is held back.
    void set_delay(milliseconds delay) { delay_ = delay; }

private:
    http_response pass_on(const http_request& request);

    std::string platform_;
    std::atomic<bool> cut_ = false;
    std::atomic<milliseconds> delay_{milliseconds(0)};
    http_client http_;
    http_server server_;
};

} // namespace banyanshunt
