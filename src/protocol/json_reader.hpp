#pragma once

/// \file
/// A strict reader of untrusted JSON objects: each member is read by name, type and range, and any
/// member that was not read is an error. Only the first error is kept; it names its field by its
/// path, such as "models.guide-7b.replicas".

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "protocol/bounded_json.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// The largest integer that every JSON writer represents exactly, with all below it.
inline constexpr std::int64_t max_exact_integer = (std::int64_t{1} << 53) - 1;

/// Collects the first error found while reading one document.
class json_errors
{
public:
    /// Records `message` about the field at `path`, unless an error was recorded before.
    void report(const std::string& path, const std::string& message);

    bool empty() const { return first_.empty(); }
    /// "path: message", or empty.
    const std::string& first() const { return first_; }
    /// The first error as a failure with `errc::bad_answer`; `run` states whether the call
    /// whose response was read may have run.
    failure as_failure(run_state run) const;

private:
    std::string first_;
};

/// Parses text into a document; on failure records an error and returns null.
nlohmann::json parse_json(std::string_view text, json_errors& errors,
                          const json_bounds& bounds = {});

/// Reads one JSON object. The document must outlive the reader.
class json_reader
{
public:
    json_reader(const nlohmann::json& object, std::string path, json_errors& errors);

    /// Whether the object has the member `name`; does not count as reading it.
    bool has(const std::string& name) const;

    /// A whole number within [lowest, highest].
    std::int64_t integer(const std::string& name, std::int64_t lowest, std::int64_t highest,
                         std::optional<std::int64_t> otherwise = {});
    /// A string of at most `max_bytes` bytes; not empty unless `otherwise` is.
    std::string text(const std::string& name, std::size_t max_bytes,
                     std::optional<std::string> otherwise = {});
    /// A number within [lowest, highest], which may be a fraction; null counts as missing.
    double number(const std::string& name, double lowest, double highest,
                  std::optional<double> otherwise = {});
    bool boolean(const std::string& name, std::optional<bool> otherwise = {});
    /// A list; empty if it is missing or null and `optional`.
    const nlohmann::json& list(const std::string& name, bool optional = false);
    /// A list of strings.
    std::vector<std::string> text_list(const std::string& name);
    /// One of the allowed strings.
    std::string one_of(const std::string& name, const std::vector<std::string>& allowed,
                       std::optional<std::string> otherwise = {});
    /// The member itself, or null when it is missing.
    const nlohmann::json* member(const std::string& name);

    /// Records an error for each member that was not read.
    void reject_unknown();

    std::string path_of(const std::string& name) const;

private:
    const nlohmann::json& object_;
    std::string path_;
    json_errors& errors_;
    std::set<std::string> read_members_;
};

} // namespace banyanshunt
