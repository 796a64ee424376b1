#pragma once

/// \file
/// How often callers ask for each model or service: decaying rates.

#include <cmath>
#include <map>

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

template <class Key>
class request_rates
{
public:
    /// Covers a few requests of a rare model, and swings of demand within seconds.
    static constexpr seconds window{4};

    void record(const Key& key, int requests, instant now)
    {
        double per_s = rate(key, now) + requests / std::chrono::duration<double>(window).count();
        rates_[key] = {.per_s = per_s, .at = now};
    }
    /// Requests a second.
    double rate(const Key& key, instant now) const
    {
        auto it = rates_.find(key);
        if (it == rates_.end())
        {
            return 0;
        }
        std::chrono::duration<double> passed = now - it->second.at;
        return it->second.per_s * std::exp(-passed / window);
    }
    /// Drops keys that nobody asked for lately.
    void expire(instant now)
    {
        constexpr int windows_kept = 8;
        std::erase_if(rates_,
                      [&](const auto& it) { return now - it.second.at > windows_kept * window; });
    }

private:
    struct decaying_rate
    {
        double per_s = 0;
        instant at;
    };
    std::map<Key, decaying_rate> rates_;
};

} // namespace banyanshunt
