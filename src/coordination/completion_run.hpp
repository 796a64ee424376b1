#pragma once

/// \file
/// Runs one completion on one engine despite stalled and broken connections: the stream is resumed
/// where it stopped, without missing or duplicate tokens.
///
/// A completion has no effect outside the engine, so it may be restarted while none of its tokens
/// has been delivered and the engine reports that it does not know the request.

#include <algorithm>

#include "coordination/model_engine.hpp"
#include "state/clock.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

struct completion_run_options
{
    /// The longest time without a token before the connection is abandoned.
    milliseconds idle_timeout{2000};
    /// The number of connections that may be lost in a row without a new token.
    int max_resumes = 3;
    /// The time by which the first token must have arrived.
    instant first_token_deadline = instant::max();
};

/// One run; see `run_completion`.
template <model_engine Engine, clock_source Clock>
class completion_run
{
public:
    completion_run(Engine& engine, const std::string& address, const completion_request& request,
                   const completion_run_options& options, const token_sink& sink,
                   const Clock& clock)
        : engine_(engine), address_(address), request_(request), options_(options), clock_(clock),
          sink_(
              [this, &sink](const stream_token& token)
              {
                  next_position_ = token.position + 1;
                  return sink(token);
              })
    {
    }

    verdict<completion_end> run()
    {
        auto end = engine_.complete(address_, request_, token_timeout(), sink_);
        int resumes_without_token = 0;
        while (can_retry(end) && resumes_without_token < options_.max_resumes)
        {
            std::int64_t before = next_position_;
            auto next_end = resume_or_restart();
            if (!next_end)
            {
                break;
            }
            end = *next_end;
            resumes_without_token = next_position_ > before ? 0 : resumes_without_token + 1;
        }
        if (!end && end.error().run != run_state::not_run)
        {
            (void)engine_.cancel(address_, request_.id);
            return first_token_overdue() ? first_token_timeout() : end;
        }
        return end;
    }

private:
    bool first_token_overdue() const
    {
        return next_position_ == 0 && clock_.now() >= options_.first_token_deadline;
    }

    milliseconds token_timeout() const
    {
        if (next_position_ > 0 || options_.first_token_deadline == instant::max())
        {
            return options_.idle_timeout;
        }
        auto remaining =
            std::chrono::ceil<milliseconds>(options_.first_token_deadline - clock_.now());
        return std::clamp(remaining, milliseconds(1), options_.idle_timeout);
    }

    bool can_retry(const verdict<completion_end>& end) const
    {
        return !end && end.error().run == run_state::may_have_run &&
               end.error().code != errc::cancelled && !first_token_overdue();
    }

    // Returns nothing when the engine no longer knows the stream; the earlier failure still
    // applies.
    std::optional<verdict<completion_end>> resume_or_restart()
    {
        auto resumed =
            engine_.resume(address_, request_.id, next_position_, token_timeout(), sink_);
        if (resumed || resumed.error().run != run_state::not_run)
        {
            return resumed;
        }
        if (resumed.error().code == errc::unreachable)
        {
            // An unreachable engine says nothing about whether the request runs.
            failure error = resumed.error();
            error.run = run_state::may_have_run;
            return error;
        }
        if (next_position_ > 0 || resumed.error().code != errc::not_found)
        {
            return std::nullopt;
        }
        auto restarted = engine_.complete(address_, request_, token_timeout(), sink_);
        if (!restarted && restarted.error().run == run_state::not_run)
        {
            // The first attempt may still reach the engine.
            return std::nullopt;
        }
        return restarted;
    }

    static failure first_token_timeout()
    {
        return {.run = run_state::may_have_run,
                .code = errc::deadline,
                .detail = "no token arrived before the deadline",
                .retry_after = {}};
    }

    Engine& engine_;
    const std::string& address_;
    const completion_request& request_;
    const completion_run_options& options_;
    const Clock& clock_;
    std::int64_t next_position_ = 0;
    token_sink sink_;
};

/// Runs `request` at `address` and delivers each token once, in order.
///
/// Fails with `not_run` only if the engine refused it or could not be reached, and with
/// `errc::deadline` if no token arrived in time. A failed run is cancelled at the engine.
template <model_engine Engine, clock_source Clock = boot_clock>
verdict<completion_end> run_completion(Engine& engine, const std::string& address,
                                       const completion_request& request,
                                       const completion_run_options& options,
                                       const token_sink& sink, const Clock& clock = {})
{
    return completion_run<Engine, Clock>(engine, address, request, options, sink, clock).run();
}

} // namespace banyanshunt
