#include <catch2/catch.hpp>

#include <set>

#include <sys/wait.h>
#include <unistd.h>

#include "serve_case.hpp"
#include "stand_ins/loopback_block.hpp"

using namespace banyanshunt;

TEST_CASE("Fixtures that run side by side hold loopback addresses apart")
{
    SECTION("in one process")
    {
        loopback_block first;
        loopback_block second;
        CHECK(first.address(1) != second.address(1));
        CHECK(first.address(1) != first.address(2));
    }
    SECTION("in two processes that begin with the same block")
    {
        int seed = getpid();
        loopback_block block(seed);
        pid_t other = fork();
        if (other == 0)
        {
            loopback_block next(seed);
            _exit(next.address(1) == block.address(1) ? 1 : 0);
        }
        int status = -1;
        REQUIRE(waitpid(other, &status, 0) == other);
        CHECK(WIFEXITED(status));
        CHECK(WEXITSTATUS(status) == 0);
    }
}

TEST_CASE("No two listeners of a fixture's hosts are given one address")
{
    constexpr std::size_t hosts = 3;
    serve_case first(hosts);
    serve_case second(hosts);
    REQUIRE(first.started);
    REQUIRE(second.started);
    std::set<std::pair<std::string, int>> listeners;
    for (const auto* it : {&first, &second})
    {
        for (const auto& host : it->hosts)
        {
            for (int port : {host->port, host->ready_port, host->metrics_port})
            {
                listeners.emplace(host->ip, port);
                // The kernel hands out ports from 32768 up.
                CHECK(port < 32768);
            }
        }
    }
    CHECK(listeners.size() == 2 * hosts * 3);
}
