#include "transport/peer_credentials.hpp"

#include <fstream>
#include <sstream>

namespace banyanshunt
{
namespace
{

std::string read_file(const std::string& path, const std::string& name, settings_file& settings)
{
    if (path.empty())
    {
        return {};
    }
    std::ifstream in(path);
    if (!in)
    {
        settings.report_error("peers", name, "\"" + path + "\" cannot be read");
        return {};
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

std::optional<peer_credentials> read_peer_credentials(const peer_settings& settings,
                                                      settings_file& file)
{
    if (settings.plaintext)
    {
        return std::nullopt;
    }
    return peer_credentials{
        .authority = read_file(settings.authority_file, "authority_file", file),
        .certificate = read_file(settings.certificate_file, "certificate_file", file),
        .private_key = read_file(settings.private_key_file, "private_key_file", file)};
}

} // namespace banyanshunt
