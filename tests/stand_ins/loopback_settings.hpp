#pragma once

/// \file
/// Defines the settings that tests start daemons with: every address on loopback with a free port,
/// and one platform for all its services.

#include <string>

#include "entry/entry_settings.hpp"
#include "placer/placer_settings.hpp"

namespace banyanshunt
{

/// Who a daemon is, and where its platform answers.
struct loopback_host
{
    std::string name;
    std::string domain;
    std::string platform;
};

entry_settings loopback_entry(const loopback_host& host);
placer_settings loopback_placer(const loopback_host& host);

} // namespace banyanshunt
