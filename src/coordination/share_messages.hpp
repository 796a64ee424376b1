#pragma once

/// \file
/// Defines what hosts say to each other about owned shares, because loans, their ends, refunds and
/// what each host has read of the membership travel in one call.

#include <vector>

#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Names what is shared: a workspace's tokens, or a limit of the weight store.
using resource_id = strong_text<struct resource_id_tag>;
/// Numbers the asks, loans and refunds of one life of a host.
using share_number = strong_number<struct share_number_tag>;

/// One life of a host. A replaced host owns nothing of the life before it.
struct host_incarnation
{
    host_id host;
    incarnation_id incarnation;
    friend bool operator==(const host_incarnation&, const host_incarnation&) = default;
    friend auto operator<=>(const host_incarnation&, const host_incarnation&) = default;
};

/// A borrower's wish for tokens.
struct token_request
{
    share_number number;
    resource_id resource;
    millitokens amount;
    /// How long the request that needs them has waited, at least 1 ms. If 0, none waits, and the
    /// lender gives only what it would soon lose to a full bucket.
    milliseconds waited{0};
};

/// A lender's answer to one ask. The lender has debited `amount` before it answers.
struct token_loan
{
    share_number request;
    share_number loan;
    resource_id resource;
    millitokens amount;
    /// What the lender would still lend after it.
    millitokens remaining;
};

/// The end of a loan, told to its lender: it was spent but for `returned`.
struct loan_report
{
    share_number loan;
    millitokens returned;
};

/// Unused tokens of a reservation that do not fit the host that made it.
struct token_refund
{
    share_number number;
    resource_id resource;
    millitokens amount;
};

/// How far a host has read the membership of its domain, and how far it has given up what newer
/// records took from it. Both are offsets plus 1, so that 0 means nothing yet.
struct share_progress
{
    log_offset read;
    log_offset cut;
};

struct share_call
{
    host_incarnation from;
    domain_id domain;
    share_progress progress;
    /// The host is about to stop: its tokens are free to take.
    bool leaving = false;
    std::vector<token_request> requests;
    std::vector<loan_report> reports;
    std::vector<token_refund> refunds;
};

struct share_response
{
    host_incarnation from;
    domain_id domain;
    share_progress progress;
    bool leaving = false;
    std::vector<token_loan> loans;
};

} // namespace banyanshunt
