#include "entry/request_settings.hpp"

namespace banyanshunt
{

request_settings read_request_settings(settings_file& file)
{
    constexpr std::int64_t max_slots = 4096;
    constexpr std::int64_t max_percent = 100;
    constexpr std::int64_t max_appends = 1000;
    const request_settings defaults;
    request_settings it;
    it.slots_per_replica = static_cast<int>(
        file.integer("requests", "slots_per_replica", 1, max_slots, defaults.slots_per_replica));
    it.retry_percent = static_cast<int>(
        file.integer("requests", "retry_percent", 0, max_percent, defaults.retry_percent));
    it.claim_append_rate = static_cast<int>(
        file.integer("requests", "claim_appends", 1, max_appends, defaults.claim_append_rate));
    it.claim_timeout = file.duration("requests", "claim_ms", defaults.claim_timeout);
    it.drain_delay = file.duration("requests", "drain_notice_ms", defaults.drain_delay);
    return it;
}

} // namespace banyanshunt
