#pragma once

/// \file
/// Defines whom a host asks for tokens that a request in hand lacks.
///
/// It answers the pattern in which many hosts lack tokens at once and know what peers could lend
/// only from reports that are a second old: if all asked the one that told the most, it would run
/// dry while others are full. So each draws a lender at random, weighted by what it told.

#include <random>
#include <vector>

#include "coordination/token_bucket.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

/// What a peer could lend, by its last report and what was asked of it since.
struct lender_offer
{
    host_id host;
    millitokens lendable;
    /// In the own failure domain.
    bool same_domain = false;
};

/// What to ask of one lender.
struct lender_request
{
    host_id host;
    millitokens amount;
};

/// Splits `pending_reloads` over lenders, `most` at the most. Lenders of the own domain come first
/// if what they told is several times what is missing.
std::vector<lender_request> choose_lenders(std::vector<lender_offer> offers, millitokens missing,
                                           std::size_t most, std::mt19937_64& random);

} // namespace banyanshunt
