// What of a server's event stream is passed on, byte by byte.

#include <catch2/catch.hpp>

#include "coordination/stream_continuity.hpp"

using namespace banyanshunt;

namespace
{

constexpr const char* first_event = "id: 1\ndata: x\n\n";
constexpr const char* second_event = "id: 2\ndata: y\n\n";

} // namespace

TEST_CASE("The last event id of a stream is that of its last complete event")
{
    stream_continuity stream;
    REQUIRE(stream.begin(200, "text/event-stream") == stream_fault::none);
    CHECK(stream.feed("id: 1\ndata: x\n\nid: 2\nda").events == "id: 1\ndata: x\n\n");
    CHECK(stream.last_id() == "1");
    CHECK(stream.feed("ta: y\n\n").events == "id: 2\ndata: y\n\n");
    CHECK(stream.last_id() == "2");
}

TEST_CASE("A whole stream is not cut for what servers may write between and behind its events")
{
    stream_continuity stream;
    REQUIRE(stream.begin(200, "text/event-stream") == stream_fault::none);
    auto take = [&](const std::string& bytes)
    {
        auto part = stream.feed(bytes);
        CHECK(part.fault == stream_fault::none);
        return part.events;
    };

    SECTION("an empty line behind the last event, in the same read or in its own")
    {
        take(std::string(first_event) + second_event);
        SECTION("a line feed")
        {
            take("\n");
        }
        SECTION("a carriage return and a line feed")
        {
            take("\r\n");
        }
        SECTION("only the carriage return came")
        {
            take("\r");
        }
        CHECK(stream.end(true) == stream_fault::none);
    }
    SECTION("a comment without an empty line behind it")
    {
        take(first_event);
        take(": bye\n");
        CHECK(stream.end(true) == stream_fault::none);
    }
    SECTION("but a part of an event is a broken stream, also behind a comment")
    {
        take(first_event);
        take(": bye\nid: 2\nda");
        CHECK(stream.end(true) == stream_fault::broken);
    }
    SECTION("but an end that its framing does not state is a broken stream, whatever came last")
    {
        take(first_event);
        take("\n");
        CHECK(stream.end(false) == stream_fault::broken);
    }
    SECTION("a time for reconnections in front of the first event")
    {
        CHECK(take("retry: 3000\n\n" + std::string(first_event)) ==
              "retry: 3000\n\n" + std::string(first_event));
        CHECK(stream.last_id() == "1");
        CHECK(stream.end(true) == stream_fault::none);
    }
}

TEST_CASE("A caller that has all events is told so by a server that sends comments alone")
{
    stream_continuity stream("5");
    REQUIRE(stream.begin(200, "text/event-stream") == stream_fault::none);
    CHECK(stream.feed(": nothing more\n\n").fault == stream_fault::none);
    CHECK(stream.end(true) == stream_fault::none);

    SECTION("but behind a broken stream comments alone are no end")
    {
        stream_continuity broken;
        REQUIRE(broken.begin(200, "text/event-stream") == stream_fault::none);
        CHECK(broken.feed(first_event).fault == stream_fault::none);
        REQUIRE(broken.end(false) == stream_fault::broken);
        REQUIRE(broken.begin(200, "text/event-stream") == stream_fault::none);
        CHECK(broken.feed(": nothing more\n\n").fault == stream_fault::none);
        CHECK(broken.end(true) == stream_fault::no_event);
    }
}
