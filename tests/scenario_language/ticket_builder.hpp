#pragma once

/// \file
/// Builds a scenario's next ticket, to which statements add objects until it is published.

#include <map>
#include <string>
#include <vector>

namespace banyanshunt::scenario
{

/// Collects the objects of a ticket as JSON members, by kind and name.
class ticket_builder
{
public:
    void put(const std::string& kind, const std::string& name, const std::string& object);
    /// Returns the text of the ticket and clears the builder.
    std::string build(std::int64_t number);

private:
    std::map<std::string, std::map<std::string, std::string>> members_;
};

} // namespace banyanshunt::scenario
