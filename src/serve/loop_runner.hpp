#pragma once

/// \file
/// Runs the coroutines of an entry host that nothing waits for. An exception in one of them is
/// logged as `loop_failed` and counted in `banyanshunt_loop_failures_total`.

#include <functional>
#include <string>

#include "serve/host_context.hpp"

namespace banyanshunt
{

/// Spawns a loop. If an exception ends it, it is started again by another call of `loop`, after a
/// delay that grows with repeated failures; a loop that returns has ended.
void spawn_loop(host_context& context, const std::string& name, std::function<task<void>()> loop);

/// Spawns work that is done once. `on_failure` is called after an exception ended it.
void spawn_once(
    host_context& context, const std::string& name, task<void> work,
    std::function<void()> on_failure = [] {});

/// Logs and counts an exception that ended what is called `name`. A negative `restart_delay` says
/// that it is not started again.
void record_loop_failure(host_context& context, const std::string& name,
                         const std::exception_ptr& thrown, milliseconds restart_delay) noexcept;

} // namespace banyanshunt
