/// \file
/// A completion through silent, cut and refusing connections: each token once and in order, or a
/// failure whose verdict is true.

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

// How one call to the engine goes: it delivers tokens from the position on, and ends.
struct scripted_call
{
    int tokens = 0;
    std::optional<failure> ends_with = {};
    milliseconds takes{0};
};

struct scripted_engine
{
    std::deque<scripted_call> calls;
    test_clock& clock;
    int completes = 0;
    int resumes = 0;
    int cancels = 0;

    verdict<completion_end> follow(std::int64_t from, const token_sink& sink)
    {
        scripted_call it = calls.front();
        calls.pop_front();
        clock.advance(it.takes);
        for (std::int64_t at = from; at < from + it.tokens; ++at)
        {
            bool go_on = sink({.id = request_id("r"), .position = at, .text = std::to_string(at)});
            if (!go_on)
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
        return follow(0, sink);
    }
    verdict<completion_end> resume(const std::string&, const request_id&, std::int64_t position,
                                   milliseconds, const token_sink& sink)
    {
        ++resumes;
        return follow(position, sink);
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
    auto run = [&](milliseconds patience = milliseconds(30000))
    {
        return run_completion(
            engine, "e", request, {.first_token_deadline = clock.now() + patience},
            [&text](const stream_token& token)
            {
                text += token.text;
                return true;
            },
            clock);
    };
    failure silent = failed(run_state::may_have_run, errc::timeout);
    failure refused = failed(run_state::not_run, errc::unavailable);
    failure unknown = failed(run_state::not_run, errc::not_found);
    failure unreachable = failed(run_state::not_run, errc::unreachable);

    SECTION("a silent stream is resumed where it stopped")
    {
        engine.calls = {
            {.tokens = 2, .ends_with = silent}, {.tokens = 0, .ends_with = silent}, {.tokens = 1}};
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
    SECTION("an engine that forgot a begun stream leaves may_have_run")
    {
        engine.calls = {{.tokens = 2, .ends_with = silent}, {.tokens = 0, .ends_with = unknown}};
        auto end = run();
        REQUIRE(!end);
        CHECK(end.error().run == run_state::may_have_run);
        CHECK(engine.completes == 1);
    }
    SECTION("an engine that never got the request gets it on a new connection")
    {
        engine.calls = {
            {.tokens = 0, .ends_with = silent}, {.tokens = 0, .ends_with = unknown}, {.tokens = 2}};
        CHECK(run());
        CHECK(text == "01");
    }
    SECTION("a refusal then does not make the first attempt a not_run")
    {
        engine.calls = {{.tokens = 0, .ends_with = silent},
                        {.tokens = 0, .ends_with = unknown},
                        {.tokens = 0, .ends_with = refused}};
        CHECK(run().error().run == run_state::may_have_run);
    }
    SECTION("an engine that cannot be reached for a resume does not make it a not_run")
    {
        engine.calls = {{.tokens = 1, .ends_with = silent},
                        {.tokens = 0, .ends_with = unreachable},
                        {.tokens = 0, .ends_with = unreachable},
                        {.tokens = 0, .ends_with = unreachable}};
        CHECK(run().error().run == run_state::may_have_run);
        CHECK(engine.cancels == 1);
    }
    SECTION("no token by the deadline: a final answer, and the engine is told to stop")
    {
        engine.calls = {{.tokens = 0, .ends_with = silent, .takes = milliseconds(500)}};
        auto end = run(milliseconds(400));
        REQUIRE(!end);
        CHECK(end.error().code == errc::deadline);
        CHECK(end.error().run == run_state::may_have_run);
        CHECK(engine.cancels == 1);
        CHECK(engine.resumes == 0);
    }
}
