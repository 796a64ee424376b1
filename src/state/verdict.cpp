#include "state/verdict.hpp"

namespace banyanshunt
{

const char* to_string(run_state run)
{
    switch (run)
    {
    case run_state::not_run:
        return "not_run";
    case run_state::may_have_run:
        return "may_have_run";
    case run_state::ran:
        return "ran";
    }
    check_invariant(false, "unknown run_state");
    return "";
}

} // namespace banyanshunt
