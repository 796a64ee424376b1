#pragma once

/// \file
/// Defines the bucket of one layer of one owned share, because loans and places in use lower its
/// depth for as long as they last.

#include <array>

#include "coordination/token_bucket.hpp"

namespace banyanshunt
{

/// A share is owned in two halves that differ in what their owner must have heard to use them.
enum class share_layer : std::size_t
{
    /// Needs a fresh read of the log, or a fresh promise of every other member of the domain; moves
    /// on from a dead owner within seconds.
    confirmed,
    /// Stays usable through a long outage with neither; moves on from a dead owner after it.
    outage,
};

inline constexpr std::array all_layers = {share_layer::confirmed, share_layer::outage};

/// One value for each layer.
template <class Value>
struct layered
{
    Value confirmed;
    Value outage;

    Value& operator[](share_layer layer)
    {
        return layer == share_layer::confirmed ? confirmed : outage;
    }
    const Value& operator[](share_layer layer) const
    {
        return layer == share_layer::confirmed ? confirmed : outage;
    }
    friend bool operator==(const layered&, const layered&) = default;
};

/// A share of one resource.
struct share_size
{
    millitokens_per_second rate;
    millitokens depth;
    /// Whether the resource is a number of places that are held and given back, such as loads at
    /// once. Places do not refill, so a gained one comes free instead of empty.
    bool permits = false;
    friend bool operator==(const share_size&, const share_size&) = default;
};

/// A token bucket whose depth is that of the share, less loans given and places in use.
class share_bucket
{
public:
    /// Begins without a share.
    explicit share_bucket(instant now);

    void resize(const share_size& size, instant now);
    /// Fills the bucket up to the depth in force.
    void fill(instant now);
    /// Takes what is there of `amount` and returns it.
    millitokens acquire_up_to(millitokens amount, instant now);
    /// Puts back what fits of `amount` and returns it.
    millitokens release_up_to(millitokens amount, instant now);
    /// Takes `amount`, which must be there, and lowers the depth by it.
    void lend(millitokens amount, instant now);
    /// Raises the depth again by `lent`, and puts `returned` back.
    void end_loan(millitokens lent, millitokens returned, instant now);
    millitokens level(instant now) { return bucket_.level(now); }
    void skip_refill(instant from, instant to) { bucket_.skip_refill(from, to); }

    const share_size& size() const { return size_; }
    /// The depth in force.
    millitokens depth() const { return bucket_.depth(); }
    /// Loans given and places in use.
    millitokens outstanding() const { return out_; }

private:
    void reshape(instant now);

    share_size size_;
    millitokens out_;
    token_bucket bucket_;
};

} // namespace banyanshunt
