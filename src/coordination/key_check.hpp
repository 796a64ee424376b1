#pragma once

/// \file
/// Validation of a caller's bearer key against the state in effect.

#include <string_view>

#include "state/fleet_state.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// A valid key and the workspace that it authenticates.
struct key_holder
{
    key_id key;
    workspace_id workspace;
};

/// Returns the hexadecimal SHA-256 of the salt, as written, followed by the secret.
std::string salted_hash(std::string_view salt_hex, std::string_view secret);

/// Checks a bearer token of the form "key-id.secret".
///
/// Fails with `errc::key_missing` for an empty token and with `errc::key_refused` otherwise. The
/// failure never reveals whether the id or the secret was wrong, and never contains the token.
verdict<key_holder> check_key(const fleet_state& state, std::string_view bearer);

} // namespace banyanshunt
