#pragma once

/// \file
/// Checks what a datagram of a peer states, once, where it comes in.

#include <functional>

namespace banyanshunt
{

namespace peers
{
class peer_message;
}

/// Removes every item of the message, and of the messages bundled in it, that states what cannot
/// be: a count or an amount that no host has, a negative number, a name that is none. The other
/// items stay. Calls `refuse` with the kind of each removed item. Returns false if the message
/// itself is to be refused, because its sender is not named or its address is none.
///
/// Times and ages in milliseconds stay as they are: each fits its type, also added to a time.
bool remove_odd_items(peers::peer_message& message, const std::function<void(const char*)>& refuse);

} // namespace banyanshunt
