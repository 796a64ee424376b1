#include "stream_case.hpp"

#include <algorithm>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/socket_io.hpp"

namespace banyanshunt
{

namespace
{

/// Longer than a request may take here; its deadline is below.
constexpr milliseconds read_timeout(9000);

} // namespace

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

std::string response_text::bytes(const std::string& id, const std::string& stamp) const
{
    std::string text = "HTTP/1.1 " + status + "\r\n" + id + fields;
    text += stamped ? "X-Server-Stamp: " + stamp + "\r\n" : "";
    switch (frame)
    {
    case framing::length:
        text += fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
        break;
    case framing::none:
        text += "Connection: close\r\n\r\n" + body;
        break;
    case framing::chunked:
        text += "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? "" : chunk(body)) +
                (broken ? "" : "0\r\n\r\n");
        break;
    }
    return text.substr(0, max_bytes);
}

response_text broken_after_two()
{
    return {.body = events(1, 2) + "id: 3\nda", .broken = true};
}

engine_pair::engine_pair(serve_case& it, std::string model, std::vector<response_text> responses)
    : responses_(std::move(responses)), model_(std::move(model)), first_(script()),
      second_(script())
{
    announce(it, first_, "a");
    announce(it, second_, "b");
}

std::vector<std::string> engine_pair::requests() const
{
    std::lock_guard lock(mutex_);
    return requests_;
}

raw_server::script engine_pair::script()
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

void engine_pair::announce(serve_case& it, const raw_server& server, const char* which) const
{
    auto entry = nlohmann::json::parse(it.engine1.registry_entry("models"));
    entry["address"] = server.address();
    entry["models"][0]["name"] = model_;
    it.store.put("keyed.servers", model_ + which, entry.dump());
}

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

received_response parse_received(const std::string& text)
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

stream_case::stream_case(int rows)
{
    REQUIRE(it.started);
    it.store.put("keyed.op", "config", serve_manifest(2, {"good-key"}, rows + 1));
}

engine_pair& stream_case::add(std::vector<response_text> responses)
{
    auto model = "m" + std::to_string(pairs_.size());
    return *pairs_.emplace_back(std::make_unique<engine_pair>(it, model, std::move(responses)));
}

void stream_case::await_engines()
{
    probe_ = &add({response_text{.body = events(1, 5)}});
    REQUIRE(serve_case::eventually([&] { return ask(*probe_).ended; }));
}

void stream_case::earn_repeats() const
{
    constexpr int requests_per_repeat = 5;
    constexpr int repeats = 3;
    for (int n = 0; n < repeats * requests_per_repeat; ++n)
    {
        REQUIRE(ask(*probe_).ended);
    }
}

received_response stream_case::ask(const engine_pair& engines, const std::string& fields) const
{
    return parse_received(
        read_until_closed(it.hosts.front()->ip, it.hosts.front()->port,
                          "POST /guide/1 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n"
                          "X-Request-Id: of-" +
                              engines.model() +
                              "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer good-key\r\n"
                              "X-Token-Count: 10,5\r\nX-Model: " +
                              engines.model() + "\r\n" + fields + "Content-Length: 1\r\n\r\nx"));
}

} // namespace banyanshunt
