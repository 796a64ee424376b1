#pragma once

/// \file
/// Defines what a placer knows of all domains' servers: its own domain's from its own steps while
/// it holds the leases, and the rest from other placers. Each change gets a new version, so that
/// what has not changed is not sent again.

#include <map>
#include <mutex>
#include <optional>

#include "transport/placement_rpc.hpp"

namespace banyanshunt
{

/// What is known of one domain.
struct domain_placement
{
    std::vector<placed_server> servers;
    std::vector<expected_ready> expected;
};

/// Safe from any thread.
class placement_table
{
public:
    /// `first_version` differs from one life of the process to the next.
    placement_table(domain_id own, std::int64_t first_version)
        : own_(std::move(own)), version_(first_version)
    {
    }

    /// Replaces what is known of one domain.
    void put(const domain_id& domain, domain_placement it);
    /// Replaces what is known of `only` that domain, or of all, by an answer. An unchanged answer
    /// brings only what is expected.
    void apply(const placement_response& answer, const std::optional<domain_id>& only);

    /// Fills an answer to `definition`: all domains' servers, or the own domain's for another
    /// domain.
    void fill(const demand& it, placement_response& answer) const;

private:
    void put_locked(const domain_id& domain, domain_placement it);

    mutable std::mutex mutex_;
    domain_id own_;
    std::int64_t version_;
    std::map<domain_id, domain_placement> domains_;
};

} // namespace banyanshunt
