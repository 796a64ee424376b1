#pragma once

/// \file
/// Defines the settings that say how our own processes trust each other.

#include "protocol/settings_file.hpp"

namespace banyanshunt
{

/// Section [peers]: "plain = yes", or the files of the keys for mutual TLS.
struct peer_settings
{
    bool plaintext = false;
    std::string authority_file;
    std::string certificate_file;
    std::string private_key_file;
};

/// Section [host]: who this process is.
struct host_settings
{
    std::string name;
    std::string domain;
};

/// Section [platform]: where the platform's services are.
struct platform_settings
{
    std::string log;
    std::string hosts;
    std::string weights;
    milliseconds timeout{2000};
};

peer_settings read_peer_settings(settings_file& file);
host_settings read_host_settings(settings_file& file);
platform_settings read_platform_settings(settings_file& file);

} // namespace banyanshunt
