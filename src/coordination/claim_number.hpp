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

/// Orders the claims of one assignment. The first record of a log has position 1.
using claim_position = strong_number<struct claim_position_tag>;
/// The IPv4 address of a machine as a number.
using machine_number = strong_number<struct machine_number_tag>;

/// Positions beyond it, and with them the numbers, are taken for an error where hosts tell each
/// other of them. The log may have higher ones, so that the claims behind the highest can be read.
inline constexpr claim_position max_claim_position{std::int64_t{1} << 30};
inline constexpr claim_position max_recorded_position{(std::int64_t{1} << 31) - 2};

/// Bits of a number that hold the machine.
inline constexpr int machine_bits = 32;

constexpr fencing_number make_fencing_number(claim_position position, machine_number machine)
{
    return fencing_number((position.count() << machine_bits) | machine.count());
}

/// Whether the number names its machine. Those of hosts of earlier versions do not, and are below
/// all others.
constexpr bool names_machine(fencing_number number)
{
    return (number.count() >> machine_bits) != 0;
}

/// Numbers of hosts of earlier versions are the offsets of their claims plus one, or stated above
/// those.
constexpr claim_position position_of(fencing_number number)
{
    return claim_position(names_machine(number) ? number.count() >> machine_bits : number.count());
}

constexpr machine_number machine_of(fencing_number number)
{
    return machine_number(
        names_machine(number) ? number.count() & ((std::int64_t{1} << machine_bits) - 1) : 0);
}

/// The position of a claim at this offset in a log that has lost nothing.
constexpr claim_position position_at(log_offset at)
{
    return claim_position(at.count() + 1);
}

/// The highest numbers with these positions.
inline constexpr fencing_number max_fencing_number =
    make_fencing_number(max_claim_position, machine_number((std::int64_t{1} << machine_bits) - 1));
inline constexpr fencing_number max_recorded_number = make_fencing_number(
    max_recorded_position, machine_number((std::int64_t{1} << machine_bits) - 1));

/// The number of the machine with this IPv4 address; 0 if the text is none.
machine_number machine_number_of(std::string_view address);

} // namespace banyanshunt
