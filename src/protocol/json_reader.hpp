#pragma once

/// \file
/// Defines a strict reader of JSON objects from outside: each member is asked for by name, type and
/// range, and any member that nobody asked for is an error. The first error wins and names its
/// field by its path, such as "models.guide-7b.replicas".

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "state/verdict.hpp"

namespace banyanshunt
{

/// Collects the first error found while reading one document.
class json_errors
{
public:
    /// Notes `message` about the field at `path`, unless an earlier error was noted.
    void report(const std::string& path, const std::string& message);

    bool empty() const { return first_.empty(); }
    /// "path: message", or empty.
    const std::string& first() const { return first_; }
    /// The first error as a failure with `errc::bad_answer`; `run` says what is known of the call
    /// whose answer was read.
    failure as_failure(run_state run) const;

private:
    std::string first_;
};

/// Parses text into a document; on failure notes an error and returns null.
nlohmann::json parse_json(const std::string& text, json_errors& errors);

/// Reads one JSON object. Lives no longer than the document.
class json_reader
{
public:
    json_reader(const nlohmann::json& object, std::string path, json_errors& errors);

    /// Whether the object has the member `name`; does not count as reading it.
    bool has(const std::string& name) const;

    /// A whole number within [lowest, highest].
    std::int64_t integer(const std::string& name, std::int64_t lowest, std::int64_t highest,
                         std::optional<std::int64_t> otherwise = {});
    /// Text of at most `longest` bytes; not empty unless `otherwise` is.
    std::string text(const std::string& name, std::size_t longest,
                     std::optional<std::string> otherwise = {});
    bool boolean(const std::string& name, std::optional<bool> otherwise = {});
    /// A list of texts.
    std::vector<std::string> text_list(const std::string& name);
    /// One of the given words.
    std::string one_of(const std::string& name, const std::vector<std::string>& allowed,
                       std::optional<std::string> otherwise = {});
    /// The member itself, or null when it is missing.
    const nlohmann::json* member(const std::string& name);

    /// Notes an error for each member that was not asked for.
    void reject_unknown();

    std::string path_of(const std::string& name) const;

private:
    const nlohmann::json& object_;
    std::string path_;
    json_errors& errors_;
    std::set<std::string> asked_;
};

} // namespace banyanshunt
