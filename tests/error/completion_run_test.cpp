/// \file
/// A completion over stalled, cut and refused connections delivers each token once and in order, or
/// fails with a correct run state.

#include <deque>

#include <catch2/catch.hpp>

#include "coordination/completion_run.hpp"

using namespace banyanshunt;

namespace
{

failure failed(run_state run, errc code)
{
    return {.run = run, .code = code, .detail = "scripted", .retry_after = {}};
}

// The script of one call to the engine: the tokens to deliver from the position on, and the end.
struct scripted_call
{
    int tokens = 0;
    std::optional<failure> ends_with = {};
    milliseconds duration{0};
};

struct scripted_engine
{
    std::deque<scripted_call> calls;
    test_clock& clock;
    int completes = 0;
    int resumes = 0;
    int cancels = 0;

    verdict<completion_end> play(std::int64_t from, const token_sink& sink)
    {
        scripted_call it = calls.front();
        calls.pop_front();
        clock.advance(it.duration);
        for (std::int64_t at = from; at < from + it.tokens; ++at)
        {
            bool keep_reading =
                sink({.id = request_id("r"), .position = at, .text = std::to_string(at)});
            if (!keep_reading)
            {
                return failed(run_state::may_have_run, errc::cancelled);
            }
        }
        if (it.ends_with)
        {
            return *it.ends_with;
        }
        return completion_end{
            .prompt_tokens = 1, .completion_tokens = from + it.tokens, .finish_reason = "stop"};
    }
    verdict<completion_end> complete(const std::string&, const completion_request&, milliseconds,
                                     const token_sink& sink)
    {
        ++completes;
        return play(0, sink);
    }
    verdict<completion_end> resume(const std::string&, const request_id&, std::int64_t position,
                                   milliseconds, const token_sink& sink)
    {
        ++resumes;
        return play(position, sink);
    }
    verdict<done> cancel(const std::string&, const request_id&)
    {
        ++cancels;
        return done{};
    }
    static verdict<done> order(const std::string&, const engine_order&) { return done{}; }
    static verdict<engine_report> read_back(const std::string&) { return engine_report{}; }
    static verdict<load_report> fetch_load(const std::string&) { return load_report{}; }
};

} // namespace

TEST_CASE("a completion over connections that fail")
{
    test_clock clock;
    scripted_engine engine{.calls = {}, .clock = clock};
    std::string text;
    completion_request request{
        .id = request_id("r"), .model = model_id("m"), .adapter = {}, .prompt = "p"};
    auto run = [&](milliseconds first_token_timeout = milliseconds(30000))
    {
        return run_completion(
            engine, "e", request, {.first_token_deadline = clock.now() + first_token_timeout},
            [&text](const stream_token& token)
            {
                text += token.text;
                return true;
            },
            clock);
    };
    failure stalled = failed(run_state::may_have_run, errc::timeout);
    failure refused = failed(run_state::not_run, errc::unavailable);
    failure unknown = failed(run_state::not_run, errc::not_found);
    failure unreachable = failed(run_state::not_run, errc::unreachable);

    SECTION("a stalled stream is resumed where it stopped")
    {
        engine.calls = {{.tokens = 2, .ends_with = stalled},
                        {.tokens = 0, .ends_with = stalled},
                        {.tokens = 1}};
        CHECK(run());
        CHECK(text == "012");
        CHECK(engine.completes == 1);
    }
    SECTION("a refusal is not_run, and nothing is resumed or cancelled")
    {
        engine.calls = {{.tokens = 0, .ends_with = refused}};
        CHECK(run().error().run == run_state::not_run);
        CHECK(engine.resumes + engine.cancels == 0);
    }
    SECTION("an engine that no longer knows a started stream gives may_have_run")
    {
        engine.calls = {{.tokens = 2, .ends_with = stalled}, {.tokens = 0, .ends_with = unknown}};
        auto end = run();
        REQUIRE(!end);
        CHECK(end.error().run == run_state::may_have_run);
        CHECK(engine.completes == 1);
    }
    SECTION("a request that never reached the engine is sent again on a new connection")
    {
        engine.calls = {{.tokens = 0, .ends_with = stalled},
                        {.tokens = 0, .ends_with = unknown},
                        {.tokens = 2}};
        CHECK(run());
        CHECK(text == "01");
    }
    SECTION("a refusal of the second attempt does not turn the first into not_run")
    {
        engine.calls = {{.tokens = 0, .ends_with = stalled},
                        {.tokens = 0, .ends_with = unknown},
                        {.tokens = 0, .ends_with = refused}};
        CHECK(run().error().run == run_state::may_have_run);
    }
    SECTION("an engine that is unreachable for a resume does not turn the run into not_run")
    {
        engine.calls = {{.tokens = 1, .ends_with = stalled},
                        {.tokens = 0, .ends_with = unreachable},
                        {.tokens = 0, .ends_with = unreachable},
                        {.tokens = 0, .ends_with = unreachable}};
        CHECK(run().error().run == run_state::may_have_run);
        CHECK(engine.cancels == 1);
    }
    SECTION("without a token by the deadline the run fails and is cancelled at the engine")
    {
        engine.calls = {{.tokens = 0, .ends_with = stalled, .duration = milliseconds(500)}};
        auto end = run(milliseconds(400));
        REQUIRE(!end);
        CHECK(end.error().code == errc::deadline);
        CHECK(end.error().run == run_state::may_have_run);
        CHECK(engine.cancels == 1);
        CHECK(engine.resumes == 0);
    }
}
