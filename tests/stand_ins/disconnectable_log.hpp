#pragma once

/// \file
/// One host's connection to a shared in-memory log, which a test can disconnect.

#include "stand_ins/memory_log.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

/// A log service that refuses every call while `cut` is set.
class disconnectable_log
{
public:
    explicit disconnectable_log(memory_log& log) : log_(log) {}

    verdict<log_offset> append(const stream_name& stream, std::span<const log_entry> batch)
    {
        return cut ? verdict<log_offset>(refusal()) : log_.append(stream, batch);
    }
    verdict<log_page> read(const stream_name& stream, log_offset from, std::size_t limit,
                           milliseconds wait)
    {
        return cut ? verdict<log_page>(refusal()) : log_.read(stream, from, limit, wait);
    }

    bool cut = false;

private:
    static failure refusal()
    {
        return {.run = run_state::not_run,
                .code = errc::unavailable,
                .detail = "disconnected from the log",
                .retry_after = {}};
    }

    memory_log& log_;
};

static_assert(log_service<disconnectable_log>);

} // namespace banyanshunt
