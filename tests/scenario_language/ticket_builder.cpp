#include "scenario_language/ticket_builder.hpp"

#include <fmt/format.h>

namespace banyanshunt::scenario
{

void ticket_builder::put(const std::string& kind, const std::string& name,
                         const std::string& object)
{
    members_[kind][name] = object;
}

std::string ticket_builder::build(std::int64_t number)
{
    std::string text = fmt::format(R"({{"format":1,"ticket":{})", number);
    for (const auto& [kind, objects] : members_)
    {
        std::vector<std::string> members;
        for (const auto& [name, object] : objects)
        {
            members.push_back(fmt::format(R"("{}":{})", name, object));
        }
        text += fmt::format(R"(,"{}":{{{}}})", kind, fmt::join(members, ","));
    }
    members_.clear();
    return text + "}";
}

} // namespace banyanshunt::scenario
