#include "coordination/connection_limit.hpp"

namespace banyanshunt
{

connection_number connection_limit::add()
{
    connection_number added(++last_number_);
    awaited_since_[added] = 0;
    end_request(added);
    return added;
}

void connection_limit::begin_request(connection_number connection)
{
    auto it = awaited_since_.find(connection);
    if (it != awaited_since_.end())
    {
        by_turn_.erase(it->second);
        it->second = 0;
    }
}

void connection_limit::end_request(connection_number connection)
{
    auto it = awaited_since_.find(connection);
    if (it != awaited_since_.end() && it->second == 0)
    {
        it->second = ++last_turn_;
        by_turn_.emplace(it->second, connection);
    }
}

void connection_limit::remove(connection_number connection)
{
    begin_request(connection);
    awaited_since_.erase(connection);
}

std::optional<connection_number> connection_limit::excess() const
{
    return open() <= max_open_ || by_turn_.empty() ? std::nullopt
                                                   : std::optional(by_turn_.begin()->second);
}

} // namespace banyanshunt
