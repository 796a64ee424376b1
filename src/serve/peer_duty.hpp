#pragma once

/// \file
/// Defines the duty that talks to the other entry hosts.

#include "serve/host_core.hpp"

namespace banyanshunt
{

class peer_duty : public request_helper
{
public:
    explicit peer_duty(host_core& core) : core_(core) {}
    void start();
    task<void> leave();
    void wish(const server_id& server, const engine_unit& unit, milliseconds waited) override;
    task<bool> take_tokens(workspace_id workspace, millitokens amount) override;

private:
    host_core& core_;
};

} // namespace banyanshunt
