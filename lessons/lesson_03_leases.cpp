/// \file
/// Lesson 3: two placers claim one backend server, and every reader of the log sees the same
/// winner. Run it with `build/lesson-03-leases`.

#include <fmt/format.h>

#include "coordination/lease_table.hpp"
#include "state/invariant.hpp"

using namespace banyanshunt;

int main()
{
    server_id server("model-north-1");
    lease_claim by_first{.server = server,
                         .holder = host_id("north-1"),
                         .incarnation = incarnation_id(7),
                         .follows = fencing_number()};
    lease_claim by_second{.server = server,
                          .holder = host_id("north-2"),
                          .incarnation = incarnation_id(9),
                          .follows = fencing_number()};

    // Both claims follow no earlier one. The log puts one of them first, and that one wins.
    lease_table leases;
    bool first_won = leases.apply(by_first, log_offset(0));
    bool second_won = leases.apply(by_second, log_offset(1));
    check_invariant(first_won && !second_won, "one of two racing claims wins");

    // To take over, a claim names the fencing number that it follows. The claim's log offset
    // becomes the new fencing number.
    by_second.follows = leases.find(server)->fencing;
    check_invariant(leases.apply(by_second, log_offset(2)), "a claim on the newest lease wins");
    fmt::print("{} holds {} with fencing number {}\n", leases.find(server)->holder.str(),
               server.str(), leases.find(server)->fencing.count());
    return 0;
}
