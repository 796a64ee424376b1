#pragma once

/// \file
/// The fencing numbers of claims.
///
/// They are made for a log that returns with an older copy of itself, or begins anew, while hosts
/// end and start: two hosts that know different parts of what happened must not arrive at one
/// number. So a number has the position of the claim in its upper part and the machine that claims
/// in its lower one. Positions follow the offsets of the log and are raised above every number that
/// the host knows. In a log that loses nothing, later claims have higher numbers whatever their
/// hosts know; in any other, numbers of two machines still differ. Pure.

#include <cstdint>
#include <string_view>

#include "state/ids.hpp"

namespace banyanshunt
{

/// Orders the claims of one assignment. The first record of a log has position 1; 0 stands for the
/// numbers of hosts of earlier versions, which are offsets plus one and name no machine.
using claim_position = strong_number<struct claim_position_tag>;
/// The IPv4 address of a machine as a number.
using machine_number = strong_number<struct machine_number_tag>;

/// Positions beyond it, and with them the numbers, are taken for an error.
inline constexpr claim_position max_claim_position{(std::int64_t{1} << 31) - 2};

/// Bits of a number that hold the machine.
inline constexpr int machine_bits = 32;

constexpr fencing_number make_fencing_number(claim_position position, machine_number machine)
{
    return fencing_number((position.count() << machine_bits) | machine.count());
}

constexpr claim_position position_of(fencing_number number)
{
    return claim_position(number.count() >> machine_bits);
}

/// The position of a claim at this offset in a log that has lost nothing.
constexpr claim_position position_at(log_offset at)
{
    return claim_position(at.count() + 1);
}

/// Larger fencing numbers are taken for an error.
inline constexpr fencing_number max_fencing_number =
    make_fencing_number(max_claim_position, machine_number((std::int64_t{1} << machine_bits) - 1));

/// The number of the machine with this IPv4 address; 0 if the text is none.
machine_number machine_number_of(std::string_view address);

} // namespace banyanshunt
