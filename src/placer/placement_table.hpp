#pragma once

/// \file
/// The placement of all domains' servers, as a placer knows it: its own domain's from its own steps
/// while it holds the leases, the rest from other placers. Each change gets a new version, so that
/// unchanged placements are not sent again.

#include <map>
#include <mutex>
#include <optional>

#include "transport/placement_rpc.hpp"

namespace banyanshunt
{

/// The placement of one domain.
struct domain_placement
{
    std::vector<placed_server> servers;
    std::vector<expected_ready> expected;
};

/// Safe from any thread.
class placement_table
{
public:
    /// `first_version` must differ between incarnations of the process.
    placement_table(domain_id own, std::int64_t first_version)
        : own_domain_(std::move(own)), version_(first_version)
    {
    }

    /// Replaces the placement of one domain.
    void put(const domain_id& domain, domain_placement it);
    /// Replaces the placement of domain `only`, or of all domains if it is empty, by a response. An
    /// unchanged response replaces only the expected loads.
    void apply(const placement_response& response, const std::optional<domain_id>& only);

    /// Fills the response to `it`: all domains' servers, or only the own domain's for a demand from
    /// another domain.
    void fill(const demand& it, placement_response& response) const;

private:
    void put_locked(const domain_id& domain, domain_placement it);

    mutable std::mutex mutex_;
    domain_id own_domain_;
    std::int64_t version_;
    std::map<domain_id, domain_placement> domains_;
};

} // namespace banyanshunt
