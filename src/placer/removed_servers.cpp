#include "placer/removed_servers.hpp"

namespace banyanshunt
{
namespace
{

// The list lags and may miss a host for a moment; this long it does not.
constexpr milliseconds absent_for(5000);

} // namespace

std::set<server_id> removed_servers::update(const std::vector<listed_host>& list, instant now)
{
    for (const auto& host : list)
    {
        if (host.role == "backend")
        {
            listed_[server_id(host.name)] = now;
        }
    }
    std::set<server_id> gone;
    for (const auto& [server, at] : listed_)
    {
        if (now - at >= absent_for)
        {
            gone.insert(server);
        }
    }
    return gone;
}

} // namespace banyanshunt
