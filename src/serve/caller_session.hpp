#pragma once

/// \file
/// Sessions on accepted connections: a caller's requests are read one after the other, within the
/// configured limits, and each is run to its final response.

#include "serve/host_context.hpp"

namespace banyanshunt
{

/// Serves the connection until it is closed.
task<void> serve_caller(host_context& context, tcp::socket socket);

/// Responds to the load balancer's check whether this host accepts new connections.
task<void> serve_ready(host_context& context, tcp::socket socket);

/// Serves /metrics for operators.
task<void> serve_metrics(host_context& context, tcp::socket socket);

} // namespace banyanshunt
