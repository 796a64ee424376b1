#include "state/serving_config.hpp"

namespace banyanshunt
{

namespace
{

std::string prefix_key(const std::string& host, std::string_view prefix)
{
    std::string key = host;
    key += '\n';
    key += prefix;
    return key;
}

} // namespace

void serving_config::build_index()
{
    by_prefix_.clear();
    for (std::size_t n = 0; n < routes.size(); ++n)
    {
        by_prefix_[prefix_key(routes[n].host, routes[n].path_prefix)] = n;
    }
}

const serving_route* serving_config::find_route(const std::string& host,
                                                const std::string& path) const
{
    std::string_view remaining_path = path;
    remaining_path = remaining_path.substr(0, remaining_path.find_first_of("?#"));
    for (auto slash = remaining_path.rfind('/'); slash != std::string_view::npos;)
    {
        auto it = by_prefix_.find(prefix_key(host, remaining_path.substr(0, slash + 1)));
        if (it != by_prefix_.end())
        {
            return &routes[it->second];
        }
        if (slash == 0)
        {
            break;
        }
        slash = remaining_path.rfind('/', slash - 1);
    }
    return nullptr;
}

const service_spec* serving_config::find_service(const service_id& service) const
{
    auto it = services.find(service);
    return it == services.end() ? nullptr : &it->second;
}

const workspace_spec* serving_config::find_workspace(const std::string& api_key) const
{
    auto owner = key_owner.find(api_key);
    return owner == key_owner.end() ? nullptr : &workspaces.at(owner->second);
}

} // namespace banyanshunt
