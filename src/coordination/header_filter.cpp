#include "coordination/header_filter.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace banyanshunt
{
namespace
{

constexpr std::array<std::string_view, 11> forwarded_to_services = {
    "accept",        "accept-language", "content-language", "content-type", "if-match",
    "if-none-match", "idempotency-key", "traceparent",      "tracestate",   "x-request-id",
    "range",
};

constexpr std::array<std::string_view, 9> forwarded_to_callers = {
    "cache-control", "content-disposition", "content-language", "content-range",
    "etag",          "last-modified",       "location",         "retry-after",
    "x-request-id",
};

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

std::vector<http_field> fields_for_service(const std::map<std::string, std::string>& from_caller)
{
    std::vector<http_field> fields;
    for (std::string_view name : forwarded_to_services)
    {
        auto it = from_caller.find(std::string(name));
        if (it != from_caller.end())
        {
            fields.push_back({.name = it->first, .value = it->second});
        }
    }
    return fields;
}

std::vector<http_field> fields_for_caller(const std::vector<http_field>& from_service)
{
    std::vector<http_field> fields;
    for (const auto& field : from_service)
    {
        std::string name = lower_case(field.name);
        if (std::find(forwarded_to_callers.begin(), forwarded_to_callers.end(), name) !=
            forwarded_to_callers.end())
        {
            fields.push_back(field);
        }
    }
    return fields;
}

} // namespace banyanshunt
