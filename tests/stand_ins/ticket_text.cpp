#include "stand_ins/ticket_text.hpp"

#include <fmt/format.h>

#include "coordination/key_check.hpp"

namespace banyanshunt
{

std::string ticket_text(int number, const std::vector<ticket_member>& members)
{
    std::string text = fmt::format(R"({{"format":1,"ticket":{})", number);
    for (const auto& [kind, object] : members)
    {
        bool has_braces = object.starts_with('{');
        text += fmt::format(R"(,"{}":{}{}{})", kind, has_braces ? "" : "{", object,
                            has_braces ? "" : "}");
    }
    return text + "}";
}

std::string key_text(const std::string& id, const std::string& workspace, const std::string& secret)
{
    return fmt::format(R"("{}":{{"workspace":"{}","salt":"5a","hash":"{}"}})", id, workspace,
                       salted_hash("5a", secret));
}

std::string server_text(const std::string& name, const std::string& kind,
                        const std::string& address, const std::string& domain)
{
    int memory_mib = kind == "engine" ? 80000 : 0;
    return fmt::format(
        R"("{}":{{"kind":"{}","domain":"{}","address":"{}","memory_mib":{},"checks_fencing":true}})",
        name, kind, domain, address, memory_mib);
}

} // namespace banyanshunt
