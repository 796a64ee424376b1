#include "transport/backend_clients.hpp"

#include <fmt/format.h>

#include "protocol/platform_codec.hpp"
#include "state/clock.hpp"
#include "state/errors.hpp"
#include "transport/event_stream.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds cancel_timeout(300);

// Whether an engine returns this status only before it acts on a request or an order. After a 408
// or any other 5xx, the engine may have acted.
bool refuses_before_acting(int status)
{
    bool client_error = status >= 400 && status < 500 && status != 408;
    return client_error || status == 503 || status == 507;
}

failure status_failure(const http_call_response& response, const http_call& call)
{
    bool refused = refuses_before_acting(response.status);
    errc code = errc::unavailable;
    if (response.status == 409)
    {
        code = errc::fenced;
    }
    else if (response.status == 507)
    {
        code = errc::memory_full;
    }
    else if (response.status == 404)
    {
        code = errc::not_found;
    }
    return {.run = refused ? run_state::not_run : run_state::may_have_run,
            .code = code,
            .detail = fmt::format("{} {} at {}: status {}", call.method, call.path, call.address,
                                  response.status),
            .retry_after = {}};
}

verdict<done> expect_ok(verdict<http_call_response> response, const http_call& call)
{
    if (!response)
    {
        return response.error();
    }
    if (response->status != 200)
    {
        return status_failure(*response, call);
    }
    return done{};
}

failure broken_stream(std::string detail)
{
    return {.run = run_state::may_have_run,
            .code = errc::bad_answer,
            .detail = std::move(detail),
            .retry_after = {}};
}

/// How an event fits what its response has delivered so far.
enum class event_place
{
    next,
    repeated,
    /// It skips a token, or differs from the one that was delivered at its position.
    unexpected,
};

/// The tokens that one response delivered, in order.
///
/// Made for engines that break off and begin anew: the tokens of another run must not follow those
/// that were delivered.
class delivered_tokens
{
public:
    explicit delivered_tokens(std::int64_t first) : first_(first) {}

    std::int64_t next_position() const
    {
        return first_ + static_cast<std::int64_t>(digests_.size());
    }

    event_place place_of(const engine_event& event) const
    {
        std::int64_t at = event.token.position;
        if (at == next_position())
        {
            return event_place::next;
        }
        if (event.end || at < first_ || at > next_position())
        {
            return event_place::unexpected;
        }
        bool same = digests_[static_cast<std::size_t>(at - first_)] == digest_of(event.token);
        return same ? event_place::repeated : event_place::unexpected;
    }

    void add(const stream_token& token) { digests_.push_back(digest_of(token)); }

private:
    static std::size_t digest_of(const stream_token& token)
    {
        return std::hash<std::string>()(token.text);
    }

    std::int64_t first_;
    /// Hashes of the texts, which are of any length.
    std::vector<std::size_t> digests_;
};

} // namespace

verdict<completion_end> http_model_engine::read_tokens(const http_call& call, const request_id& id,
                                                       std::int64_t position,
                                                       const token_sink& sink)
{
    event_stream_reader events;
    delivered_tokens delivered(position);
    std::optional<completion_end> end;
    std::optional<failure> broken;
    bool stopped = false;
    instant last_token = boot_clock().now();
    auto handle_event = [&](const engine_event& event)
    {
        if (event.token.id != id || end)
        {
            return true; // An event of another request, or behind the end.
        }
        auto place = delivered.place_of(event);
        if (place == event_place::repeated)
        {
            return true;
        }
        if (place == event_place::unexpected)
        {
            broken =
                broken_stream(fmt::format("received event {} of another run, or where event {} was "
                                          "expected",
                                          event.token.position, delivered.next_position()));
            return false;
        }
        last_token = boot_clock().now();
        if (event.end)
        {
            if (event.end->completion_tokens != delivered.next_position())
            {
                broken = broken_stream(
                    fmt::format("the end event counts {} tokens, but {} were received",
                                event.end->completion_tokens, delivered.next_position()));
                return false;
            }
            end = event.end;
            return true;
        }
        delivered.add(event.token);
        stopped = !sink(event.token);
        return !stopped;
    };
    // Duplicates and events of other requests keep the connection active without progress, so the
    // HTTP read timeout alone does not detect a stalled response.
    auto may_continue = [&]
    {
        if (events.too_long())
        {
            broken = broken_stream("an event exceeds the size limit");
        }
        else if (!end && boot_clock().now() - last_token > call.read_timeout)
        {
            broken = broken_stream("no token of this response arrived within the read timeout");
        }
        return !broken;
    };
    auto response = http_.stream(call,
                                 [&](std::string_view chunk)
                                 {
                                     for (const auto& data : events.feed(chunk))
                                     {
                                         auto event = decode_engine_event(data);
                                         if (!event)
                                         {
                                             broken = event.error();
                                             return false;
                                         }
                                         if (!handle_event(*event))
                                         {
                                             return false;
                                         }
                                     }
                                     return may_continue();
                                 });
    if (end)
    {
        return *end;
    }
    if (broken)
    {
        return *broken;
    }
    if (stopped)
    {
        return failure{.run = run_state::may_have_run,
                       .code = errc::cancelled,
                       .detail = "the token sink stopped the stream",
                       .retry_after = {}};
    }
    if (!response)
    {
        return response.error();
    }
    if (response->status != 200)
    {
        return status_failure(*response, call);
    }
    return broken_stream("the stream ended before its end event");
}

verdict<completion_end> http_model_engine::complete(const std::string& address,
                                                    const completion_request& request,
                                                    milliseconds read_timeout,
                                                    const token_sink& sink)
{
    http_call call{.address = address,
                   .method = "POST",
                   .path = "/engine/completions",
                   .headers = {},
                   .body = encode_engine_request(request),
                   .read_timeout = read_timeout};
    return read_tokens(call, request.id, 0, sink);
}

verdict<completion_end> http_model_engine::resume(const std::string& address, const request_id& id,
                                                  std::int64_t position, milliseconds read_timeout,
                                                  const token_sink& sink)
{
    http_call call{.address = address,
                   .method = "GET",
                   .path = fmt::format("/engine/completions/{}?from={}", id.str(), position),
                   .headers = {},
                   .body = {},
                   .read_timeout = read_timeout};
    return read_tokens(call, id, position, sink);
}

verdict<done> http_model_engine::cancel(const std::string& address, const request_id& id)
{
    http_call call{.address = address,
                   .method = "DELETE",
                   .path = "/engine/completions/" + id.str(),
                   .headers = {},
                   .body = {},
                   .connect_timeout = cancel_timeout,
                   .read_timeout = cancel_timeout};
    return expect_ok(http_.send(call), call);
}

verdict<done> http_model_engine::order(const std::string& address, const engine_order& it)
{
    http_call call{.address = address,
                   .method = "POST",
                   .path = "/engine/orders",
                   .headers = {},
                   .body = encode_order(it)};
    return expect_ok(http_.send(call), call);
}

verdict<engine_report> http_model_engine::read_back(const std::string& address)
{
    http_call call{
        .address = address, .method = "GET", .path = "/engine/report", .headers = {}, .body = {}};
    auto response = http_.send(call);
    if (!response)
    {
        return response.error();
    }
    if (response->status != 200)
    {
        return status_failure(*response, call);
    }
    return decode_engine_report(response->body);
}

verdict<load_report> http_model_engine::fetch_load(const std::string& address)
{
    http_call call{
        .address = address, .method = "GET", .path = "/engine/load", .headers = {}, .body = {}};
    auto response = http_.send(call);
    if (!response)
    {
        return response.error();
    }
    if (response->status != 200)
    {
        return status_failure(*response, call);
    }
    return decode_load_report(response->body);
}

verdict<service_response> http_plain_service::call(const std::string& address,
                                                   const service_call& it, milliseconds limit)
{
    http_call request{.address = address,
                      .method = it.method,
                      .path = it.path,
                      .headers = it.headers,
                      .body = it.body,
                      .content_type = "application/octet-stream",
                      .read_timeout = limit};
    auto response = http_.send(request);
    if (!response)
    {
        return response.error();
    }
    return service_response{.status = response->status,
                            .content_type = response->content_type,
                            .body = std::move(response->body),
                            .headers = std::move(response->headers)};
}

} // namespace banyanshunt
