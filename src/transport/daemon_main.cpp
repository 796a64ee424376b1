#include "transport/daemon_main.hpp"

#include <fmt/format.h>

namespace banyanshunt
{

bool check_settings(const settings_file& file)
{
    auto mistakes = file.errors();
    for (const auto& mistake : mistakes)
    {
        fmt::print(stderr, "{}\n", mistake);
    }
    return mistakes.empty();
}

} // namespace banyanshunt
