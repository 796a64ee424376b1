#include "coordination/assignment_record.hpp"

namespace banyanshunt
{

namespace
{

constexpr std::string_view begun_mark = " begun";

} // namespace

std::string to_text(const assignment_record& record)
{
    return record.holder.str() + std::string(record.takeover_complete ? begun_mark : "");
}

std::optional<assignment_record> parse_assignment_record(std::string_view text)
{
    bool begun = text.ends_with(begun_mark);
    text.remove_suffix(begun ? begun_mark.size() : 0);
    if (text.empty() || text.find(' ') != std::string_view::npos)
    {
        return std::nullopt;
    }
    return assignment_record{.holder = host_id(std::string(text)), .takeover_complete = begun};
}

milliseconds takeover_delay(bool first, const std::optional<assignment_record>& before,
                            const host_id& own, milliseconds turn_over)
{
    bool own_turn = before && before->holder == own && before->takeover_complete;
    return first || own_turn ? milliseconds(0) : turn_over;
}

} // namespace banyanshunt
