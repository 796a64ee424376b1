#include "coordination/staleness.hpp"

#include <fmt/format.h>

#include "state/errors.hpp"

namespace banyanshunt
{

std::optional<failure> refuse_if_stale(const fleet_state& state, const workspace_id& workspace,
                                       std::optional<milliseconds> state_age)
{
    const workspace_object* it = find_object(state.workspaces, workspace);
    if (!it || !it->staleness.refuse_after)
    {
        return std::nullopt;
    }
    seconds limit = *it->staleness.refuse_after;
    if (state_age && *state_age <= limit)
    {
        return std::nullopt;
    }
    constexpr milliseconds retry_after(1000);
    return failure{.run = run_state::not_run,
                   .code = errc::state_unavailable,
                   .detail = fmt::format("this host's state has not been confirmed for longer than "
                                         "the {} s that workspace {} allows",
                                         limit.count(), workspace.str()),
                   .retry_after = retry_after};
}

} // namespace banyanshunt
