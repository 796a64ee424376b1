#pragma once

/// \file
/// The interface to the platform's rate-limited weight store. Engines fetch checkpoints themselves;
/// the system only has to keep the fleet's loads within the store's limits.

#include <concepts>

#include "state/verdict.hpp"

namespace banyanshunt
{

/// The store's limits for the entire fleet.
struct weight_store_limits
{
    /// Loads that may begin per second, in thousandths of a load.
    std::int64_t milliloads_per_second = 3000;
    /// Concurrent loads that run at full speed; further ones slow all of them in proportion.
    int full_speed_loads = 4;
    /// Concurrent adapter transfers that run at full speed.
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
