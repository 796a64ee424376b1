#pragma once

/// \file
/// Defines the running of one completion on one engine, through silent and broken connections: the
/// stream is resumed where it stopped, without gap or repeat.

#include "coordination/model_engine.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

struct completion_run_options
{
    /// The longest time without a token before the connection is given up.
    milliseconds silence{2000};
    /// Connections that may be lost in a row without a new token.
    int resumes = 3;
};

/// Runs `request` at `address` and passes each token once, in order.
///
/// Fails with `not_run` only if the engine refused it or could not be reached.
template <model_engine Engine>
verdict<completion_end>
run_completion(Engine& engine, const std::string& address, const completion_request& request,
               const completion_run_options& options, const token_sink& sink)
{
    std::int64_t next = 0;
    auto count = [&](const stream_token& token)
    {
        next = token.position + 1;
        return sink(token);
    };
    auto end = engine.complete(address, request, options.silence, count);
    int fruitless = 0;
    while (!end && end.error().run == run_state::may_have_run &&
           end.error().code != errc::cancelled && fruitless < options.resumes)
    {
        std::int64_t before = next;
        auto resumed = engine.resume(address, request.id, next, options.silence, count);
        fruitless = next > before ? 0 : fruitless + 1;
        bool refused = !resumed && resumed.error().run == run_state::not_run;
        if (refused)
        {
            // The engine does not know the stream any more; the first failure stays true.
            break;
        }
        end = resumed;
    }
    if (!end)
    {
        (void)engine.cancel(address, request.id);
    }
    return end;
}

} // namespace banyanshunt
