// Complete entry hosts with engines whose streams break off, and whose next responses do not go on
// with what the caller has.

#include <algorithm>
#include <mutex>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "serve_case.hpp"
#include "stand_ins/raw_server.hpp"
#include "transport/socket_io.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// Longer than a request may take here; its deadline is below.
constexpr milliseconds read_timeout(9000);

enum class framing
{
    length,
    chunked,
    /// The body ends with its connection.
    none,
};
constexpr framing framings[] = {framing::length, framing::chunked, framing::none};

const char* to_text(framing it)
{
    return it == framing::length    ? "of known length"
           : it == framing::chunked ? "chunked"
                                    : "that ends with the connection";
}

std::string chunk(const std::string& bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string event(const std::string& id)
{
    return fmt::format("id: {}\ndata: token{}\n\n", id, id);
}

std::string events(int from, int to)
{
    std::string text;
    for (int n = from; n <= to; ++n)
    {
        text += event(std::to_string(n));
    }
    return text;
}

constexpr const char* event_stream = "Content-Type: text/event-stream\r\n";
constexpr const char* json_text = "Content-Type: application/json\r\n";

/// A response without the request's id, which the engine adds as the first field.
struct response_text
{
    std::string status = "200 OK";
    std::string fields = event_stream;
    std::string body = {};
    framing frame = framing::chunked;
    /// Breaks off in front of the end of a chunked body.
    bool broken = false;
    bool stamped = true;

    std::string bytes(const std::string& id, const std::string& stamp) const
    {
        std::string text = "HTTP/1.1 " + status + "\r\n" + id + fields;
        text += stamped ? "X-Server-Stamp: " + stamp + "\r\n" : "";
        if (frame == framing::length)
        {
            return text + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
        }
        if (frame == framing::none)
        {
            return text + "Connection: close\r\n\r\n" + body;
        }
        return text + "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? "" : chunk(body)) +
               (broken ? "" : "0\r\n\r\n");
    }
};

/// Events 1 and 2 and a part of the third.
response_text broken_after_two()
{
    return {.body = events(1, 2) + "id: 3\nda", .broken = true};
}

/// Two engines that hold one model; whichever is asked gives the next of the responses, then the
/// last again.
class engine_pair
{
public:
    engine_pair(serve_case& it, std::string model, std::vector<response_text> responses)
        : responses_(std::move(responses)), model_(std::move(model)), first_(script()),
          second_(script())
    {
        announce(it, first_, "a");
        announce(it, second_, "b");
    }

    std::vector<std::string> requests() const
    {
        std::lock_guard lock(mutex_);
        return requests_;
    }
    const std::string& model() const { return model_; }

private:
    raw_server::script script()
    {
        return [this](int, int, const std::string& text)
        {
            if (text.find(" /guide/") == std::string::npos)
            {
                return raw_response{.bytes = http_text(404, "")};
            }
            std::lock_guard lock(mutex_);
            requests_.push_back(text);
            auto n = std::min(requests_.size(), responses_.size()) - 1;
            auto from = text.find("X-Request-Id");
            auto id = text.substr(from, text.find("\r\n", from) + 2 - from);
            return raw_response{.bytes = responses_[n].bytes(id, fmt::format("stamp{}", n + 1)),
                                .close = true};
        };
    }

    void announce(serve_case& it, const raw_server& server, const char* which) const
    {
        auto entry = nlohmann::json::parse(it.engine1.registry_entry("models"));
        entry["address"] = server.address();
        entry["models"][0]["name"] = model_;
        it.store.put("keyed.servers", model_ + which, entry.dump());
    }

    std::vector<response_text> responses_;
    std::string model_;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    raw_server first_;
    raw_server second_;
};

/// What a caller received, byte for byte.
struct received_response
{
    std::string head;
    std::string body;
    /// Whether the body ended as complete.
    bool ended = false;

    std::string status() const { return head.substr(0, 12); }
};

std::string read_until_closed(const std::string& ip, int port, const std::string& request)
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    std::string text;
    if (connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0)
    {
        write_all(socket, request, milliseconds(1000));
        std::array<char, 4096> buf{};
        auto give_up_at = std::chrono::steady_clock::now() + read_timeout;
        while (std::chrono::steady_clock::now() < give_up_at)
        {
            if (!wait_readable(socket, milliseconds(100)))
            {
                continue;
            }
            long n = read_some(socket, buf.data(), buf.size(), milliseconds(100));
            if (n <= 0)
            {
                break;
            }
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
    }
    close(socket);
    return text;
}

received_response parse(const std::string& text)
{
    received_response it;
    auto end = text.find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return it;
    }
    it.head = text.substr(0, end + 2);
    std::string rest = text.substr(end + 4);
    if (it.head.find("Transfer-Encoding: chunked") == std::string::npos)
    {
        auto at = it.head.find("Content-Length: ");
        it.body = rest;
        it.ended = at != std::string::npos && std::stoul(it.head.substr(at + 16)) == rest.size();
        return it;
    }
    while (!rest.empty())
    {
        auto line = rest.find("\r\n");
        if (line == std::string::npos)
        {
            break;
        }
        auto size = std::stoul(rest.substr(0, line), nullptr, 16);
        it.body += rest.substr(line + 2, size);
        rest.erase(0, std::min(rest.size(), line + 2 + size + 2));
        it.ended = size == 0;
    }
    return it;
}

/// One host and engines of many models; each row of a table has a model of its own, so that what
/// one row's engines do does not keep another row's from being asked.
class stream_case
{
public:
    explicit stream_case(int rows)
    {
        REQUIRE(it.started);
        it.store.put("keyed.op", "config", serve_manifest(2, {"good-key"}, rows + 1));
    }

    engine_pair& add(std::vector<response_text> responses)
    {
        auto model = "m" + std::to_string(pairs_.size());
        return *pairs_.emplace_back(std::make_unique<engine_pair>(it, model, std::move(responses)));
    }
    /// Waits until the host knows the engines added so far.
    void await_engines()
    {
        probe_ = &add({response_text{.body = events(1, 5)}});
        REQUIRE(serve_case::eventually([&] { return ask(*probe_).ended; }));
    }
    /// Requests that end well earn the repeats of one that does not.
    void earn_repeats() const
    {
        constexpr int requests_per_repeat = 5;
        constexpr int repeats = 3;
        for (int n = 0; n < repeats * requests_per_repeat; ++n)
        {
            REQUIRE(ask(*probe_).ended);
        }
    }
    received_response ask(const engine_pair& engines, const std::string& fields = {}) const
    {
        return parse(read_until_closed(
            it.hosts.front()->ip, it.hosts.front()->port,
            "POST /guide/1 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n"
            "X-Request-Id: of-" +
                engines.model() +
                "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer good-key\r\n"
                "X-Token-Count: 10,5\r\nX-Model: " +
                engines.model() + "\r\n" + fields + "Content-Length: 1\r\n\r\nx"));
    }

    serve_case it;

private:
    std::vector<std::unique_ptr<engine_pair>> pairs_;
    const engine_pair* probe_ = nullptr;
};

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
