#pragma once

/// \file
/// One host and engines whose responses to streaming requests a test writes byte by byte.

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "serve_case.hpp"
#include "stand_ins/raw_server.hpp"

namespace banyanshunt
{

enum class framing
{
    length,
    chunked,
    /// The body ends with its connection.
    none,
};
inline constexpr framing framings[] = {framing::length, framing::chunked, framing::none};

const char* to_text(framing it);

/// A chunk of a chunked body.
std::string chunk(const std::string& bytes);
/// An event with this id, and those with the ids `from` to `to`.
std::string event(const std::string& id);
std::string events(int from, int to);

inline constexpr const char* event_stream = "Content-Type: text/event-stream\r\n";
inline constexpr const char* json_text = "Content-Type: application/json\r\n";

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
    /// How many bytes are sent before the connection is closed.
    std::size_t max_bytes = std::string::npos;

    std::string bytes(const std::string& id, const std::string& stamp) const;
};

/// Events 1 and 2 and a part of the third.
response_text broken_after_two();

/// Two engines that hold one model; whichever is asked gives the next of the responses, then the
/// last again.
class engine_pair
{
public:
    engine_pair(serve_case& it, std::string model, std::vector<response_text> responses);

    std::vector<std::string> requests() const;
    const std::string& model() const { return model_; }

private:
    raw_server::script script();
    void announce(serve_case& it, const raw_server& server, const char* which) const;

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

/// Sends a request on a connection of its own and reads until the host closes it.
std::string read_until_closed(const std::string& ip, int port, const std::string& request);
received_response parse_received(const std::string& text);

/// One host and engines of many models; each row of a table has a model of its own, so that what
/// one row's engines do does not keep another row's from being asked.
class stream_case
{
public:
    explicit stream_case(int rows);

    engine_pair& add(std::vector<response_text> responses);
    /// Waits until the host knows the engines added so far.
    void await_engines();
    /// Requests that end well earn the repeats of one that does not.
    void earn_repeats() const;
    received_response ask(const engine_pair& engines, const std::string& fields = {}) const;

    serve_case it;

private:
    std::vector<std::unique_ptr<engine_pair>> pairs_;
    const engine_pair* probe_ = nullptr;
};

} // namespace banyanshunt
