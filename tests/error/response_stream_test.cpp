/// \file
/// The stream between the reader of a response and its writer. Guards against lost or reordered
/// tokens, an unbounded buffer for a slow writer, a reader that outlives its writer, and a request
/// that hangs when no reader thread is free.

#include <thread>

#include <catch2/catch.hpp>

#include "entry/response_stream.hpp"
#include "state/errors.hpp"

using namespace banyanshunt;

TEST_CASE("a response stream")
{
    worker_pool readers({.threads = 1, .queue_timeout = milliseconds(20)});
    std::atomic<int> passed_on = 0;
    auto run_of = [&](std::int64_t tokens)
    {
        return [&passed_on, tokens](const token_sink& sink) -> verdict<completion_end>
        {
            for (std::int64_t at = 0; at < tokens; ++at)
            {
                if (!sink({.id = request_id("r"), .position = at, .text = "t"}))
                {
                    return failure{.run = run_state::may_have_run,
                                   .code = errc::cancelled,
                                   .detail = {},
                                   .retry_after = {}};
                }
                ++passed_on;
            }
            return completion_end{
                .prompt_tokens = 1, .completion_tokens = tokens, .finish_reason = "stop"};
        };
    };

    SECTION("passes every token in order, also more than its ring holds at once")
    {
        response_stream stream(readers, run_of(1000));
        for (std::int64_t at = 0; at < 1000; ++at)
        {
            auto item = stream.next();
            REQUIRE(std::get<stream_token>(item).position == at);
        }
        CHECK(std::get<completion_end>(stream.next()).completion_tokens == 1000);
    }
    SECTION("buffers a bounded number of tokens for a slow writer, and ends when the writer leaves")
    {
        {
            response_stream stream(readers, run_of(100000));
            (void)stream.next();
            std::this_thread::sleep_for(milliseconds(20));
            CHECK(passed_on < 1000);
        }
        CHECK(passed_on < 1000);
    }
    SECTION("fails with not_run when all reader threads are busy")
    {
        response_stream first(readers, run_of(100000));
        (void)first.next();
        response_stream second(readers, run_of(1));
        auto why = std::get<failure>(second.next());
        CHECK(why.code == errc::queue_full);
        CHECK(why.run == run_state::not_run);
    }
}
