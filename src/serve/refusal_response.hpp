#pragma once

/// \file
/// The response with which a host turns a request away.

#include <optional>
#include <string>

#include "state/units.hpp"

namespace banyanshunt
{

struct refusal_response
{
    int status = 503;
    const char* reason = "";
    /// Whether the request is guaranteed not to have run.
    bool not_run = true;
    std::optional<milliseconds> retry_after = std::nullopt;
    bool keep_alive = true;
    /// A response to HEAD has none.
    bool with_body = true;
};

/// The whole response, head and body.
std::string to_text(const refusal_response& it);

} // namespace banyanshunt
