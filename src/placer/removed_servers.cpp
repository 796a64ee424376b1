#include "placer/removed_servers.hpp"

namespace banyanshunt
{
namespace
{

// The list lags and may omit a live host for a short time, but not for this long.
constexpr milliseconds removal_delay(5000);

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
    std::set<server_id> removed;
    for (const auto& [server, at] : listed_)
    {
        if (now - at >= removal_delay)
        {
            removed.insert(server);
        }
    }
    return removed;
}

} // namespace banyanshunt
