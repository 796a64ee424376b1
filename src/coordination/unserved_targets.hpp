#pragma once

/// \file
/// Models and adapters that callers of one host request again and again and that it never serves.
///
/// It answers a load pattern in which refusals of a rare target are too few to show in any total:
/// a target that nobody loads is refused a few times a minute while all others are served.

#include <map>

#include "coordination/backend_table.hpp"

namespace banyanshunt
{

struct unserved_targets_options
{
    /// A target counts once it was requested this often over this long without being served.
    int min_requests = 3;
    milliseconds min_span{4000};
    /// A target that is not requested for this long is forgotten.
    milliseconds forget_after{60000};
};

class unserved_targets
{
public:
    /// What a request's end changed.
    enum class change
    {
        none,
        /// The target counts as unserved from now on.
        became_unserved,
        /// The target counted as unserved and was served now.
        served_again,
    };

    explicit unserved_targets(unserved_targets_options options) : options_(options) {}

    /// Records the end of a request that its workspace was entitled to.
    change record(const model_target& target, bool served, instant now);
    /// How many targets count as unserved.
    std::size_t count(instant now);
    /// How often the target was requested since it was last served.
    int requests(const model_target& target) const;

private:
    struct record_of_target
    {
        int requests = 0;
        instant first;
        instant last;
        bool unserved = false;
    };

    unserved_targets_options options_;
    /// Targets that were requested since they were last served.
    std::map<model_target, record_of_target> targets_;
};

} // namespace banyanshunt
