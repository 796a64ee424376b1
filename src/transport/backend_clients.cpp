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

constexpr milliseconds cancel_patience(300);

// An engine refuses a request or an order before it acts on it, with one of these. A 408 or a 5xx
// other than these says nothing about what was done before it.
bool refuses_before_acting(int status)
{
    bool client_error = status >= 400 && status < 500 && status != 408;
    return client_error || status == 503 || status == 507;
}

failure refusal_of(const http_call_response& answer, const http_call& call)
{
    bool refused = refuses_before_acting(answer.status);
    errc code = errc::unavailable;
    if (answer.status == 409)
    {
        code = errc::fenced;
    }
    else if (answer.status == 507)
    {
        code = errc::memory_full;
    }
    else if (answer.status == 404)
    {
        code = errc::not_found;
    }
    return {.run = refused ? run_state::not_run : run_state::may_have_run,
            .code = code,
            .detail = fmt::format("{} {} at {}: status {}", call.method, call.path, call.address,
                                  answer.status),
            .retry_after = {}};
}

verdict<done> expect_ok(verdict<http_call_response> answer, const http_call& call)
{
    if (!answer)
    {
        return answer.error();
    }
    if (answer->status != 200)
    {
        return refusal_of(*answer, call);
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

} // namespace

verdict<completion_end> http_model_engine::read_tokens(const http_call& call, const request_id& id,
                                                       std::int64_t position,
                                                       const token_sink& sink)
{
    event_stream_reader events;
    std::optional<completion_end> end;
    std::optional<failure> broken;
    bool stopped = false;
    instant last_token = boot_clock().now();
    auto take = [&](const engine_event& event)
    {
        if (event.token.id != id || event.token.position < position || end)
        {
            return true; // Late or crossed: not this answer's next token.
        }
        if (event.token.position > position)
        {
            broken = broken_stream(
                fmt::format("token {} came in place of {}", event.token.position, position));
            return false;
        }
        last_token = boot_clock().now();
        if (event.end)
        {
            if (event.end->completion_tokens != position)
            {
                broken = broken_stream(fmt::format("an end after {} tokens came at token {}",
                                                   event.end->completion_tokens, position));
                return false;
            }
            end = event.end;
            return true;
        }
        ++position;
        stopped = !sink(event.token);
        return !stopped;
    };
    // Late and crossed tokens keep a connection busy without bringing the answer on.
    auto may_go_on = [&]
    {
        if (events.too_long())
        {
            broken = broken_stream("an event is too long");
        }
        else if (!end && boot_clock().now() - last_token > call.read_timeout)
        {
            broken = broken_stream("no token of this answer came in time");
        }
        return !broken;
    };
    auto answer = http_.stream(call,
                               [&](std::string_view piece)
                               {
                                   for (const auto& data : events.feed(piece))
                                   {
                                       auto event = decode_engine_event(data);
                                       if (!event)
                                       {
                                           broken = event.error();
                                           return false;
                                       }
                                       if (!take(*event))
                                       {
                                           return false;
                                       }
                                   }
                                   return may_go_on();
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
                       .detail = "the reader stopped",
                       .retry_after = {}};
    }
    if (!answer)
    {
        return answer.error();
    }
    if (answer->status != 200)
    {
        return refusal_of(*answer, call);
    }
    return broken_stream("the stream ended early");
}

verdict<completion_end> http_model_engine::complete(const std::string& address,
                                                    const completion_request& request,
                                                    milliseconds silence, const token_sink& sink)
{
    http_call call{.address = address,
                   .method = "POST",
                   .path = "/engine/completions",
                   .headers = {},
                   .body = encode_engine_request(request),
                   .read_timeout = silence};
    return read_tokens(call, request.id, 0, sink);
}

verdict<completion_end> http_model_engine::resume(const std::string& address, const request_id& id,
                                                  std::int64_t position, milliseconds silence,
                                                  const token_sink& sink)
{
    http_call call{.address = address,
                   .method = "GET",
                   .path = fmt::format("/engine/completions/{}?from={}", id.str(), position),
                   .headers = {},
                   .body = {},
                   .read_timeout = silence};
    return read_tokens(call, id, position, sink);
}

verdict<done> http_model_engine::cancel(const std::string& address, const request_id& id)
{
    http_call call{.address = address,
                   .method = "DELETE",
                   .path = "/engine/completions/" + id.str(),
                   .headers = {},
                   .body = {},
                   .connect_timeout = cancel_patience,
                   .read_timeout = cancel_patience};
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
    auto answer = http_.send(call);
    if (!answer)
    {
        return answer.error();
    }
    if (answer->status != 200)
    {
        return refusal_of(*answer, call);
    }
    return decode_engine_report(answer->body);
}

verdict<load_report> http_model_engine::fetch_load(const std::string& address)
{
    http_call call{
        .address = address, .method = "GET", .path = "/engine/load", .headers = {}, .body = {}};
    auto answer = http_.send(call);
    if (!answer)
    {
        return answer.error();
    }
    if (answer->status != 200)
    {
        return refusal_of(*answer, call);
    }
    return decode_load_report(answer->body);
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
                      .read_timeout = limit,
                      .dedicated_connection = !it.repeatable};
    auto answer = http_.send(request);
    if (!answer)
    {
        return answer.error();
    }
    return service_response{.status = answer->status,
                            .content_type = answer->content_type,
                            .body = std::move(answer->body),
                            .headers = std::move(answer->headers)};
}

} // namespace banyanshunt
