#pragma once

/// \file
/// The platform's rule on orders to one model engine: fencing numbers never decrease, no two hosts
/// ever have the same one, and the orders of two hosts are at least a lease apart, whatever the
/// engine responds. Source: the platform documentation of its rules.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace banyanshunt
{

/// An order that a model engine received, whatever it responded.
struct received_order
{
    std::chrono::steady_clock::time_point at;
    std::string holder;
    std::int64_t fence = 0;
    /// 0 while it is not carried out, and if it was refused without a reason.
    int status = 0;
    /// It got no response, and is carried out later than it arrived.
    bool is_late = false;
    /// When it was carried out; nothing while it is not.
    std::optional<std::chrono::steady_clock::time_point> carried_out_at = {};
};

/// The moment by which orders are judged. The platform documentation does not say which one counts.
enum class order_dating
{
    arrival,
    effect,
};

/// The time of an order by one dating; nothing if the order has no such time yet.
std::optional<std::chrono::steady_clock::time_point> order_time(const received_order& order,
                                                                order_dating dating);

enum class order_breach_kind
{
    lower_fence,
    shared_fence,
    within_lease,
};

const char* to_text(order_breach_kind it);

/// Two orders to one engine that break the rule, as indices into the orders that were judged.
struct order_breach
{
    order_breach_kind kind = order_breach_kind::lower_fence;
    std::size_t before = 0;
    std::size_t after = 0;
};

struct order_judgement
{
    std::vector<order_breach> breaches;
    std::size_t judged = 0;
    std::size_t excused = 0;
};

/// Judges all orders to one engine. `is_excused` is given each order: the rule excuses those that
/// arrive shortly after their sender was resumed or after the link that held them up went on.
order_judgement judge_orders(const std::vector<received_order>& orders, order_dating dating,
                             std::chrono::milliseconds lease,
                             const std::function<bool(const received_order&)>& is_excused);

/// One line for a breach, with the times of both orders after `begun`.
std::string describe(const order_breach& breach, const std::vector<received_order>& orders,
                     order_dating dating, std::chrono::steady_clock::time_point begun);

} // namespace banyanshunt
