#include "tools/latency_histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace banyanshunt
{
namespace
{

constexpr int sub_bits = 5;
// Each power of two of microseconds is split into this many equal buckets.
constexpr std::uint64_t sub_buckets = 1U << sub_bits;
constexpr std::size_t powers = 40;

std::size_t bucket_of(std::uint64_t us)
{
    if (us < sub_buckets)
    {
        return us;
    }
    auto power = static_cast<std::uint64_t>(std::bit_width(us)) - 1 - sub_bits;
    std::uint64_t index = (power + 1) * sub_buckets + ((us >> power) - sub_buckets);
    return std::min<std::uint64_t>(index, powers * sub_buckets - 1);
}

// The largest integral number of microseconds that falls into the bucket.
std::uint64_t upper_bound_of(std::size_t bucket)
{
    if (bucket < sub_buckets)
    {
        return bucket;
    }
    std::uint64_t power = bucket / sub_buckets - 1;
    std::uint64_t within = bucket % sub_buckets + sub_buckets;
    return ((within + 1) << power) - 1;
}

} // namespace

latency_histogram::latency_histogram() : buckets_(powers * sub_buckets) {}

void latency_histogram::add(nanoseconds duration)
{
    duration = std::max(duration, nanoseconds(0));
    auto us = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    ++buckets_[bucket_of(static_cast<std::uint64_t>(us))];
    ++count_;
    largest_ = std::max(largest_, duration);
}

void latency_histogram::merge(const latency_histogram& other)
{
    for (std::size_t i = 0; i < buckets_.size(); ++i)
    {
        buckets_[i] += other.buckets_[i];
    }
    count_ += other.count_;
    largest_ = std::max(largest_, other.largest_);
}

nanoseconds latency_histogram::quantile(double q) const
{
    auto rank = static_cast<std::int64_t>(std::ceil(q * static_cast<double>(count_)));
    rank = std::clamp<std::int64_t>(rank, 1, std::max<std::int64_t>(count_, 1));
    std::int64_t seen = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i)
    {
        seen += buckets_[i];
        if (seen >= rank)
        {
            nanoseconds upper_bound = std::chrono::microseconds(upper_bound_of(i) + 1);
            return std::min(upper_bound, largest_);
        }
    }
    return largest_;
}

} // namespace banyanshunt
