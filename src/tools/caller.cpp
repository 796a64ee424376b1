#include "tools/caller.hpp"

#include <nlohmann/json.hpp>

#include "transport/event_stream.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

http_call call_of(const caller_request& request)
{
    http_call it{.address = request.address,
                 .method = request.method,
                 .path = request.path,
                 .headers = {},
                 .body = request.body,
                 .read_timeout = request.read_timeout};
    if (!request.bearer.empty())
    {
        it.headers.push_back({"Authorization", "Bearer " + request.bearer});
    }
    if (request.deadline.count() > 0)
    {
        it.headers.push_back({"X-Deadline-Ms", std::to_string(request.deadline.count())});
    }
    if (!request.idempotency_key.empty())
    {
        it.headers.push_back({"Idempotency-Key", request.idempotency_key});
    }
    return it;
}

// Reads a refusal's members; returns whether the document is one.
bool read_refusal(const json& document, caller_response& reply)
{
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object())
    {
        return false;
    }
    const json& error = document["error"];
    reply.reason = error.value("reason", "");
    reply.run = error.value("run", "");
    if (error.contains("retry_after_ms") && error["retry_after_ms"].is_number_integer())
    {
        reply.retry_after = milliseconds(error["retry_after_ms"].get<std::int64_t>());
    }
    return true;
}

void read_usage(const json& document, caller_response& reply)
{
    if (document.contains("usage") && document["usage"].is_object())
    {
        reply.prompt_tokens = document["usage"].value("prompt_tokens", std::int64_t(0));
        reply.completion_tokens = document["usage"].value("completion_tokens", std::int64_t(0));
    }
}

std::string text_of(const json& document)
{
    if (!document.contains("choices") || !document["choices"].is_array() ||
        document["choices"].empty())
    {
        return {};
    }
    const json& choice = document["choices"][0];
    for (const char* part : {"delta", "message"})
    {
        if (choice.contains(part) && choice[part].is_object())
        {
            return choice[part].value("content", "");
        }
    }
    return choice.value("text", "");
}

void take_event(const std::string& data, caller_response& reply)
{
    if (data == "[DONE]")
    {
        reply.complete = true;
        return;
    }
    json document = json::parse(data, nullptr, false);
    if (document.is_discarded() || read_refusal(document, reply))
    {
        return;
    }
    std::string text = text_of(document);
    if (!text.empty() && !reply.first_token)
    {
        reply.first_token = boot_clock().now();
    }
    reply.text += text;
    read_usage(document, reply);
}

// A body that was not streamed: a plain service's answer, or a refusal.
void take_body(const http_call_response& answer, caller_response& reply)
{
    json document = json::parse(answer.body, nullptr, false);
    bool refused =
        answer.status != 200 && !document.is_discarded() && read_refusal(document, reply);
    if (!refused && reply.text.empty())
    {
        reply.text = answer.body;
    }
}

} // namespace

std::string completion_body(const std::string& model, const std::string& prompt,
                            std::int64_t max_tokens)
{
    return json{{"model", model}, {"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", true}}
        .dump();
}

caller_response call(http_client& http, const caller_request& request)
{
    caller_response reply;
    reply.sent = boot_clock().now();
    event_stream_reader events;
    bool streamed = request.path.starts_with("/v1/") && request.method == "POST";
    auto take_piece = [&](std::string_view piece)
    {
        for (const auto& data : events.feed(piece))
        {
            take_event(data, reply);
        }
        return true;
    };
    auto answer =
        streamed ? http.stream(call_of(request), take_piece) : http.send(call_of(request));
    reply.ended = boot_clock().now();
    if (!answer)
    {
        reply.detail = answer.error().detail;
        return reply;
    }
    reply.status = answer->status;
    take_body(*answer, reply);
    reply.complete = reply.complete || (!streamed && reply.reason.empty());
    return reply;
}

} // namespace banyanshunt
