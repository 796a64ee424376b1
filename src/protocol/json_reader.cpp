#include "protocol/json_reader.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include "state/errors.hpp"

namespace banyanshunt
{

namespace
{

/// A value as error messages show it; containers and texts may be long.
std::string shown(const nlohmann::json& value)
{
    return value.is_primitive() && !value.is_string() ? value.dump() : value.type_name();
}

/// The value of a whole number, in whichever form it is written; nothing if it is none, or beyond
/// the type, or written with a fraction or an exponent and not represented exactly by a double.
std::optional<std::int64_t> whole_number(const nlohmann::json& value)
{
    if (value.is_number_float())
    {
        auto n = value.get<double>();
        bool exact = std::trunc(n) == n && std::abs(n) <= static_cast<double>(max_exact_integer);
        return exact ? std::optional(static_cast<std::int64_t>(n)) : std::nullopt;
    }
    bool fits = value.is_number_integer() &&
                (!value.is_number_unsigned() ||
                 value.get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
    return fits ? std::optional(value.get<std::int64_t>()) : std::nullopt;
}

} // namespace

void json_errors::report(const std::string& path, const std::string& message)
{
    if (first_.empty())
    {
        first_ = path.empty() ? message : path + ": " + message;
    }
}

failure json_errors::as_failure(run_state run) const
{
    return {.run = run, .code = errc::bad_answer, .detail = first_, .retry_after = {}};
}

nlohmann::json parse_json(std::string_view text, json_errors& errors, const json_bounds& bounds)
{
    auto document = parse_bounded_json(text, bounds);
    if (!document)
    {
        errors.report("", document.error().detail);
        return nullptr;
    }
    return std::move(*document);
}

json_reader::json_reader(const nlohmann::json& object, std::string path, json_errors& errors)
    : object_(object), path_(std::move(path)), errors_(errors)
{
    if (!object_.is_object())
    {
        errors_.report(path_, "must be an object");
    }
}

std::string json_reader::path_of(const std::string& name) const
{
    return path_.empty() ? name : path_ + "." + name;
}

bool json_reader::has(const std::string& name) const
{
    return object_.is_object() && object_.contains(name);
}

const nlohmann::json* json_reader::member(const std::string& name)
{
    read_members_.insert(name);
    if (!has(name))
    {
        return nullptr;
    }
    return &object_.at(name);
}

std::int64_t json_reader::integer(const std::string& name, std::int64_t lowest,
                                  std::int64_t highest, std::optional<std::int64_t> otherwise)
{
    const auto* found = member(name);
    if (!found && otherwise)
    {
        return *otherwise;
    }
    if (!found)
    {
        errors_.report(path_of(name), "is missing");
        return lowest;
    }
    auto n = whole_number(*found);
    if (!n || *n < lowest || *n > highest)
    {
        errors_.report(path_of(name), fmt::format("is {}, but must be a whole number from {} to {}",
                                                  shown(*found), lowest, highest));
        return lowest;
    }
    return *n;
}

std::string json_reader::text(const std::string& name, std::size_t max_bytes,
                              std::optional<std::string> otherwise)
{
    const auto* found = member(name);
    if (!found && otherwise)
    {
        return *otherwise;
    }
    if (!found)
    {
        errors_.report(path_of(name), "is missing");
        return {};
    }
    if (!found->is_string())
    {
        errors_.report(path_of(name), "must be text");
        return {};
    }
    auto value = found->get<std::string>();
    if (value.size() > max_bytes)
    {
        errors_.report(path_of(name), fmt::format("has {} bytes, but at most {} are allowed",
                                                  value.size(), max_bytes));
    }
    if (value.empty() && !otherwise)
    {
        errors_.report(path_of(name), "must not be empty");
    }
    return value;
}

double json_reader::number(const std::string& name, double lowest, double highest,
                           std::optional<double> otherwise)
{
    const auto* found = member(name);
    if (!found || found->is_null())
    {
        if (!otherwise)
        {
            errors_.report(path_of(name), "is missing");
        }
        return otherwise.value_or(lowest);
    }
    double n = found->is_number() ? found->get<double>() : lowest;
    if (!found->is_number() || n < lowest || n > highest)
    {
        errors_.report(path_of(name), fmt::format("is {}, but must be a number from {} to {}",
                                                  shown(*found), lowest, highest));
        return lowest;
    }
    return n;
}

const nlohmann::json& json_reader::list(const std::string& name, bool optional)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const auto* found = member(name);
    if (found && found->is_array())
    {
        return *found;
    }
    bool missing = !found || found->is_null();
    if (!missing || !optional)
    {
        errors_.report(path_of(name), missing ? "is missing" : "must be a list");
    }
    return empty;
}

bool json_reader::boolean(const std::string& name, std::optional<bool> otherwise)
{
    const auto* found = member(name);
    if (!found && otherwise)
    {
        return *otherwise;
    }
    if (!found || !found->is_boolean())
    {
        errors_.report(path_of(name), found ? "must be true or false" : "is missing");
        return false;
    }
    return found->get<bool>();
}

std::vector<std::string> json_reader::text_list(const std::string& name)
{
    const auto* found = member(name);
    std::vector<std::string> list;
    if (!found || !found->is_array())
    {
        errors_.report(path_of(name), found ? "must be a list of texts" : "is missing");
        return list;
    }
    for (const auto& item : *found)
    {
        if (!item.is_string())
        {
            errors_.report(path_of(name), "must be a list of texts");
            return {};
        }
        list.push_back(item.get<std::string>());
    }
    return list;
}

std::string json_reader::one_of(const std::string& name, const std::vector<std::string>& allowed,
                                std::optional<std::string> otherwise)
{
    constexpr std::size_t max_word_bytes = 64;
    std::string value = text(name, max_word_bytes, std::move(otherwise));
    if (std::find(allowed.begin(), allowed.end(), value) == allowed.end())
    {
        errors_.report(path_of(name), fmt::format("is \"{}\", but must be one of: {}", value,
                                                  fmt::join(allowed, ", ")));
    }
    return value;
}

void json_reader::reject_unknown()
{
    if (!object_.is_object())
    {
        return;
    }
    for (const auto& item : object_.items())
    {
        if (!read_members_.contains(item.key()))
        {
            errors_.report(path_of(item.key()), "is not a known field");
        }
    }
}

} // namespace banyanshunt
