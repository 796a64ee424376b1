#pragma once

/// \file
/// Settings with which tests start daemons: every address is on loopback with a free port, and one
/// platform address serves all platform services.

#include <string>

#include "entry/entry_settings.hpp"
#include "placer/placer_settings.hpp"

namespace banyanshunt
{

/// The identity of a daemon and the address of its platform.
struct loopback_host
{
    std::string name;
    std::string domain;
    std::string platform;
};

entry_settings loopback_entry(const loopback_host& host);
placer_settings loopback_placer(const loopback_host& host);

} // namespace banyanshunt
