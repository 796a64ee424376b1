#include "coordination/lender_choice.hpp"

#include <algorithm>

namespace banyanshunt
{

namespace
{

/// A lender of the own domain goes first if it told so many times what is missing: its spare tokens
/// then cover some other hosts' asks as well.
constexpr std::int64_t near_surplus = 3;
constexpr millitokens nothing(0);

std::size_t draw(const std::vector<lender_offer>& offers, std::mt19937_64& random)
{
    std::int64_t sum = 0;
    for (const auto& it : offers)
    {
        sum += it.lendable.count();
    }
    auto drawn =
        std::uniform_int_distribution<std::int64_t>(0, std::max<std::int64_t>(sum - 1, 0))(random);
    for (std::size_t n = 0; n < offers.size(); ++n)
    {
        drawn -= offers[n].lendable.count();
        if (drawn < 0)
        {
            return n;
        }
    }
    return 0;
}

} // namespace

std::vector<lender_request> choose_lenders(std::vector<lender_offer> offers, millitokens missing,
                                           std::size_t most, std::mt19937_64& random)
{
    std::erase_if(offers, [](const auto& it) { return it.lendable <= nothing; });
    std::vector<lender_request> asks;
    while (!offers.empty() && missing > nothing && asks.size() < most)
    {
        auto chosen = std::find_if(offers.begin(), offers.end(),
                                   [&](const auto& it) {
                                       return it.same_domain &&
                                              it.lendable.count() >= near_surplus * missing.count();
                                   });
        if (chosen == offers.end())
        {
            chosen = offers.begin() + static_cast<std::ptrdiff_t>(draw(offers, random));
        }
        millitokens amount = std::min(chosen->lendable, missing);
        asks.push_back({.host = chosen->host, .amount = amount});
        missing -= amount;
        offers.erase(chosen);
    }
    return asks;
}

} // namespace banyanshunt
