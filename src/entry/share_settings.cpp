#include "entry/share_settings.hpp"

namespace banyanshunt
{

share_settings read_share_settings(settings_file& file)
{
    share_settings it;
    it.policy = file.text("shares", "policy", it.policy);
    if (it.policy != "owned" && it.policy != "fixed")
    {
        file.mistake("shares", "policy", "must be owned or fixed");
    }
    constexpr std::int64_t most_domains = 1000;
    // No default: a host that took fewer domains than there are would own too much.
    it.domains = static_cast<int>(file.integer("shares", "domains", 1, most_domains));
    it.lease = file.duration("shares", "lease_ms", it.lease);
    it.outage = file.duration("shares", "outage_ms", it.outage);
    it.loan = file.duration("shares", "loan_ms", it.loan);
    it.call_limit = file.duration("shares", "call_limit_ms", it.call_limit);
    it.resign_limit = file.duration("shares", "resign_limit_ms", it.resign_limit);
    return it;
}

} // namespace banyanshunt
