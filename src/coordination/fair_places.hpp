#pragma once

/// \file
/// Defines the dynamic threshold by which workspaces share a bounded number of places, because a
/// workspace that sends several times its rate must not fill them and have the others refused.

#include <cstddef>

namespace banyanshunt
{

/// Whether one more place may go to a workspace that holds `own` of the `taken` places: it may not
/// hold more than are free. However many workspaces press, some places stay free for the others.
constexpr bool may_take_place(std::size_t own, std::size_t taken, std::size_t capacity)
{
    return taken < capacity && own < capacity - taken;
}

} // namespace banyanshunt
