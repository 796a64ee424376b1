#include "entry/request_context.hpp"

#include <algorithm>
#include <charconv>

#include "coordination/staleness.hpp"
#include "protocol/completion_codec.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::int64_t milliseconds_in_second = 1000;

std::string retry_after_seconds(milliseconds after)
{
    auto rounded_up = (after.count() + milliseconds_in_second - 1) / milliseconds_in_second;
    return std::to_string(std::max<std::int64_t>(rounded_up, 1));
}

} // namespace

std::string bearer_token(const http_request& request)
{
    std::string value = request.header("authorization");
    return value.starts_with(bearer_prefix) ? value.substr(bearer_prefix.size()) : std::string();
}

instant deadline_of(const http_request& request, milliseconds max_duration, instant now)
{
    std::string text = request.header("x-deadline-ms");
    std::int64_t n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    bool valid = ec == std::errc() && end == text.data() + text.size() && n > 0;
    return now + (valid && n < max_duration.count() ? milliseconds(n) : max_duration);
}

http_response refusal_response(metrics& counters, const failure& why)
{
    counters.increment("banyanshunt_refusals_total",
                       {{"reason", why.code.message()}, {"run", to_string(why.run)}});
    http_response response{
        .status = status_of(why), .headers = {}, .body = encode_failure(why), .stream = {}};
    if (why.retry_after)
    {
        response.headers.push_back({"Retry-After", retry_after_seconds(*why.retry_after)});
    }
    return response;
}

failure draining_refusal()
{
    return {.run = run_state::not_run,
            .code = errc::draining,
            .detail = "this host is stopping",
            .retry_after = milliseconds(milliseconds_in_second)};
}

failure no_permit_refusal()
{
    return {.run = run_state::not_run,
            .code = errc::queue_full,
            .detail = "too many requests of this workspace are in flight on this host",
            .retry_after = milliseconds(milliseconds_in_second)};
}

bool is_key_valid(const fleet_state& state, const key_id& key, const workspace_id& workspace)
{
    const key_object* object = find_object(state.keys, key);
    return object && object->workspace == workspace && find_object(state.workspaces, workspace);
}

verdict<reservation> reserve_tokens(const request_context& context, const key_holder& holder,
                                    millitokens cost, instant deadline,
                                    const std::function<bool()>& caller_disconnected)
{
    if (auto stale = refuse_if_stale(*context.state.get(), holder.workspace, context.state_age()))
    {
        return *stale;
    }
    auto stop_waiting = [&]() -> std::optional<failure>
    {
        if (!is_key_valid(*context.state.get(), holder.key, holder.workspace))
        {
            return failure{.run = run_state::not_run,
                           .code = errc::key_refused,
                           .detail = "the key was withdrawn",
                           .retry_after = {}};
        }
        if (caller_disconnected && caller_disconnected())
        {
            return failure{.run = run_state::not_run,
                           .code = errc::cancelled,
                           .detail = "the caller disconnected",
                           .retry_after = {}};
        }
        return std::nullopt;
    };
    return context.queue.reserve(context.shares, {.workspace = holder.workspace,
                                                  .amount = cost,
                                                  .deadline = deadline,
                                                  .stop_waiting = stop_waiting});
}

} // namespace banyanshunt
