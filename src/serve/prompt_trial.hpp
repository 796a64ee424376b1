#pragma once

/// \file
/// Holds the suspected parts of a request's prompt while it is at a server, so that no other
/// request of this host is sent with them.

#include <utility>
#include <vector>

#include "serve/host_context.hpp"

namespace banyanshunt
{

class prompt_trial
{
public:
    /// Not held if another request holds one of the parts.
    prompt_trial(host_context& context, const std::vector<prompt_part>& parts)
        : context_(context), reserved_(context.quarantine.begin_trial(parts))
    {
    }
    ~prompt_trial()
    {
        if (reserved_ && !reserved_->empty())
        {
            context_.quarantine.end_trial(*reserved_);
            context_.waiting.wake(host_context::quarantine_wait_key);
        }
    }
    prompt_trial(const prompt_trial&) = delete;
    prompt_trial& operator=(const prompt_trial&) = delete;

    bool held() const { return reserved_.has_value(); }

private:
    host_context& context_;
    std::optional<std::vector<prompt_part>> reserved_;
};

} // namespace banyanshunt
