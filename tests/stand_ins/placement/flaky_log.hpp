#pragma once

/// \file
/// One host's link to a shared log, with faults drawn from a seed: a partition, lost appends, lost
/// responses, and delayed appends.

#include <random>

#include "stand_ins/memory_log.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// Probabilities in thousandths.
struct link_faults
{
    int append_lost = 0;
    int response_lost = 0;
    int append_delayed = 0;
    int read_lost = 0;
};

class flaky_log
{
public:
    flaky_log(memory_log& log, const test_clock& clock, link_faults faults, std::uint64_t seed)
        : log_(log), clock_(clock), faults_(faults), random_(seed)
    {
    }

    void set_partitioned(bool partitioned) { partitioned_ = partitioned; }
    void set_faults(link_faults faults) { faults_ = faults; }

    verdict<log_offset> append(const stream_name& stream, std::span<const log_entry> batch)
    {
        if (partitioned_)
        {
            return link_failure(run_state::not_run);
        }
        if (chance(faults_.append_lost))
        {
            return link_failure(run_state::may_have_run);
        }
        if (chance(faults_.append_delayed))
        {
            constexpr std::uint64_t max_delay_ms = 8000;
            delayed_.push_back({.stream = stream,
                                .batch = {batch.begin(), batch.end()},
                                .due = clock_.now() + milliseconds(static_cast<std::int64_t>(
                                                          random_() % max_delay_ms))});
            return link_failure(run_state::may_have_run);
        }
        auto first = log_.append(stream, batch);
        if (chance(faults_.response_lost))
        {
            return link_failure(run_state::may_have_run);
        }
        return first;
    }

    verdict<log_page> read(const stream_name& stream, log_offset from, std::size_t limit,
                           milliseconds)
    {
        if (partitioned_ || chance(faults_.read_lost))
        {
            return link_failure(run_state::not_run);
        }
        return log_.read(stream, from, limit, milliseconds(0));
    }

    /// Applies the delayed appends that are due, even while the host is partitioned from the log.
    void apply_delayed()
    {
        for (auto& it : delayed_)
        {
            if (it.due <= clock_.now())
            {
                (void)log_.append(it.stream, it.batch);
            }
        }
        std::erase_if(delayed_, [&](const delayed_append& it) { return it.due <= clock_.now(); });
    }

private:
    struct delayed_append
    {
        stream_name stream;
        std::vector<log_entry> batch;
        instant due;
    };

    static failure link_failure(run_state run)
    {
        return {.run = run,
                .code = std::make_error_code(std::errc::timed_out),
                .detail = "no response",
                .retry_after = {}};
    }

    bool chance(int thousandths)
    {
        constexpr std::uint64_t thousand = 1000;
        return thousandths > 0 && random_() % thousand < static_cast<std::uint64_t>(thousandths);
    }

    memory_log& log_;
    const test_clock& clock_;
    link_faults faults_;
    std::mt19937_64 random_;
    bool partitioned_ = false;
    std::vector<delayed_append> delayed_;
};

} // namespace banyanshunt
