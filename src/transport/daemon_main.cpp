#include "transport/daemon_main.hpp"

#include <fmt/format.h>

namespace banyanshunt
{

bool check_settings(const settings_file& file)
{
    auto errors = file.errors();
    for (const auto& error : errors)
    {
        fmt::print(stderr, "{}\n", error);
    }
    return errors.empty();
}

} // namespace banyanshunt
