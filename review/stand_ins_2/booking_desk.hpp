#pragma once

/// \file
/// A plain service of the cases of this review.

#include "http_parts.hpp"

namespace review
{

inline json manifest_of_booking_desk()
{
    constexpr int time_budget_ms = 1000;
    return {{"version", 3},
            {"routes",
             {route("/book/", "non_idempotent", "booking-desk", false, time_budget_ms),
              route("/status/", "idempotent", "booking-desk", false, time_budget_ms)}},
            {"services",
             {{{"name", "booking-desk"}, {"health_path", "/health"}, {"max_connections", 96}}}},
            {"limits", limits()},
            {"tenants",
             {tenant("showrooms", "key-showrooms", 50000, 50000),
              tenant("installer", "key-installer", 50000, 50000)}}};
}

/// Two servers, which answer each request with its id after some milliseconds.
class booking_desk
{
public:
    explicit booking_desk(deployment& fleet)
    {
        for (const char* zone : {"a", "b"})
        {
            std::string id = fmt::format("i-desk-{}", zone);
            auto* server = new raw_server([this, id](channel& caller, const http_message& request)
                                          { serve(id, caller, request); });
            fleet.add_server(id,
                             [server, zone]
                             {
                                 constexpr int slots = 6;
                                 return server_entry_of("booking-desk",
                                                        fmt::format("kathmandu-{}", zone),
                                                        server->port(), slots, json::array());
                             });
        }
    }

    std::vector<http_message> runs()
    {
        std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    void serve(const std::string& id, channel& caller, const http_message& request)
    {
        std::string fields = "X-Request-Id: " + request.field("x-request-id") + "\r\n";
        if (request.first_line.starts_with("GET /health "))
        {
            caller.send(response_text(200, "X-Instance-Id: " + id + "\r\n", ""));
            return;
        }
        std::string expected = request.field("x-expect-instance");
        if (!expected.empty() && expected != id)
        {
            caller.send(response_text(421, fields, ""));
            return;
        }
        if (request.field("x-request-id").empty())
        {
            caller.send(response_text(400, "X-Not-Executed: 1\r\n", ""));
            return;
        }
        {
            std::lock_guard lock(mutex_);
            runs_.push_back(request);
        }
        constexpr milliseconds work{15};
        std::this_thread::sleep_for(work);
        caller.send(response_text(200, fields + "X-Server-Stamp: " + id + "\r\n",
                                  "done " + request.field("x-request-id")));
    }

    std::mutex mutex_;
    std::vector<http_message> runs_;
};

} // namespace review
