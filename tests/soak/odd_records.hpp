#pragma once

/// \file
/// Records that another writer leaves in the topics of a run by mistake: malformed, too deep, or
/// with values out of range. None of them is a record that the platform allows.

#include <random>
#include <string>

namespace banyanshunt::soak
{

struct odd_record
{
    /// What is wrong with it, for the log of faults.
    std::string description;
    std::string value;
};

/// A server's entry with one fault, made from a good one.
odd_record make_odd_entry(std::mt19937_64& random, const std::string& good);
/// A configuration with one fault, made from a good one.
odd_record make_odd_configuration(std::mt19937_64& random, const std::string& good);
/// A key that no server has.
std::string make_odd_key(std::mt19937_64& random);

} // namespace banyanshunt::soak
