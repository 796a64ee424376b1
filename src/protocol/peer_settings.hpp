#pragma once

/// \file
/// The settings shared by all daemons: authentication between our processes, this process's
/// identity, and the addresses of the platform's services.

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

/// Section [host]: the identity of this process.
struct process_settings
{
    std::string name;
    std::string domain;
};

/// Section [platform]: the addresses of the platform's services.
struct platform_settings
{
    std::string log;
    std::string hosts;
    std::string weights;
    milliseconds timeout{2000};
};

peer_settings read_peer_settings(settings_file& file);
process_settings read_host_settings(settings_file& file);
platform_settings read_platform_settings(settings_file& file);

} // namespace banyanshunt
