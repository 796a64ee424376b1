#include "coordination/wait_estimate.hpp"

#include <algorithm>

namespace banyanshunt
{

std::optional<milliseconds> estimate_wait(const wait_inputs& facts)
{
    if (facts.slots == 0 || facts.hold_time == milliseconds(0))
    {
        return std::nullopt;
    }
    std::size_t ahead = std::min(facts.waiting, (facts.own_waiting + 1) * facts.workspaces - 1);
    return facts.hold_time * static_cast<std::int64_t>(ahead + 1) /
           static_cast<std::int64_t>(facts.slots);
}

} // namespace banyanshunt
