#pragma once

/// \file
/// Defines the running of one completion on one engine, through silent and broken connections: the
/// stream is resumed where it stopped, without gap or repeat.
///
/// A completion has no effect outside the engine, so it may begin anew while no token of it has
/// been passed on and the engine says that it does not know it.

#include <algorithm>

#include "coordination/model_engine.hpp"
#include "state/clock.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

struct completion_run_options
{
    /// The longest time without a token before the connection is given up.
    milliseconds idle_timeout{2000};
    /// Connections that may be lost in a row without a new token.
    int max_resumes = 3;
    /// When the first token must have come.
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
          count_(
              [this, &sink](const stream_token& token)
              {
                  next_ = token.position + 1;
                  return sink(token);
              })
    {
    }

    verdict<completion_end> run()
    {
        auto end = engine_.complete(address_, request_, patience(), count_);
        int fruitless = 0;
        while (may_go_on(end) && fruitless < options_.max_resumes)
        {
            std::int64_t before = next_;
            auto again = go_on();
            if (!again)
            {
                break;
            }
            end = *again;
            fruitless = next_ > before ? 0 : fruitless + 1;
        }
        if (!end && end.error().run != run_state::not_run)
        {
            (void)engine_.cancel(address_, request_.id);
            return late() ? first_token_late() : end;
        }
        return end;
    }

private:
    bool late() const { return next_ == 0 && clock_.now() >= options_.first_token_deadline; }

    milliseconds patience() const
    {
        if (next_ > 0 || options_.first_token_deadline == instant::max())
        {
            return options_.idle_timeout;
        }
        auto left = std::chrono::ceil<milliseconds>(options_.first_token_deadline - clock_.now());
        return std::clamp(left, milliseconds(1), options_.idle_timeout);
    }

    bool may_go_on(const verdict<completion_end>& end) const
    {
        return !end && end.error().run == run_state::may_have_run &&
               end.error().code != errc::cancelled && !late();
    }

    // Nothing when the engine does not know the stream any more; the failure before stays true.
    std::optional<verdict<completion_end>> go_on()
    {
        auto resumed = engine_.resume(address_, request_.id, next_, patience(), count_);
        if (resumed || resumed.error().run != run_state::not_run)
        {
            return resumed;
        }
        if (resumed.error().code == errc::unreachable)
        {
            // Nothing listens for now; that says nothing of the run.
            failure why = resumed.error();
            why.run = run_state::may_have_run;
            return why;
        }
        if (next_ > 0 || resumed.error().code != errc::not_found)
        {
            return std::nullopt;
        }
        auto anew = engine_.complete(address_, request_, patience(), count_);
        if (!anew && anew.error().run == run_state::not_run)
        {
            // The first attempt may still reach the engine.
            return std::nullopt;
        }
        return anew;
    }

    static failure first_token_late()
    {
        return {.run = run_state::may_have_run,
                .code = errc::deadline,
                .detail = "no token came within the deadline",
                .retry_after = {}};
    }

    Engine& engine_;
    const std::string& address_;
    const completion_request& request_;
    const completion_run_options& options_;
    const Clock& clock_;
    std::int64_t next_ = 0;
    token_sink count_;
};

/// Runs `request` at `address` and passes each token once, in order.
///
/// Fails with `not_run` only if the engine refused it or could not be reached, and with
/// `errc::deadline` if no token came in time. A failed run is cancelled at the engine.
template <model_engine Engine, clock_source Clock = boot_clock>
verdict<completion_end> run_completion(Engine& engine, const std::string& address,
                                       const completion_request& request,
                                       const completion_run_options& options,
                                       const token_sink& sink, const Clock& clock = {})
{
    return completion_run<Engine, Clock>(engine, address, request, options, sink, clock).run();
}

} // namespace banyanshunt
