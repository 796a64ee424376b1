#include "coordination/duty_turn.hpp"

namespace banyanshunt
{

namespace
{

constexpr std::string_view begun_mark = " begun";

} // namespace

std::string to_text(const duty_record& record)
{
    return record.holder.str() + std::string(record.turn_begun ? begun_mark : "");
}

std::optional<duty_record> read_duty_record(std::string_view text)
{
    bool begun = text.ends_with(begun_mark);
    text.remove_suffix(begun ? begun_mark.size() : 0);
    if (text.empty() || text.find(' ') != std::string_view::npos)
    {
        return std::nullopt;
    }
    return duty_record{.holder = host_id(std::string(text)), .turn_begun = begun};
}

milliseconds turn_wait(bool first, const std::optional<duty_record>& before, const host_id& own,
                       milliseconds turn_over)
{
    bool own_turn = before && before->holder == own && before->turn_begun;
    return first || own_turn ? milliseconds(0) : turn_over;
}

} // namespace banyanshunt
