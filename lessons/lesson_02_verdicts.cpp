/// \file
/// Lesson 2: a failure states whether the request may have run, which decides whether it may be
/// sent again. Run it with `build/lesson-02-verdicts`.

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
                   .detail = "connection refused",
                   .retry_after = {}};
}

// Books a work order at a service whose response was lost.
verdict<done> book_with_lost_response()
{
    return failure{.run = run_state::may_have_run,
                   .code = errc::timeout,
                   .detail = "no response before the timeout",
                   .retry_after = {}};
}

// Only a request that is guaranteed not to have run may be sent again.
bool may_send_again(const verdict<done>& booking)
{
    return !booking && booking.error().run == run_state::not_run;
}

} // namespace

int main()
{
    fmt::print("after a refused connection, send again: {}\n",
               may_send_again(book_at_closed_port()));
    fmt::print("after a lost response, send again: {}\n",
               may_send_again(book_with_lost_response()));
    check_invariant(!may_send_again(book_with_lost_response()),
                    "a timeout does not prove that the request did not run");
    return 0;
}
