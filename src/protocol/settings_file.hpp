#pragma once

/// \file
/// Defines the reading of INI settings. Each value is asked for by section, name, type and range;
/// every mistake is collected as "file:line: what is wrong and what is allowed", so that one run of
/// `--check` shows them all.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// The values of one INI file, read once and then asked for by name.
class settings_file
{
public:
    /// Reads the file; a file that cannot be read is one of the mistakes.
    static settings_file read(const std::string& path);
    /// Reads settings from text; `path` is used in messages only.
    static settings_file parse(const std::string& text, const std::string& path);

    /// Text that must be there, or `otherwise`.
    std::string text(const std::string& section, const std::string& name,
                     const std::optional<std::string>& otherwise = {});
    /// A whole number within [lowest, highest].
    std::int64_t integer(const std::string& section, const std::string& name, std::int64_t lowest,
                         std::int64_t highest, std::optional<std::int64_t> otherwise = {});
    /// A time in milliseconds, from 1 to a day.
    milliseconds duration(const std::string& section, const std::string& name,
                          std::optional<milliseconds> otherwise = {});
    /// "yes" or "no".
    bool boolean(const std::string& section, const std::string& name,
                 std::optional<bool> otherwise = {});
    /// An IP address and a port, such as "127.0.0.1:8080".
    std::string address(const std::string& section, const std::string& name,
                        const std::optional<std::string>& otherwise = {});

    /// Notes a mistake about a value that was read, for checks that span several values.
    void report_error(const std::string& section, const std::string& name,
                      const std::string& message);

    /// Every "[section] name" that was asked for so far, whether it was set or not.
    const std::set<std::string>& queried_names() const { return asked_; }

    /// All mistakes, unknown names among them. Call it after the last value was asked for.
    std::vector<std::string> errors() const;

private:
    struct value_at
    {
        std::string value;
        int line = 0;
        bool asked = false;
    };

    value_at* find(const std::string& section, const std::string& name);
    void missing(const std::string& section, const std::string& name);
    void wrong(const value_at& at, const std::string& section, const std::string& name,
               const std::string& allowed);

    std::string path_;
    std::map<std::string, std::map<std::string, value_at>> sections_;
    std::vector<std::string> mistakes_;
    std::set<std::string> asked_;

    friend struct settings_parser;
};

} // namespace banyanshunt
