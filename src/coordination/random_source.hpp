#pragma once

/// \file
/// The random generator that decisions take as an argument, so that a seed makes them reproducible.

#include <concepts>
#include <cstdint>
#include <random>

namespace banyanshunt
{

/// Any uniform generator of 64-bit numbers.
template <class T>
concept random_source = std::uniform_random_bit_generator<T>;

/// Returns a generator seeded from the operating system's entropy, for daemons.
inline std::mt19937_64 make_seeded_rng()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

} // namespace banyanshunt
