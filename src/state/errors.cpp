#include "state/errors.hpp"

#include <array>
#include <string>

namespace banyanshunt
{
namespace
{

constexpr std::array error_names = {
    "ok",
    "bad_request",
    "key_missing",
    "key_refused",
    "not_found",
    "over_rate",
    "queue_full",
    "deadline",
    "no_replica",
    "draining",
    "state_unavailable",
    "idempotency_mismatch",
    "claim_unavailable",
    "fenced",
    "memory_full",
    "unreachable",
    "timeout",
    "bad_answer",
    "records_expired",
    "platform_busy",
    "unavailable",
    "cancelled",
    "ticket_malformed",
    "ticket_out_of_order",
    "already_claimed",
    "already_ran",
};

class category final : public std::error_category
{
public:
    const char* name() const noexcept override { return "banyanshunt"; }

    std::string message(int value) const override
    {
        if (value < 0 || static_cast<std::size_t>(value) >= error_names.size())
        {
            return "unknown";
        }
        return error_names[static_cast<std::size_t>(value)];
    }
};

} // namespace

const std::error_category& banyanshunt_category()
{
    static const category it;
    return it;
}

const char* to_string(errc code)
{
    return error_names.at(static_cast<std::size_t>(code));
}

} // namespace banyanshunt
