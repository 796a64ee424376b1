#include "protocol/peer_settings.hpp"

namespace banyanshunt
{

peer_settings read_peer_settings(settings_file& file)
{
    peer_settings it;
    it.plaintext = file.boolean("peers", "plain", false);
    if (!it.plaintext)
    {
        it.authority_file = file.text("peers", "authority_file");
        it.certificate_file = file.text("peers", "certificate_file");
        it.private_key_file = file.text("peers", "private_key_file");
    }
    return it;
}

process_settings read_host_settings(settings_file& file)
{
    return {.name = file.text("host", "name"), .domain = file.text("host", "domain")};
}

platform_settings read_platform_settings(settings_file& file)
{
    constexpr milliseconds default_timeout(2000);
    return {.log = file.address("platform", "log"),
            .hosts = file.address("platform", "hosts"),
            .weights = file.address("platform", "weights"),
            .timeout = file.duration("platform", "patience_ms", default_timeout)};
}

} // namespace banyanshunt
