#include "coordination/wait_estimate.hpp"

#include <algorithm>

namespace banyanshunt
{

std::optional<milliseconds> estimate_wait(const wait_inputs& inputs)
{
    if (inputs.slots == 0 || inputs.hold_time == milliseconds(0))
    {
        return std::nullopt;
    }
    std::size_t ahead = std::min(inputs.waiting, (inputs.own_waiting + 1) * inputs.workspaces - 1);
    return inputs.hold_time * static_cast<std::int64_t>(ahead + 1) /
           static_cast<std::int64_t>(inputs.slots);
}

} // namespace banyanshunt
