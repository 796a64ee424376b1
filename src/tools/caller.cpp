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
                 .read_timeout = request.read_timeout,
                 .keeps_connection = true};
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

// Reads the fields of a refusal; returns false if the document is not one.
bool read_refusal(const json& document, caller_response& response)
{
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object())
    {
        return false;
    }
    const json& error = document["error"];
    response.reason = error.value("reason", "");
    response.run = error.value("run", "");
    if (error.contains("retry_after_ms") && error["retry_after_ms"].is_number_integer())
    {
        response.retry_after = milliseconds(error["retry_after_ms"].get<std::int64_t>());
    }
    return true;
}

void read_usage(const json& document, caller_response& response)
{
    if (document.contains("usage") && document["usage"].is_object())
    {
        response.prompt_tokens = document["usage"].value("prompt_tokens", std::int64_t(0));
        response.completion_tokens = document["usage"].value("completion_tokens", std::int64_t(0));
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
    for (const char* field : {"delta", "message"})
    {
        if (choice.contains(field) && choice[field].is_object())
        {
            return choice[field].value("content", "");
        }
    }
    return choice.value("text", "");
}

void handle_event(const std::string& data, caller_response& response)
{
    if (data == "[DONE]")
    {
        response.complete = true;
        return;
    }
    json document = json::parse(data, nullptr, false);
    if (document.is_discarded() || read_refusal(document, response))
    {
        return;
    }
    std::string text = text_of(document);
    if (!text.empty() && !response.first_token)
    {
        response.first_token = boot_clock().now();
    }
    response.text += text;
    read_usage(document, response);
}

// Handles a body that was not streamed: a plain service's response, or a refusal.
void handle_body(const http_call_response& received, caller_response& response)
{
    json document = json::parse(received.body, nullptr, false);
    bool refused =
        received.status != 200 && !document.is_discarded() && read_refusal(document, response);
    if (!refused && response.text.empty())
    {
        response.text = received.body;
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
    caller_response response;
    response.sent = boot_clock().now();
    event_stream_reader events;
    bool streamed = request.path.starts_with("/v1/") && request.method == "POST";
    auto handle_chunk = [&](std::string_view chunk)
    {
        for (const auto& data : events.feed(chunk))
        {
            handle_event(data, response);
        }
        return true;
    };
    auto received =
        streamed ? http.stream(call_of(request), handle_chunk) : http.send(call_of(request));
    response.ended = boot_clock().now();
    if (!received)
    {
        response.detail = received.error().detail;
        return response;
    }
    response.status = received->status;
    handle_body(*received, response);
    response.complete = response.complete || (!streamed && response.reason.empty());
    return response;
}

} // namespace banyanshunt
