#pragma once

/// \file
/// Defines the session of one caller's connection: requests are read one after the other, within
/// the caller's limits, and each is run to its answer.

#include "serve/host_context.hpp"

namespace banyanshunt
{

/// Serves the connection until it ends.
task<void> serve_caller(host_context& core, tcp::socket socket);

/// Answers the balancer's question whether this host takes new connections.
task<void> serve_ready(host_context& core, tcp::socket socket);

/// Answers /metrics, for operators.
task<void> serve_metrics(host_context& core, tcp::socket socket);

} // namespace banyanshunt
