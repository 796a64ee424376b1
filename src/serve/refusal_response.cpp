#include "serve/refusal_response.hpp"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace banyanshunt
{

namespace http = boost::beast::http;

std::string to_text(const refusal_response& it)
{
    std::string body = fmt::format("{{\"error\":{{\"reason\":\"{}\",\"run\":\"{}\"}}}}", it.reason,
                                   it.not_run ? "not_run" : "may_have_run");
    std::string response = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n", it.status,
        std::string_view(
            http::obsolete_reason(http::int_to_status(static_cast<unsigned>(it.status)))),
        body.size());
    if (it.retry_after)
    {
        response += fmt::format("Retry-After: {:.2f}\r\n",
                                static_cast<double>(it.retry_after->count()) / 1000);
    }
    if (!it.keep_alive)
    {
        response += "Connection: close\r\n";
    }
    response += "\r\n";
    if (it.with_body)
    {
        response += body;
    }
    return response;
}

} // namespace banyanshunt
