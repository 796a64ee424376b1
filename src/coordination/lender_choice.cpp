#include "coordination/lender_choice.hpp"

#include <algorithm>

namespace banyanshunt
{

namespace
{

/// A lender of the own domain comes first if it reported at least this many times the missing
/// amount: its lendable tokens then cover requests of some other hosts as well.
constexpr std::int64_t same_domain_surplus_factor = 3;
constexpr millitokens zero_tokens(0);

std::size_t choose_weighted(const std::vector<lender_offer>& offers, std::mt19937_64& random)
{
    std::int64_t sum = 0;
    for (const auto& it : offers)
    {
        sum += it.lendable.count();
    }
    auto remaining_weight =
        std::uniform_int_distribution<std::int64_t>(0, std::max<std::int64_t>(sum - 1, 0))(random);
    for (std::size_t n = 0; n < offers.size(); ++n)
    {
        remaining_weight -= offers[n].lendable.count();
        if (remaining_weight < 0)
        {
            return n;
        }
    }
    return 0;
}

} // namespace

std::vector<lender_request> choose_lenders(std::vector<lender_offer> offers, millitokens missing,
                                           std::size_t max_lenders, std::mt19937_64& random)
{
    std::erase_if(offers, [](const auto& it) { return it.lendable <= zero_tokens; });
    std::vector<lender_request> requests;
    while (!offers.empty() && missing > zero_tokens && requests.size() < max_lenders)
    {
        auto chosen = std::find_if(offers.begin(), offers.end(),
                                   [&](const auto& it) {
                                       return it.same_domain &&
                                              it.lendable.count() >=
                                                  same_domain_surplus_factor * missing.count();
                                   });
        if (chosen == offers.end())
        {
            chosen = offers.begin() + static_cast<std::ptrdiff_t>(choose_weighted(offers, random));
        }
        millitokens amount = std::min(chosen->lendable, missing);
        requests.push_back({.host = chosen->host, .amount = amount});
        missing -= amount;
        offers.erase(chosen);
    }
    return requests;
}

} // namespace banyanshunt
