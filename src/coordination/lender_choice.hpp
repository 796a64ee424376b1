#pragma once

/// \file
/// Selects the peers from which a host borrows the tokens that a pending request lacks.
///
/// Answers the load pattern in which many hosts lack tokens at the same time and know the lendable
/// tokens of their peers only from reports that are a second old. If all chose the peer with the
/// highest report, it would run out of tokens while others are full. So each host draws lenders at
/// random, weighted by their reports.

#include <random>
#include <vector>

#include "coordination/token_bucket.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

/// The tokens that a peer could lend, by its last report less the amounts requested from it since.
struct lender_offer
{
    host_id host;
    millitokens lendable;
    /// Whether the peer is in the own failure domain.
    bool same_domain = false;
};

/// The amount to request from one lender.
struct lender_request
{
    host_id host;
    millitokens amount;
};

/// Splits `missing` over at most `max_lenders` lenders. Lenders of the own domain come first if
/// they reported several times the missing amount.
std::vector<lender_request> choose_lenders(std::vector<lender_offer> offers, millitokens missing,
                                           std::size_t max_lenders, std::mt19937_64& random);

} // namespace banyanshunt
