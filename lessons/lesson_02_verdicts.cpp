/// \file
/// Lesson 2: a failure says whether the request may have run, and that decides what may be done
/// next. Run it with `build/lesson-02-verdicts`.

#include <fmt/format.h>

#include "state/errors.hpp"
#include "state/verdict.hpp"

using namespace banyanshunt;

namespace
{

// Books a work order at a service that refused the connection.
verdict<done> book_at_closed_port()
{
    return failure{.run = run_state::not_run,
                   .code = errc::unreachable,
                   .detail = "nothing answered",
                   .retry_after = {}};
}

// Books a work order at a service whose answer was lost.
verdict<done> book_with_lost_answer()
{
    return failure{.run = run_state::may_have_run,
                   .code = errc::timeout,
                   .detail = "no answer came",
                   .retry_after = {}};
}

// Only what surely did not run may be sent again.
bool may_send_again(const verdict<done>& booking)
{
    return !booking && booking.error().run == run_state::not_run;
}

} // namespace

int main()
{
    fmt::print("after a refused connection, send again: {}\n",
               may_send_again(book_at_closed_port()));
    fmt::print("after a lost answer, send again: {}\n", may_send_again(book_with_lost_answer()));
    check_invariant(!may_send_again(book_with_lost_answer()), "a timeout is not a no");
    return 0;
}
