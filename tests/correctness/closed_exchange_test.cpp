// A request's deadline, its caller's leaving and the end of a stopping host close its exchange with
// a server at any moment, also between the receipt of bytes and their use.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "correctness/receiving_host.hpp"
#include "serve/server_exchange.hpp"
#include "stand_ins/raw_server.hpp"

using namespace banyanshunt;

namespace
{

const std::string whole_body = "answer to r1";

struct read_response
{
    std::string body;
    bool complete = false;
    bool ended = false;
};

/// Reads a response, and closes its exchange right before its body is read.
task<void> read_closed(host_context& context, server_id server, read_response& to)
{
    server_exchange exchange(context, server);
    auto state = co_await exchange.send(
        []
        {
            return std::optional(outgoing_request{
                .head = "GET /read/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n\r\n"});
        },
        request_id("r1"));
    if (state == exchange_state::responded)
    {
        // Runs before the read that is started next is completed.
        asio::post(context.executor, [&exchange] { exchange.close(); });
        while (auto data = co_await exchange.read_some())
        {
            to.body += *data;
        }
        to.complete = exchange.complete();
    }
    to.ended = true;
}

} // namespace

TEST_CASE("A response whose exchange is closed while its end arrives does not end as complete "
          "without it (MIXED, ORDER)")
{
    receiving_host it;
    std::string fields = "X-Request-Id: r1\r\nX-Server-Stamp: s\r\n";
    std::string text;

    SECTION("of known length")
    {
        text = http_text(200, whole_body, fields);
    }
    SECTION("in chunks, which are read in several steps")
    {
        text = fmt::format("HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n"
                           "0\r\n\r\n",
                           fields, whole_body.size(), whole_body);
    }
    raw_server responder([&](int, int, const std::string&) { return raw_response{.bytes = text}; });
    backend_entry entry;
    entry.id = server_id("d1");
    entry.address = endpoint_text(responder.address());
    entry.start_time_ms = start_time;
    entry.slots = 1;
    it.context.servers.apply_entry(entry, it.context.now());
    read_response response;
    asio::co_spawn(it.context.executor, read_closed(it.context, entry.id, response),
                   [](const std::exception_ptr&) {});
    it.run_until([&] { return response.ended; });
    REQUIRE(response.ended);
    CHECK(response.body == whole_body);
    CHECK(response.complete);
}
