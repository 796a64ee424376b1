#include "entry/request_settings.hpp"

namespace banyanshunt
{

request_settings read_request_settings(settings_file& file)
{
    constexpr std::int64_t most_slots = 4096;
    constexpr std::int64_t most_percent = 100;
    constexpr std::int64_t most_appends = 1000;
    const request_settings defaults;
    request_settings it;
    it.slots = static_cast<int>(
        file.integer("requests", "slots_per_replica", 1, most_slots, defaults.slots));
    it.retry_percent = static_cast<int>(
        file.integer("requests", "retry_percent", 0, most_percent, defaults.retry_percent));
    it.claim_appends = static_cast<int>(
        file.integer("requests", "claim_appends", 1, most_appends, defaults.claim_appends));
    it.claim_limit = file.duration("requests", "claim_ms", defaults.claim_limit);
    it.drain_notice = file.duration("requests", "drain_notice_ms", defaults.drain_notice);
    return it;
}

} // namespace banyanshunt
