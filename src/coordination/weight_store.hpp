#pragma once

/// \file
/// Defines what the system needs of the platform's rate-limited weight store. Engines fetch
/// checkpoints themselves; the system only has to stay within the limits over the whole fleet.

#include <concepts>

#include "state/verdict.hpp"

namespace banyanshunt
{

/// The store's limits over the whole fleet.
struct weight_store_limits
{
    /// Thousandths of a load that may begin in each second.
    std::int64_t milliloads_per_second = 3000;
    /// Loads at once that run at full speed; more slow each other down in proportion.
    int full_speed_loads = 4;
    /// Adapters in transit at once that run at full speed.
    int full_speed_adapters = 30;
};

/// A client of the weight store.
template <class T>
concept weight_store = requires(T& store)
{
    {
        store.limits()
        } -> std::same_as<verdict<weight_store_limits>>;
};

} // namespace banyanshunt
