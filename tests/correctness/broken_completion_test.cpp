/// \file
/// Guards against a completion that breaks off and goes on with something else: an error's text, an
/// early end, or the tokens of another run must neither reach the caller nor end it as complete.

#include <catch2/catch.hpp>

#include <mutex>

#include "coordination/completion_run.hpp"
#include "protocol/platform_codec.hpp"
#include "stand_ins/raw_server.hpp"
#include "state/errors.hpp"
#include "transport/backend_clients.hpp"

using namespace banyanshunt;

namespace
{

std::string token(std::int64_t position, const char* text, const char* id = "r1")
{
    engine_event it{.token = {.id = request_id(id), .position = position, .text = text}, .end = {}};
    return "data: " + encode_engine_event(it) + "\n\n";
}

std::string end_at(std::int64_t position)
{
    completion_end end{.prompt_tokens = 1, .completion_tokens = position, .finish_reason = "stop"};
    engine_event it{.token = {.id = request_id("r1"), .position = position, .text = {}},
                    .end = end};
    return "data: " + encode_engine_event(it) + "\n\n";
}

/// What a caller got of a completion that broke off after "ab".
struct broken_run
{
    std::string text;
    verdict<completion_end> end;
    int begun = 0;
    int resumed = 0;
    int cancelled = 0;
};

/// Runs a completion at an engine that breaks off in its third event, and gives `next` to whoever
/// comes to resume it.
broken_run run_then(const std::string& next)
{
    std::mutex mutex;
    broken_run run{.text = {}, .end = completion_end{}};
    raw_server server(
        [&](int, int, const std::string& request)
        {
            std::lock_guard lock(mutex);
            if (request.starts_with("POST"))
            {
                ++run.begun;
                return raw_response{.bytes = "HTTP/1.1 200 OK\r\n\r\n" + token(0, "a") +
                                             token(1, "b") + "data: {\"id\"",
                                    .close = true};
            }
            bool cancels = request.starts_with("DELETE");
            run.cancelled += cancels ? 1 : 0;
            run.resumed += cancels ? 0 : 1;
            return raw_response{.bytes = cancels ? http_text(200, "{}") : next};
        });
    http_client http;
    http_model_engine engine(http);
    run.end = run_completion(
        engine, server.address(),
        {.id = request_id("r1"), .model = model_id("m"), .adapter = {}, .prompt = "p"},
        {.idle_timeout = milliseconds(300)},
        [&run](const stream_token& it)
        {
            run.text += it.text;
            return true;
        });
    return run;
}

void check_cut(const broken_run& run)
{
    CHECK(run.text == "ab");
    REQUIRE(!run.end);
    CHECK(run.end.error().run == run_state::may_have_run);
    CHECK(run.begun == 1);
    CHECK(run.resumed >= 1);
    CHECK(run.cancelled == 1);
}

} // namespace

TEST_CASE("A completion that breaks off goes on only with the tokens that follow")
{
    SECTION("the rest of it")
    {
        for (const auto& rest :
             {token(2, "c") + end_at(3), token(2, "c") + token(2, "c") + end_at(3),
              token(2, "x", "r2") + token(2, "c") + end_at(3)})
        {
            auto run = run_then(http_text(200, rest));
            CHECK(run.text == "abc");
            CHECK(run.end);
            CHECK(run.resumed == 1);
        }
    }
    SECTION("the end alone, when only that was lost")
    {
        auto run = run_then(http_text(200, end_at(2)));
        CHECK(run.text == "ab");
        CHECK(run.end);
    }
    SECTION("not an error as text with status 200")
    {
        check_cut(run_then(http_text(200, "internal error", "Content-Type: text/plain\r\n")));
        check_cut(run_then(http_text(200, R"({"error":"internal"})")));
        check_cut(run_then(http_text(200, "data: {\"error\":\"internal\"}\n\n")));
    }
    SECTION("not an empty response")
    {
        check_cut(run_then(http_text(200, "")));
    }
    SECTION("not a skipped token")
    {
        check_cut(run_then(http_text(200, token(3, "d") + end_at(4))));
    }
    SECTION("not an end that counts other tokens")
    {
        check_cut(run_then(http_text(200, end_at(3))));
        check_cut(run_then(http_text(200, end_at(1))));
    }
    SECTION("not another run from its start")
    {
        check_cut(
            run_then(http_text(200, token(0, "x") + token(1, "y") + token(2, "z") + end_at(3))));
        check_cut(run_then(http_text(200, token(1, "y") + token(2, "z") + end_at(3))));
    }
    SECTION("not with the answer of an engine that refuses or does not know it")
    {
        for (int status : {404, 503, 500})
        {
            check_cut(run_then(http_text(status, token(2, "c") + end_at(3))));
        }
    }
}

TEST_CASE("A completion whose response begins anew in its middle is not passed on as complete")
{
    http_client http;
    http_model_engine engine(http);
    std::string text;
    auto complete = [&](const std::string& events)
    {
        raw_server server([&](int, int, const std::string&)
                          { return raw_response{.bytes = http_text(200, events)}; });
        text.clear();
        return engine.complete(
            server.address(),
            {.id = request_id("r1"), .model = model_id("m"), .adapter = {}, .prompt = "p"},
            milliseconds(300),
            [&text](const stream_token& it)
            {
                text += it.text;
                return true;
            });
    };
    SECTION("with other tokens")
    {
        auto end = complete(token(0, "a") + token(1, "b") + token(0, "x") + token(1, "y") +
                            token(2, "z") + end_at(3));
        CHECK(text == "ab");
        REQUIRE(!end);
        CHECK(end.error().run == run_state::may_have_run);
        CHECK(end.error().code == errc::bad_answer);
    }
    SECTION("but the same tokens once more are only skipped")
    {
        CHECK(complete(token(0, "a") + token(1, "b") + token(0, "a") + token(1, "b") +
                       token(2, "c") + end_at(3)));
        CHECK(text == "abc");
    }
}
