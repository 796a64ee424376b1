#pragma once

/// \file
/// The ledger of the shares that one host owns. The bound over all hosts depends on what each of
/// them debits, lends and borrows.
///
/// The amount that all hosts could spend at once is the sum of their levels and of the outstanding
/// loans. A lender debits a loan before it responds, and its depth stays lowered by the loan until
/// the loan has ended. So that amount never exceeds the sum of the depths, and it grows no faster
/// than the sum of the rates. The ledger reads no clock and no socket.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/share_bucket.hpp"
#include "coordination/share_messages.hpp"

namespace banyanshunt
{

struct share_ledger_options
{
    /// How long a borrower may spend a loan, counted from before it sent the request.
    milliseconds loan_duration{2000};
    /// How much longer the lender keeps its depth lowered; covers the drift between two clocks.
    milliseconds loan_margin{500};
    /// If no request waits for a loan, a lender lends only the tokens above the level from which
    /// its bucket would be full within this time.
    milliseconds surplus_horizon{200};
};

/// The shares of one host. The same calls at the same times give the same results.
class share_ledger
{
public:
    explicit share_ledger(const share_ledger_options& options) : options_(options) {}

    /// Sets this host's own share of both layers. A reduction takes effect at once. Added depth
    /// starts empty, because its former owner may have spent the tokens in it. Only the first share
    /// of a resource in this incarnation starts full, if it `is_new`: then no other host can have
    /// spent from it.
    void set_share(const resource_id& resource, const layered<share_size>& size, bool is_new,
                   instant now);
    /// Gives up the share of a resource, and removes it once its loans have ended.
    void forget(const resource_id& resource, instant now);
    std::vector<resource_id> resources() const;
    bool owns(const resource_id& resource) const { return shares_.contains(resource); }

    /// Allows grants, loans and refill of this layer until `until`, and none after it.
    void confirm_until(share_layer layer, instant until) { confirmed_until_[layer] = until; }
    /// Discards the layer's refill since its last confirmed time, because another host may have
    /// owned it.
    void discard_unconfirmed(share_layer layer, instant now);

    /// Acquires `amount` from loans and the own share together, or nothing.
    bool acquire(const resource_id& resource, millitokens amount, instant now);
    /// Releases acquired tokens that were not used; returns the amount that does not fit here.
    millitokens release(const resource_id& resource, millitokens amount, instant now);
    /// The amount that could be acquired at `now`.
    millitokens available(const resource_id& resource, instant now);
    /// The depth of the own confirmed share, less outstanding loans.
    millitokens depth(const resource_id& resource, instant now);
    /// The refill rate of the own confirmed share.
    millitokens_per_second rate(const resource_id& resource, instant now) const;

    /// Creates and records a request for tokens; call it before the request is sent.
    token_request make_request(const resource_id& resource, millitokens amount, milliseconds waited,
                               instant now);
    /// Debits and returns a loan for a peer's request, and leaves at least `kept` here. The amount
    /// may be less than requested, or 0. Permits are never lent: a lost response would lose them
    /// permanently.
    token_loan lend(const token_request& request, millitokens kept, instant now);
    /// Accepts a loan from `lender`. Delayed, repeated and unrequested loans are discarded.
    void accept_loan(const host_incarnation& lender, const token_loan& loan, instant now);
    /// Ends a loan that this host gave. Repeated and delayed reports change nothing.
    void end_loan(const loan_report& report, instant now);
    /// Discards expired loans of both kinds.
    void expire(instant now);
    /// Returns borrowed loans that expire before `limit`, by reports to their lenders.
    void return_loans(instant limit, instant now);
    /// Returns all borrowed loans of one resource.
    void return_loans(const resource_id& resource, instant now);
    /// Removes and returns the reports of ended loans for `lender`.
    std::vector<loan_report> drain_reports(const host_incarnation& lender);
    /// Lenders for which reports are pending.
    std::vector<host_incarnation> lenders_to_notify() const;

    /// Whether all loans to peers and permits in use fit the own share. Only then is a reduction of
    /// the share complete.
    bool cut_is_complete(instant now);
    /// Whether any loan that this host gave may be unspent.
    bool has_open_loans(instant now);

private:
    struct borrowed_loan
    {
        host_incarnation lender;
        share_number loan;
        millitokens left;
        instant expires;
    };
    struct lent_loan
    {
        resource_id resource;
        layered<millitokens> amounts;
        instant expires;
    };
    struct open_request
    {
        resource_id resource;
        instant expires;
    };
    struct owned_share
    {
        explicit owned_share(instant now) : buckets{share_bucket(now), share_bucket(now)} {}

        layered<share_bucket> buckets;
        std::vector<borrowed_loan> borrowed;
        bool forgotten = false;
    };

    owned_share* find(const resource_id& resource);
    bool confirmed(share_layer layer, instant now) const { return now < confirmed_until_[layer]; }
    instant refill_limit(share_layer layer, instant now) const
    {
        return std::min(now, confirmed_until_[layer]);
    }
    millitokens own_level(owned_share& share, instant now);
    void close_loan(const lent_loan& loan, millitokens returned, instant now);
    void report(const borrowed_loan& loan);

    share_ledger_options options_;
    void fill_first_share(const resource_id& resource, share_layer layer, bool is_new, instant now);

    layered<instant> confirmed_until_{instant::min(), instant::min()};
    std::map<resource_id, owned_share> shares_;
    /// The resources of which this incarnation has ever owned a share.
    layered<std::set<resource_id>> ever_owned_;
    std::map<share_number, lent_loan> lent_;
    std::map<share_number, open_request> open_requests_;
    std::map<host_incarnation, std::vector<loan_report>> reports_;
    share_number last_number_;
};

} // namespace banyanshunt
