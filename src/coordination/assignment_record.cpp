#include "coordination/assignment_record.hpp"

namespace banyanshunt
{

namespace
{

constexpr std::string_view complete_suffix = " begun";

} // namespace

std::string to_text(const assignment_record& record)
{
    return record.holder.str() + std::string(record.takeover_complete ? complete_suffix : "");
}

std::optional<assignment_record> parse_assignment_record(std::string_view text)
{
    bool complete = text.ends_with(complete_suffix);
    text.remove_suffix(complete ? complete_suffix.size() : 0);
    if (text.empty() || text.find(' ') != std::string_view::npos)
    {
        return std::nullopt;
    }
    return assignment_record{.holder = host_id(std::string(text)), .takeover_complete = complete};
}

milliseconds takeover_delay(bool first, const std::optional<assignment_record>& before,
                            const host_id& own, milliseconds expiry)
{
    bool was_own = before && before->holder == own && before->takeover_complete;
    return first || was_own ? milliseconds(0) : expiry;
}

} // namespace banyanshunt
