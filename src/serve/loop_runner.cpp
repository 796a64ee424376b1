#include "serve/loop_runner.hpp"

#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "coordination/loop_restarts.hpp"

namespace banyanshunt
{

namespace
{

constexpr milliseconds no_restart{-1};

std::string detail_of(const std::exception_ptr& thrown)
{
    try
    {
        std::rethrow_exception(thrown);
    }
    catch (const std::exception& it)
    {
        return it.what();
    }
    catch (...)
    {
        return "exception";
    }
}

task<void> run_restarted(host_context& context, std::string name, std::function<task<void>()> loop)
{
    loop_restarts restarts;
    while (true)
    {
        instant started_at = context.now();
        std::exception_ptr thrown;
        try
        {
            co_await loop();
            co_return;
        }
        catch (...)
        {
            thrown = std::current_exception();
        }
        milliseconds delay = restarts.record_failure(started_at, context.now());
        record_loop_failure(context, name, thrown, delay);
        co_await pause(delay);
    }
}

} // namespace

void record_loop_failure(host_context& context, const std::string& name,
                         const std::exception_ptr& thrown, milliseconds restart_delay) noexcept
{
    try
    {
        context.stats.increment("banyanshunt_loop_failures_total", {{"loop", name}});
        context.log.write("loop_failed", "name={} restart_ms={} detail=\"{}\"", name,
                          restart_delay.count(), detail_of(thrown));
    }
    catch (...)
    {
        // Without memory for the line, going on counts for more than the line.
        return;
    }
}

void spawn_loop(host_context& context, const std::string& name, std::function<task<void>()> loop)
{
    spawn_once(context, name, run_restarted(context, name, std::move(loop)));
}

void spawn_once(host_context& context, const std::string& name, task<void> work,
                std::function<void()> on_failure)
{
    asio::co_spawn(
        context.executor, std::move(work),
        [&context, name, on_failure = std::move(on_failure)](const std::exception_ptr& thrown)
        {
            if (thrown)
            {
                record_loop_failure(context, name, thrown, no_restart);
                on_failure();
            }
        });
}

} // namespace banyanshunt
