#include "state/invariant.hpp"

#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>

namespace banyanshunt
{

void invariant_violated(const char* message, source_location where)
{
    fmt::print(stderr, "level=fatal event=invariant_broken at={}:{} message=\"{}\"\n", where.file,
               where.line, message);
    std::abort();
}

} // namespace banyanshunt
