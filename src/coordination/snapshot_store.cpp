#include "coordination/snapshot_store.hpp"

#include <fmt/format.h>

namespace banyanshunt
{

record_id chunk_id(const snapshot_entry& entry, std::int64_t chunk)
{
    return record_id(fmt::format("{}.{}", entry.name, chunk));
}

failure chunks_missing(const snapshot_entry& entry)
{
    return {.run = run_state::not_run,
            .code = errc::records_expired,
            .detail = fmt::format("not all chunks of snapshot {} are kept", entry.name),
            .retry_after = {}};
}

} // namespace banyanshunt
