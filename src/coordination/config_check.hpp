#pragma once

/// \file
/// Finds what is wrong with a serving configuration before it is sent: entries that can never
/// match, limits that contradict each other, and differences from the version in effect.
///
/// It addresses changes by operators that parse and are accepted, but reject or misroute callers'
/// requests once they are in effect. Pure.

#include <string>
#include <vector>

#include "state/serving_config.hpp"

namespace banyanshunt
{

struct config_finding
{
    enum class finding_kind
    {
        /// Hosts do not accept the configuration.
        error,
        /// An entry that has no effect.
        never_matches,
        /// Limits or references that contradict each other.
        contradiction,
        /// A difference from the version in effect.
        difference,
    };

    finding_kind kind;
    /// The path of the entry or field, such as "routes.r-1.timeout".
    std::string key;
    std::string reason;
};

const char* to_string(config_finding::finding_kind kind);

/// Entries that can never match, and contradictions. API keys are abbreviated.
std::vector<config_finding> check_config(const serving_config& config);

/// Differences of `config` from the version in effect, and an error if hosts would ignore `config`
/// because its version is not higher.
std::vector<config_finding> compare_configs(const serving_config& in_effect,
                                            const serving_config& config);

} // namespace banyanshunt
