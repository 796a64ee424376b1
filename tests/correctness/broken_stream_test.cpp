// Complete entry hosts with engines whose streams break off, and whose next responses do not go on
// with what the caller has.

#include <algorithm>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "stream_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// A response behind a broken stream, and the last event that the caller may get.
struct table_row
{
    std::string name;
    std::vector<response_text> responses;
    int last_event = 2;
    bool ended = false;
    /// The Last-Event-Id of the second request that engines get; 0 for none.
    int resumed_after = 2;
    /// Which response's head the caller gets, from 1.
    int head_of = 1;
};

/// What a stream may not go on with, behind `last` events.
std::vector<std::pair<std::string, std::string>> wrong_events(int last)
{
    auto id = [&](int n) { return std::to_string(last + n); };
    auto data_only = std::string("data: {\"error\":\"out of memory\"}\n\n");
    return {
        {"an error as data without an id", data_only},
        {"an event of another type", "event: error\nid: " + id(1) + "\ndata: no memory\n\n"},
        {"an id that comes again", event(id(last > 0 ? 0 : 5))},
        {"an id that was skipped", event(id(2))},
        {"an id that is no number", event("three")},
        {"an id with more than a number", event(id(1) + "x")},
        {"a negative id", event("-" + id(1))},
        {"an empty id", event("")},
        {"an id beyond all numbers", event("99999999999999999999999999")},
        {"an id that wraps to the next one",
         event("184467440737095516" + std::to_string(17 + last))},
        {"two ids in one event", "id: " + id(1) + "\nid: " + id(2) + "\ndata: x\n\n"},
        {"a head inside the body",
         "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\nout of memory\r\n\r\n"},
        {"text without events", "out of memory\n\n"},
        {"a line that another reader ends at its carriage return",
         "id: " + id(1) + "\ndata: x\rid: 9\n\n"},
    };
}

void check_rows(const std::vector<table_row>& rows, const std::string& fields = {}, int first = 1)
{
    stream_case it(static_cast<int>(rows.size()));
    std::vector<engine_pair*> engines;
    engines.reserve(rows.size());
    for (const auto& row : rows)
    {
        engines.push_back(&it.add(row.responses));
    }
    it.await_engines();
    for (std::size_t n = 0; n < rows.size(); ++n)
    {
        const auto& row = rows[n];
        INFO(row.name);
        it.earn_repeats();
        auto response = it.ask(*engines[n], fields);
        CHECK(response.status() == "HTTP/1.1 200");
        CHECK(response.body == events(first, row.last_event));
        CHECK(response.ended == row.ended);
        CHECK(response.head.find(fmt::format("stamp{}\r\n", row.head_of)) != std::string::npos);
        if (auto requests = engines[n]->requests(); requests.size() > 1)
        {
            auto field = fmt::format("Last-Event-Id: {}\r\n", row.resumed_after);
            auto wanted = row.resumed_after > 0 ? field : std::string("Last-Event-Id");
            CHECK((requests[1].find(wanted) != std::string::npos) == (row.resumed_after > 0));
        }
    }
}

} // namespace

TEST_CASE("A broken stream goes on at another engine, however its body is framed")
{
    std::vector<table_row> rows;
    for (auto frame : framings)
    {
        rows.push_back({.name = to_text(frame),
                        .responses = {broken_after_two(), {.body = events(3, 5), .frame = frame}},
                        .last_event = 5,
                        .ended = true});
    }
    check_rows(rows);
}

TEST_CASE("A broken stream is cut where the next engine's response does not go on with it")
{
    std::vector<table_row> rows;
    for (auto frame : framings)
    {
        auto add = [&](const std::string& name, response_text next, int last = 2)
        {
            next.frame = frame;
            rows.push_back({.name = name + ", a body " + to_text(frame),
                            .responses = {broken_after_two(), next},
                            .last_event = last});
        };
        add("500 with its stamp",
            {.status = "500 Failed", .fields = json_text, .body = "{\"error\":\"x\"}"});
        add("an error as text with status 200",
            {.fields = json_text, .body = "{\"error\":\"out of memory\"}"});
        add("an error as text without a type", {.fields = "", .body = "out of memory\n\n"});
        add("events of another type", {.fields = json_text, .body = events(3, 5)});
        add("events with another status", {.status = "202 Accepted", .body = events(3, 5)});
        add("no body", {});
        add("events 1 to 3 again", {.body = events(1, 3)});
        add("event 5", {.body = event("5")});
        add("a part of an event at the end", {.body = events(3, 4) + "id: 5\nda"}, 4);
        add("no stamp", {.body = events(3, 5), .stamped = false});
    }
    check_rows(rows);
}

TEST_CASE("A broken stream is cut where the next engine's events do not follow")
{
    std::vector<table_row> rows;
    for (const auto& [name, text] : wrong_events(2))
    {
        rows.push_back({.name = name + ", at once",
                        .responses = {broken_after_two(), {.body = text + events(3, 5)}}});
    }
    for (const auto& [name, text] : wrong_events(4))
    {
        rows.push_back({.name = name + ", behind two that follow",
                        .responses = {broken_after_two(), {.body = events(3, 4) + text}},
                        .last_event = 4});
    }
    check_rows(rows);
}

TEST_CASE("A broken stream is not begun anew behind a refusal")
{
    response_text refusal{.status = "503 Full",
                          .fields = "X-Not-Executed: 1\r\n",
                          .frame = framing::length,
                          .stamped = false};
    check_rows({{.name = "the first engine begins anew",
                 .responses = {broken_after_two(), refusal, {.body = events(1, 5)}}},
                {.name = "the first engine goes on",
                 .responses = {broken_after_two(), refusal, {.body = events(3, 5)}},
                 .last_event = 5,
                 .ended = true},
                {.name = "it breaks a second time",
                 .responses = {broken_after_two(),
                               {.body = event("3") + "id: 4\n", .broken = true},
                               {.body = events(4, 5)}},
                 .last_event = 3}});
}

TEST_CASE("What does not follow within a first response is not passed on, as in a broken stream")
{
    std::vector<table_row> rows;
    for (const auto& [name, text] : wrong_events(0))
    {
        rows.push_back({.name = name + ", as its first event",
                        .responses = {{.body = text + events(1, 5)}, {.body = events(1, 5)}},
                        .last_event = 5,
                        .ended = true,
                        .resumed_after = 0,
                        .head_of = 2});
    }
    for (const auto& [name, text] : wrong_events(2))
    {
        rows.push_back({.name = name + ", behind two events",
                        .responses = {{.body = events(1, 2) + text}, {.body = events(3, 5)}},
                        .last_event = 5,
                        .ended = true});
    }
    check_rows(rows);
}

TEST_CASE("A caller that goes on with a broken stream gets its next event first")
{
    check_rows(
        {{.name = "the next event",
          .responses = {{.body = events(3, 5)}},
          .last_event = 5,
          .ended = true},
         {.name = "the first engine begins anew",
          .responses = {{.body = events(1, 5)}, {.body = events(3, 5)}},
          .last_event = 5,
          .ended = true,
          .head_of = 2},
         {.name = "the first engine skips one",
          .responses = {{.body = events(4, 5)}, {.body = events(3, 5)}},
          .last_event = 5,
          .ended = true,
          .head_of = 2},
         {.name = "it has only lost the end", .responses = {{}}, .last_event = 2, .ended = true}},
        "Last-Event-Id: 2\r\n", 3);
}

TEST_CASE("A whole response that is no event stream is passed on unchanged, and a broken stream "
          "does not go on with it")
{
    constexpr std::size_t long_body = 200000;
    const std::string text = "{\"error\":\"out of memory\"}";
    const std::string filler(long_body, 'x');
    stream_case it(8);
    std::vector<engine_pair*> whole;
    std::vector<engine_pair*> cut;
    for (auto frame : framings)
    {
        whole.push_back(&it.add({{.fields = json_text, .body = text, .frame = frame}}));
        whole.push_back(&it.add({{.fields = json_text, .body = filler, .frame = frame}}));
    }
    for (const char* status : {"200 OK", "404 Not Found"})
    {
        cut.push_back(
            &it.add({{.status = status, .fields = json_text, .body = filler, .broken = true},
                     {.body = events(1, 5)}}));
    }
    it.await_engines();
    for (std::size_t n = 0; n < whole.size(); ++n)
    {
        INFO(n);
        auto response = it.ask(*whole[n]);
        CHECK(response.status() == "HTTP/1.1 200");
        CHECK(response.head.find("application/json") != std::string::npos);
        CHECK((response.body == (n % 2 == 0 ? text : filler)));
        CHECK(response.ended);
    }
    for (auto* engines : cut)
    {
        auto response = it.ask(*engines);
        CHECK((response.body == filler));
        CHECK_FALSE(response.ended);
    }
}
