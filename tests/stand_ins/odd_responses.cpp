#include "stand_ins/odd_responses.hpp"

#include <chrono>
#include <map>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <httplib.h>

namespace banyanshunt
{

namespace
{

constexpr const char* error_body = R"({"error":"out of memory"})";

/// The last request with each status on the connection that this thread serves.
struct connection_past
{
    int port = 0;
    std::map<int, std::string> ids;
};
thread_local connection_past past;

std::string text_of(const httplib::Response& response, const std::string& id,
                    const std::string& body)
{
    auto text = fmt::format("HTTP/1.1 {} Copy\r\n", response.status);
    for (const auto& [name, value] : response.headers)
    {
        if (name != "X-Request-Id" && name != "Content-Length" && name != "Connection" &&
            name != "Keep-Alive")
        {
            text += fmt::format("{}: {}\r\n", name, value);
        }
    }
    if (!id.empty())
    {
        text += fmt::format("X-Request-Id: {}\r\n", id);
    }
    return text + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

} // namespace

void send_with_copy(const httplib::Request& call, httplib::Response& response,
                    const std::string& body, copied_id id, std::chrono::milliseconds delay)
{
    if (past.port != call.remote_port)
    {
        past = {.port = call.remote_port, .ids = {}};
    }
    auto own_id = call.get_header_value("X-Request-Id");
    auto earlier = std::exchange(past.ids[response.status], own_id);
    auto copied = id == copied_id::same ? own_id : id == copied_id::none ? std::string() : earlier;
    bool sends_copy = id == copied_id::same || id == copied_id::none || !earlier.empty();
    response.set_content_provider(body.size(), "text/plain",
                                  [&response, body, copied, sends_copy,
                                   delay](std::size_t, std::size_t, httplib::DataSink& sink)
                                  {
                                      if (!sink.write(body.data(), body.size()) || !sends_copy)
                                      {
                                          return true;
                                      }
                                      std::this_thread::sleep_for(delay);
                                      auto copy = text_of(response, copied, body);
                                      return sink.write(copy.data(), copy.size());
                                  });
}

bool resume_without_events(odd_resumption how, httplib::Response& response)
{
    switch (how)
    {
    case odd_resumption::error_text:
        response.set_content(error_body, "application/json");
        return true;
    case odd_resumption::error_head:
        response.set_content(fmt::format("HTTP/1.1 500 Internal Server Error\r\nContent-Length: "
                                         "{}\r\n\r\n{}",
                                         std::string(error_body).size(), error_body),
                             "text/event-stream");
        return true;
    case odd_resumption::empty:
        response.set_content("", "text/event-stream");
        return true;
    default:
        return false;
    }
}

int first_resumed_event(odd_resumption how, int next)
{
    return how == odd_resumption::from_the_start  ? 1
           : how == odd_resumption::skipped_event ? next + 1
                                                  : next;
}

} // namespace banyanshunt
