#pragma once

/// \file
/// Defines the ledger of the shares that one host owns, because the bound over all hosts rests on
/// what each of them debits, lends and borrows.
///
/// What all hosts could spend at once is the sum of their levels and of the loans under way. A
/// lender debits before it answers, and its depth stays lowered by the loan until the loan has
/// ended, so that sum never exceeds the sum of the depths, and it grows no faster than the sum of
/// the rates. Nothing here reads a clock or a socket.

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
    /// How long a borrower may spend a loan, counted from before it asked.
    milliseconds loan_duration{2000};
    /// By how much longer the lender keeps its depth lowered; covers the drift of two clocks.
    milliseconds loan_margin{500};
    /// A lender gives unneeded tokens only above the level that is full within this time.
    milliseconds surplus_horizon{200};
};

/// The shares of one host. The same calls at the same times give the same answers.
class share_ledger
{
public:
    explicit share_ledger(const share_ledger_options& options) : options_(options) {}

    /// Sets this host's own share of both layers. A cut takes effect at once. A gain in depth comes
    /// empty, as the old owner may have spent what was in it; only the first share of a resource
    /// in this life comes full, if it `is_new`: nobody else can have spent from it.
    void set_share(const resource_id& resource, const layered<share_size>& size, bool is_new,
                   instant now);
    /// Gives up the share of a resource, and drops it once its loans have ended.
    void forget(const resource_id& resource, instant now);
    std::vector<resource_id> resources() const;
    bool owns(const resource_id& resource) const { return shares_.contains(resource); }

    /// Nothing of this layer is granted, lent or refilled past `until`.
    void confirm_until(share_layer layer, instant until) { confirmed_until_[layer] = until; }
    /// Discards the layer's refill since its last confirmed time: another host may have had it.
    void discard_unconfirmed(share_layer layer, instant now);

    /// Takes `amount` from loans and the own share together, or nothing.
    bool acquire(const resource_id& resource, millitokens amount, instant now);
    /// Puts back what was taken and not used; returns what does not fit here.
    millitokens release(const resource_id& resource, millitokens amount, instant now);
    /// What could be taken at `now`.
    millitokens available(const resource_id& resource, instant now);
    /// The depth of the own share in force, less what is lent.
    millitokens depth(const resource_id& resource, instant now);
    /// The rate at which the own share in force fills.
    millitokens_per_second rate(const resource_id& resource, instant now) const;

    /// Notes an ask that goes out at `now`, before it is sent.
    token_request make_request(const resource_id& resource, millitokens amount, milliseconds waited,
                               instant now);
    /// Answers a peer's ask, debiting first, and leaves at least `kept` here. The amount may be
    /// less than asked for, or 0. Places are never lent: a lost answer would lose them for good.
    token_loan lend(const token_request& asked, millitokens kept, instant now);
    /// Takes an answer of `lender`. One that is late, repeated or unasked for is discarded.
    void accept_loan(const host_incarnation& lender, const token_loan& loan, instant now);
    /// Ends a loan that this host gave. Repeated and late reports change nothing.
    void end_loan(const loan_report& report, instant now);
    /// Discards expired loans of both kinds.
    void expire(instant now);
    /// Gives back to their lenders, by reports, the loans that expire before `limit`.
    void return_loans(instant limit, instant now);
    /// The same for all loans of one resource.
    void return_loans(const resource_id& resource, instant now);
    /// The ends of loans to tell to `lender`, each once.
    std::vector<loan_report> drain_reports(const host_incarnation& lender);
    /// Lenders for which there are reports.
    std::vector<host_incarnation> lenders_to_notify() const;

    /// Whether all loans given, and places in use, fit the own share: only then is a cut complete.
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
        layered<millitokens> parts;
        instant expires;
    };
    struct open_ask
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
    instant counted(share_layer layer, instant now) const
    {
        return std::min(now, confirmed_until_[layer]);
    }
    millitokens own_level(owned_share& share, instant now);
    void close_loan(const lent_loan& loan, millitokens returned, instant now);
    void report(const borrowed_loan& loan);

    share_ledger_options options_;
    void fill_if_first(const resource_id& resource, share_layer layer, bool is_new, instant now);

    layered<instant> confirmed_until_{instant::min(), instant::min()};
    std::map<resource_id, owned_share> shares_;
    /// The resources of which this life has had a share, be it given up since.
    layered<std::set<resource_id>> begun_;
    std::map<share_number, lent_loan> lent_;
    std::map<share_number, open_ask> asked_;
    std::map<host_incarnation, std::vector<loan_report>> reports_;
    share_number next_;
};

} // namespace banyanshunt
