#pragma once

/// \file
/// Defines the time that decisions use.
///
/// All durations are measured on the boot-time clock, which goes on while a machine is suspended:
/// a holder that was paused past its lease must notice. Readings of two machines' clocks are
/// never compared.

#include <chrono>
#include <concepts>
#include <ctime>

namespace banyanshunt
{

/// Tag of the boot-time clock of one machine.
struct boot_time
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_time>;
    static constexpr bool is_steady = true;
};

/// A reading of this machine's boot-time clock.
using instant = boot_time::time_point;

/// What a decision or a duty may ask for the time: the real clock or a test's.
template <class T>
concept clock_source = requires(const T& it)
{
    {
        it.now()
        } -> std::same_as<instant>;
};

/// The machine's own boot-time clock.
class boot_clock
{
public:
    instant now() const
    {
        timespec ts{};
        clock_gettime(CLOCK_BOOTTIME, &ts);
        return instant(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
    }
};

/// A clock that moves only when a test moves it.
class test_clock
{
public:
    instant now() const { return now_; }
    void advance(std::chrono::nanoseconds by) { now_ += by; }

private:
    instant now_{std::chrono::hours(1)};
};

} // namespace banyanshunt
