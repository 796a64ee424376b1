#include "entry/share_settings.hpp"

namespace banyanshunt
{

share_settings read_share_settings(settings_file& file)
{
    share_settings it;
    it.policy = file.text("shares", "policy", it.policy);
    if (it.policy != "owned" && it.policy != "fixed")
    {
        file.report_error("shares", "policy", "must be owned or fixed");
    }
    constexpr std::int64_t max_domains = 1000;
    // No default for owned shares: a host set to fewer domains than there are would own too much.
    std::optional<std::int64_t> default_domains;
    if (it.policy == "fixed")
    {
        default_domains = it.domains;
    }
    it.domains =
        static_cast<int>(file.integer("shares", "domains", 1, max_domains, default_domains));
    it.lease_duration = file.duration("shares", "lease_ms", it.lease_duration);
    it.max_outage = file.duration("shares", "outage_ms", it.max_outage);
    it.loan_duration = file.duration("shares", "loan_ms", it.loan_duration);
    it.call_timeout = file.duration("shares", "call_limit_ms", it.call_timeout);
    it.resign_timeout = file.duration("shares", "resign_limit_ms", it.resign_timeout);
    return it;
}

} // namespace banyanshunt
