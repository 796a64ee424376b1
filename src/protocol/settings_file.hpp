#pragma once

/// \file
/// Reads INI settings. Each value is queried by section, name, type and range; every error is
/// collected as "file:line: what is wrong and what is allowed", so that one run of
/// `--check` shows them all.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// The values of one INI file, read once and then queried by name.
class settings_file
{
public:
    /// Reads the file; a file that cannot be read is reported in `errors`.
    static settings_file read(const std::string& path);
    /// Reads settings from text; `path` is used in messages only.
    static settings_file parse(const std::string& text, const std::string& path);

    /// The value of a setting, or `otherwise`; a missing setting without `otherwise` is an error.
    std::string text(const std::string& section, const std::string& name,
                     const std::optional<std::string>& otherwise = {});
    /// A whole number within [lowest, highest].
    std::int64_t integer(const std::string& section, const std::string& name, std::int64_t lowest,
                         std::int64_t highest, std::optional<std::int64_t> otherwise = {});
    /// A duration in milliseconds, from 1 to a day.
    milliseconds duration(const std::string& section, const std::string& name,
                          std::optional<milliseconds> otherwise = {});
    /// "yes" or "no".
    bool boolean(const std::string& section, const std::string& name,
                 std::optional<bool> otherwise = {});
    /// An IP address and a port, such as "127.0.0.1:8080".
    std::string address(const std::string& section, const std::string& name,
                        const std::optional<std::string>& otherwise = {});

    /// Reports an error in a value that was read, for checks that span several values.
    void report_error(const std::string& section, const std::string& name,
                      const std::string& message);

    /// Every "[section] name" that was queried so far, whether it was set or not.
    const std::set<std::string>& queried_names() const { return queried_; }

    /// All errors, including unknown names. Call it after the last value was queried.
    std::vector<std::string> errors() const;

private:
    struct value_at
    {
        std::string value;
        int line = 0;
        bool queried = false;
    };

    value_at* find(const std::string& section, const std::string& name);
    void report_missing(const std::string& section, const std::string& name);
    void report_invalid(const value_at& at, const std::string& section, const std::string& name,
                        const std::string& allowed);

    std::string path_;
    std::map<std::string, std::map<std::string, value_at>> sections_;
    std::vector<std::string> errors_;
    std::set<std::string> queried_;

    friend struct settings_parser;
};

} // namespace banyanshunt
