#include "coordination/admission.hpp"

#include <fmt/format.h>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::int64_t bytes_per_token = 4;

failure refuse(errc code, std::string detail)
{
    return {
        .run = run_state::not_run, .code = code, .detail = std::move(detail), .retry_after = {}};
}

failure state_not_loaded()
{
    return refuse(errc::state_unavailable, "this host has not read any ticket yet");
}

struct resolved_name
{
    model_id model;
    adapter_id adapter;
};

std::optional<resolved_name> resolve(const fleet_state& state, const std::string& name)
{
    if (const adapter_object* adapter = find_object(state.adapters, adapter_id(name)))
    {
        return resolved_name{.model = adapter->base, .adapter = adapter_id(name)};
    }
    if (find_object(state.models, model_id(name)))
    {
        return resolved_name{.model = model_id(name), .adapter = {}};
    }
    return std::nullopt;
}

bool is_prefix_of_path(const std::string& prefix, const std::string& path)
{
    if (!path.starts_with(prefix))
    {
        return false;
    }
    bool ends_at_segment =
        path.size() == prefix.size() || path[prefix.size()] == '/' || prefix.back() == '/';
    return ends_at_segment;
}

} // namespace

std::int64_t prompt_cost(const std::string& prompt)
{
    auto bytes = static_cast<std::int64_t>(prompt.size());
    return (bytes + bytes_per_token - 1) / bytes_per_token;
}

verdict<admitted_completion> admit_completion(const fleet_state& state,
                                              const completion_params& params)
{
    if (!state.initialized())
    {
        return state_not_loaded();
    }
    auto holder = check_key(state, params.bearer);
    if (!holder)
    {
        return holder.error();
    }
    auto resolved = resolve(state, params.name);
    if (!resolved)
    {
        return refuse(errc::not_found,
                      fmt::format("no model or adapter is named \"{}\"", params.name));
    }
    std::int64_t limit = find_object(state.models, resolved->model)->max_tokens;
    std::int64_t cost = prompt_cost(params.prompt) + params.max_tokens;
    if (cost > limit)
    {
        return refuse(errc::bad_request,
                      fmt::format("prompt and max_tokens come to {} tokens, but {} allows {}", cost,
                                  params.name, limit));
    }
    return admitted_completion{.workspace = holder->workspace,
                               .key = holder->key,
                               .model = resolved->model,
                               .adapter = resolved->adapter,
                               .cost = tokens(cost)};
}

verdict<admitted_call> admit_call(const fleet_state& state, const std::string& path,
                                  const std::string& bearer)
{
    if (!state.initialized())
    {
        return state_not_loaded();
    }
    const route_object* best = nullptr;
    route_id best_id;
    for (const auto& [id, entry] : state.routes)
    {
        bool longer = entry->value && is_prefix_of_path(entry->value->prefix, path) &&
                      (!best || entry->value->prefix.size() > best->prefix.size());
        if (longer)
        {
            best = &*entry->value;
            best_id = id;
        }
    }
    if (!best)
    {
        return refuse(errc::not_found, fmt::format("no route leads to \"{}\"", path));
    }
    admitted_call call{.holder = {}, .id = best_id, .route = *best};
    if (best->open)
    {
        return call;
    }
    auto holder = check_key(state, bearer);
    if (!holder)
    {
        return holder.error();
    }
    call.holder = *holder;
    return call;
}

} // namespace banyanshunt
