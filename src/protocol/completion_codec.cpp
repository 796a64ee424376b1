#include "protocol/completion_codec.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "protocol/json_reader.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_prompt_bytes = 1024 * 1024;
constexpr std::int64_t max_completion_tokens = 1'000'000;

failure bad_request(std::string detail)
{
    return {.run = run_state::not_run,
            .code = errc::bad_request,
            .detail = std::move(detail),
            .retry_after = {}};
}

// Joins a conversation into the single prompt that engines accept.
std::string read_messages(const json* messages, json_errors& errors)
{
    if (!messages || !messages->is_array() || messages->empty())
    {
        errors.report("messages", "must be a list of at least one message");
        return {};
    }
    std::string prompt;
    for (std::size_t i = 0; i < messages->size(); ++i)
    {
        json_reader in((*messages)[i], fmt::format("messages.{}", i), errors);
        std::string role = in.one_of("role", {"system", "user", "assistant"});
        prompt += role + ": " + in.text("content", max_prompt_bytes, "") + "\n";
    }
    return prompt;
}

json choice_of(const completion_header& header, const char* chat_field, const std::string& text)
{
    json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (header.chat)
    {
        choice[chat_field] = {{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    return choice;
}

json common_fields(const completion_header& header, bool chunk)
{
    std::string object = header.chat ? "chat.completion" : "text_completion";
    return {{"id", header.id.str()},
            {"object", chunk && header.chat ? object + ".chunk" : object},
            {"model", header.name}};
}

json usage_of(const completion_end& end)
{
    return {{"prompt_tokens", end.prompt_tokens},
            {"completion_tokens", end.completion_tokens},
            {"total_tokens", end.prompt_tokens + end.completion_tokens}};
}

json failure_json(const failure& cause)
{
    json error = {
        {"reason", cause.code.message()}, {"run", to_string(cause.run)}, {"message", cause.detail}};
    if (cause.retry_after)
    {
        error["retry_after_ms"] = cause.retry_after->count();
    }
    return {{"error", error}};
}

// Text from callers and engines may hold invalid UTF-8, which is replaced.
std::string text_of(const json& data)
{
    return data.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string event(const json& data)
{
    return "data: " + text_of(data) + "\n\n";
}

} // namespace

verdict<caller_completion> decode_completion_request(const std::string& body, bool chat)
{
    json_errors errors;
    json document = parse_json(body, errors);
    json_reader in(document, "", errors);
    caller_completion it;
    it.chat = chat;
    it.name = in.text("model", max_name_bytes);
    it.prompt =
        chat ? read_messages(in.member("messages"), errors) : in.text("prompt", max_prompt_bytes);
    it.max_tokens = in.integer("max_tokens", 1, max_completion_tokens, 16);
    it.stream = in.boolean("stream", false);
    if (!errors.empty())
    {
        return bad_request(errors.first());
    }
    return it;
}

std::string encode_completion_response(const completion_header& header, const std::string& text,
                                       const completion_end& end)
{
    json out = common_fields(header, false);
    json choice = choice_of(header, "message", text);
    choice["finish_reason"] = end.finish_reason;
    out["choices"] = json::array({choice});
    out["usage"] = usage_of(end);
    return text_of(out);
}

std::string encode_chunk(const completion_header& header, const std::string& text)
{
    json out = common_fields(header, true);
    out["choices"] = json::array({choice_of(header, "delta", text)});
    return event(out);
}

std::string encode_stream_end(const completion_header& header, const completion_end& end)
{
    json out = common_fields(header, true);
    json choice = choice_of(header, "delta", "");
    choice["finish_reason"] = end.finish_reason;
    out["choices"] = json::array({choice});
    out["usage"] = usage_of(end);
    return event(out) + "data: [DONE]\n\n";
}

std::string encode_stream_failure(const failure& cause)
{
    return event(failure_json(cause));
}

std::string encode_failure(const failure& cause)
{
    return text_of(failure_json(cause));
}

int status_of(const failure& cause)
{
    if (cause.code.category() != banyanshunt_category())
    {
        return 502;
    }
    switch (static_cast<errc>(cause.code.value()))
    {
    case errc::bad_request:
        return 400;
    case errc::key_missing:
    case errc::key_refused:
        return 401;
    case errc::not_found:
        return 404;
    case errc::idempotency_mismatch:
    case errc::already_claimed:
    case errc::already_ran:
        return 409;
    case errc::over_rate:
        return 429;
    case errc::deadline:
    case errc::timeout:
        return 504;
    case errc::bad_answer:
        return 502;
    default:
        return 503;
    }
}

std::string encode_models(const std::vector<std::string>& names)
{
    json data = json::array();
    for (const auto& name : names)
    {
        data.push_back({{"id", name}, {"object", "model"}, {"owned_by", "banyanshunt"}});
    }
    return json{{"object", "list"}, {"data", data}}.dump();
}

} // namespace banyanshunt
