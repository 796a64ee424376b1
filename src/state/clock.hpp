#pragma once

/// \file
/// The clocks that decisions use.
///
/// All durations are measured on the boot-time clock, which advances while a machine is suspended,
/// because a lease holder that was paused beyond its lease must detect this. Readings of the clocks
/// of two machines are never compared.

#include <chrono>
#include <concepts>
#include <ctime>

namespace banyanshunt
{

/// The clock type of a machine's boot-time clock, for `std::chrono`.
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

/// A source of the current time: the real clock or a test's.
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

/// A clock that only advances when a test advances it.
class test_clock
{
public:
    instant now() const { return now_; }
    void advance(std::chrono::nanoseconds by) { now_ += by; }

private:
    instant now_{std::chrono::hours(1)};
};

} // namespace banyanshunt
