#include "coordination/claim_coordinator.hpp"

#include <xxhash.h>

namespace banyanshunt
{

stream_name claims_stream(const claim_key& key, int streams)
{
    std::string text = key.scope + '\n' + key.key;
    auto stream = XXH3_64bits(text.data(), text.size()) % static_cast<std::uint64_t>(streams);
    return stream_name(fmt::format("claims.{}", stream));
}

verdict<claim_result> resolve_duplicate(const live_claim& live, const std::string& digest)
{
    if (live.digest != digest)
    {
        return failure{.run = run_state::not_run,
                       .code = errc::idempotency_mismatch,
                       .detail = "a different call was sent with this idempotency key",
                       .retry_after = {}};
    }
    if (!live.outcome)
    {
        return failure{.run = run_state::may_have_run,
                       .code = errc::already_claimed,
                       .detail = "a call with this idempotency key is in flight, or its outcome "
                                 "was lost",
                       .retry_after = milliseconds(1000)};
    }
    if (live.outcome->body_dropped)
    {
        return failure{.run = run_state::ran,
                       .code = errc::already_ran,
                       .detail =
                           fmt::format("the call ran with status {}; its response is not kept",
                                       live.outcome->status),
                       .retry_after = {}};
    }
    return claim_result{.claim = live.claim, .outcome = live.outcome};
}

} // namespace banyanshunt
