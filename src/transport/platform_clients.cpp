#include "transport/platform_clients.hpp"

#include <fmt/format.h>

#include "protocol/platform_codec.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

// Maps a status other than 200 to a failure. The platform refuses before it acts, so a call with a
// 4xx or a 503 did not run; after any other status it may have run.
failure failure_of(const http_call_response& response, const http_call& call)
{
    bool refused = (response.status >= 400 && response.status < 500) || response.status == 503;
    errc code = errc::unavailable;
    if (response.status == 410)
    {
        code = errc::records_expired;
    }
    else if (response.status == 429)
    {
        code = errc::platform_busy;
    }
    return {.run = refused ? run_state::not_run : run_state::may_have_run,
            .code = code,
            .detail = fmt::format("{} {} at {}: status {}", call.method, call.path, call.address,
                                  response.status),
            .retry_after = {}};
}

verdict<http_call_response> send_expecting_ok(http_client& http, const http_call& call)
{
    auto response = http.send(call);
    if (response && response->status != 200)
    {
        return failure_of(*response, call);
    }
    return response;
}

} // namespace

verdict<log_offset> http_log_service::append(const stream_name& stream,
                                             std::span<const log_entry> batch)
{
    http_call call{.address = address_,
                   .method = "POST",
                   .path = "/streams/" + stream.str() + "/records",
                   .headers = {},
                   .body = encode_append_request(batch),
                   .connect_timeout = timeout_,
                   .read_timeout = timeout_};
    auto response = send_expecting_ok(http_, call);
    if (!response)
    {
        return response.error();
    }
    return decode_append_response(response->body);
}

verdict<log_page> http_log_service::read(const stream_name& stream, log_offset from,
                                         std::size_t limit, milliseconds wait)
{
    http_call call{.address = address_,
                   .method = "GET",
                   .path = fmt::format("/streams/{}/records?from={}&limit={}&wait_ms={}",
                                       stream.str(), from.count(), limit, wait.count()),
                   .headers = {},
                   .body = {},
                   .connect_timeout = timeout_,
                   .read_timeout = timeout_ + wait};
    auto response = send_expecting_ok(http_, call);
    if (!response)
    {
        return response.error();
    }
    return decode_page(response->body);
}

verdict<std::vector<listed_host>> http_host_list::hosts()
{
    http_call call{
        .address = address_, .method = "GET", .path = "/hosts", .headers = {}, .body = {}};
    auto response = send_expecting_ok(http_, call);
    if (!response)
    {
        return response.error();
    }
    return decode_hosts(response->body);
}

verdict<weight_store_limits> http_weight_store::limits()
{
    http_call call{
        .address = address_, .method = "GET", .path = "/limits", .headers = {}, .body = {}};
    auto response = send_expecting_ok(http_, call);
    if (!response)
    {
        return response.error();
    }
    return decode_limits(response->body);
}

} // namespace banyanshunt
