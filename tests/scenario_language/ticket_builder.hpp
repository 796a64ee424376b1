#pragma once

/// \file
/// Defines the draft of a scenario's next ticket, which statements fill until it is published.

#include <map>
#include <string>
#include <vector>

namespace banyanshunt::scenario
{

/// A ticket's parts as JSON members, by kind and name.
class ticket_builder
{
public:
    void put(const std::string& kind, const std::string& name, const std::string& object);
    /// The text of the ticket; the draft is empty afterwards.
    std::string build(std::int64_t number);

private:
    std::map<std::string, std::map<std::string, std::string>> parts_;
};

} // namespace banyanshunt::scenario
