/// \file
/// Whatever a server sends behind a broken stream, what its caller has is the beginning of the true
/// sequence of events, and it ends as complete only after an event that followed.

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "coordination/stream_continuity.hpp"
#include "mutator.hpp"

using namespace banyanshunt;

namespace
{

std::string event(int n)
{
    return fmt::format("id: {}\ndata: token{}\n\n", n, n);
}

/// The ids that a reader of events finds in order, and nothing for an event without one.
std::vector<std::string> ids_of(std::string text)
{
    std::erase(text, '\r');
    std::vector<std::string> ids;
    std::string id;
    bool fields = false;
    while (!text.empty())
    {
        auto end = text.find('\n');
        auto line = text.substr(0, end);
        text.erase(0, end == std::string::npos ? end : end + 1);
        if (line.empty())
        {
            if (fields)
            {
                ids.push_back(id);
            }
            id.clear();
            fields = false;
        }
        else if (line.front() != ':')
        {
            fields = true;
            auto value = line.starts_with("id:") ? line.substr(3) : "";
            id = value.empty() ? id : value.substr(value.front() == ' ' ? 1 : 0);
        }
    }
    return ids;
}

} // namespace

TEST_CASE("a randomly modified continuation of a broken stream never joins what does not follow")
{
    fuzz::mutator mutants("stream_continuation", 43);
    int refused = 0;
    int whole = 0;
    for (int n = 0; n < 20000; ++n)
    {
        auto text = mutants.draw(50) == 0 ? mutants.corpus().front() : mutants.next();
        stream_continuity stream;
        REQUIRE(stream.begin(200, "text/event-stream") == stream_fault::none);
        auto passed = stream.feed(event(1) + event(2) + "id: 3\nda").events;
        REQUIRE(stream.end(false) == stream_fault::broken);
        REQUIRE(stream.begin(200, "text/event-stream") == stream_fault::none);
        auto fault = stream_fault::none;
        while (!text.empty() && fault == stream_fault::none)
        {
            auto size = 1 + mutants.draw(text.size());
            auto part = stream.feed(text.substr(0, size));
            text.erase(0, size);
            passed += part.events;
            fault = part.fault;
        }
        fault = fault == stream_fault::none ? stream.end(true) : fault;
        ++(fault == stream_fault::none ? whole : refused);
        auto ids = ids_of(passed);
        INFO(passed);
        for (std::size_t k = 0; k < ids.size(); ++k)
        {
            REQUIRE(std::stoull(ids[k]) == k + 1);
        }
        REQUIRE(stream.last_id() == ids.back());
        REQUIRE((fault != stream_fault::none || ids.size() > 2));
    }
    CHECK(refused > 1000);
    CHECK(whole > 100);
}
