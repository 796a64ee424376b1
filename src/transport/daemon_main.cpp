#include "transport/daemon_main.hpp"

#include <fmt/format.h>

namespace banyanshunt
{

bool settings_are_good(const settings_file& file)
{
    auto mistakes = file.mistakes();
    for (const auto& mistake : mistakes)
    {
        fmt::print(stderr, "{}\n", mistake);
    }
    return mistakes.empty();
}

} // namespace banyanshunt
