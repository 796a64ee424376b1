#pragma once

/// \file
/// The token bucket of one layer of one owned share. Outstanding loans and permits in use lower its
/// depth until they end.

#include <array>

#include "coordination/token_bucket.hpp"

namespace banyanshunt
{

/// A share consists of two halves, which differ in what their owner must have received recently to
/// use them.
enum class share_layer : std::size_t
{
    /// Needs a recent read of the log, or a recent promise from every other member of the domain.
    /// Passes from a dead owner to the other members within seconds.
    confirmed,
    /// Stays usable without either through a long outage. Passes from a dead owner to the other
    /// members only after that time.
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

/// The rate and depth of a share of one resource.
struct share_size
{
    millitokens_per_second rate;
    millitokens depth;
    /// Whether the resource is a number of permits that are held and released, such as concurrent
    /// loads. Permits do not refill, so added permits are available at once, while added tokens
    /// start at zero.
    bool permits = false;
    friend bool operator==(const share_size&, const share_size&) = default;
};

/// A token bucket whose depth is that of the share, less its outstanding loans and permits in use.
class share_bucket
{
public:
    /// Starts with a share of size 0.
    explicit share_bucket(instant now);

    void resize(const share_size& size, instant now);
    /// Fills the bucket up to its current depth.
    void fill(instant now);
    /// Acquires as much of `amount` as is available; returns the acquired amount.
    millitokens acquire_up_to(millitokens amount, instant now);
    /// Releases as much of `amount` as fits; returns the released amount.
    millitokens release_up_to(millitokens amount, instant now);
    /// Acquires `amount`, which must be available, and lowers the depth by it.
    void lend(millitokens amount, instant now);
    /// Raises the depth by `lent` again and releases `returned` into the bucket.
    void end_loan(millitokens lent, millitokens returned, instant now);
    millitokens level(instant now) { return bucket_.level(now); }
    void skip_refill(instant from, instant to) { bucket_.skip_refill(from, to); }

    const share_size& size() const { return size_; }
    /// The share's depth less `outstanding()`.
    millitokens depth() const { return bucket_.depth(); }
    /// The sum of loans to peers and permits in use.
    millitokens outstanding() const { return outstanding_; }

private:
    void apply_size(instant now);

    share_size size_;
    millitokens outstanding_;
    token_bucket bucket_;
};

} // namespace banyanshunt
