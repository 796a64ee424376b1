#pragma once

/// \file
/// The messages about owned shares between hosts. One call carries loans, reports of their ends,
/// refunds and the sender's progress in reading the membership.

#include <vector>

#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Identifies a shared resource: a workspace's tokens, or a limit of the weight store.
using resource_id = strong_text<struct resource_id_tag>;
/// Numbers the requests, loans and refunds of one incarnation of a host.
using share_number = strong_number<struct share_number_tag>;

/// One incarnation of a host. A restarted or replaced host owns nothing of its former incarnation.
struct host_incarnation
{
    host_id host;
    incarnation_id incarnation;
    friend bool operator==(const host_incarnation&, const host_incarnation&) = default;
    friend auto operator<=>(const host_incarnation&, const host_incarnation&) = default;
};

/// A borrower's request for tokens.
struct token_request
{
    share_number number;
    resource_id resource;
    millitokens amount;
    /// How long the inference request that needs the tokens has waited, at least 1 ms. If 0, none
    /// waits, and the lender lends only the tokens that would soon be lost to a full bucket.
    milliseconds waited{0};
};

/// A lender's response to one token request. The lender debits `amount` before it responds.
struct token_loan
{
    share_number request;
    share_number loan;
    resource_id resource;
    millitokens amount;
    /// The amount that the lender would still lend after this loan.
    millitokens remaining;
};

/// The end of a loan, reported to its lender: all but `returned` was spent.
struct loan_report
{
    share_number loan;
    millitokens returned;
};

/// Unused tokens of a reservation that do not fit the share of the host that made it.
struct token_refund
{
    share_number number;
    resource_id resource;
    millitokens amount;
};

/// How far a host has read the membership records of its domain, and up to which record it has
/// given up what the records took from it. Both are offsets plus 1, so that 0 means none yet.
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
    /// The host is about to stop, so peers may borrow all its tokens.
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
