#include "protocol/settings_file.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <ini.h>

namespace banyanshunt
{

// Feeds inih line by line, because that is the only way to know the line of a value.
struct settings_parser
{
    settings_file& into;
    std::istringstream text;
    int line = 0;

    static char* read_line(char* buf, int size, void* self)
    {
        auto* it = static_cast<settings_parser*>(self);
        std::string next;
        if (!std::getline(it->text, next))
        {
            return nullptr;
        }
        ++it->line;
        if (next.size() + 1 > static_cast<std::size_t>(size))
        {
            it->into.errors_.push_back(fmt::format("{}:{}: the line is longer than {} bytes",
                                                   it->into.path_, it->line, size - 1));
            next.resize(static_cast<std::size_t>(size) - 1);
        }
        std::memcpy(buf, next.c_str(), next.size() + 1);
        return buf;
    }

    static int handle_value(void* self, const char* section, const char* name, const char* value)
    {
        auto* it = static_cast<settings_parser*>(self);
        auto& slot = it->into.sections_[section][name];
        if (slot.line != 0)
        {
            it->into.errors_.push_back(fmt::format("{}:{}: [{}] {} was already set in line {}",
                                                   it->into.path_, it->line, section, name,
                                                   slot.line));
        }
        slot = {.value = value, .line = it->line, .queried = false};
        return 1;
    }
};

settings_file settings_file::parse(const std::string& text, const std::string& path)
{
    settings_file file;
    file.path_ = path;
    settings_parser parser{.into = file, .text = std::istringstream(text)};
    int invalid_line = ini_parse_stream(settings_parser::read_line, &parser,
                                        settings_parser::handle_value, &parser);
    if (invalid_line > 0)
    {
        file.errors_.push_back(
            fmt::format("{}:{}: must be \"[section]\" or \"name = value\"", path, invalid_line));
    }
    return file;
}

settings_file settings_file::read(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
    {
        settings_file file;
        file.path_ = path;
        file.errors_.push_back(fmt::format("{}: cannot be read", path));
        return file;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parse(text.str(), path);
}

settings_file::value_at* settings_file::find(const std::string& section, const std::string& name)
{
    queried_.insert(fmt::format("[{}] {}", section, name));
    auto it = sections_.find(section);
    if (it == sections_.end())
    {
        return nullptr;
    }
    auto value = it->second.find(name);
    if (value == it->second.end())
    {
        return nullptr;
    }
    value->second.queried = true;
    return &value->second;
}

void settings_file::report_missing(const std::string& section, const std::string& name)
{
    errors_.push_back(fmt::format("{}: [{}] {} is missing", path_, section, name));
}

void settings_file::report_invalid(const value_at& at, const std::string& section,
                                   const std::string& name, const std::string& allowed)
{
    errors_.push_back(fmt::format("{}:{}: [{}] {} is \"{}\", but must be {}", path_, at.line,
                                  section, name, at.value, allowed));
}

std::string settings_file::text(const std::string& section, const std::string& name,
                                const std::optional<std::string>& otherwise)
{
    value_at* at = find(section, name);
    if (!at && !otherwise)
    {
        report_missing(section, name);
    }
    return at ? at->value : otherwise.value_or("");
}

std::int64_t settings_file::integer(const std::string& section, const std::string& name,
                                    std::int64_t lowest, std::int64_t highest,
                                    std::optional<std::int64_t> otherwise)
{
    value_at* at = find(section, name);
    if (!at)
    {
        if (!otherwise)
        {
            report_missing(section, name);
        }
        return otherwise.value_or(lowest);
    }
    std::int64_t n = 0;
    const char* end = at->value.data() + at->value.size();
    auto [rest, ec] = std::from_chars(at->value.data(), end, n);
    if (ec != std::errc() || rest != end || n < lowest || n > highest)
    {
        report_invalid(*at, section, name,
                       fmt::format("a whole number from {} to {}", lowest, highest));
        return lowest;
    }
    return n;
}

milliseconds settings_file::duration(const std::string& section, const std::string& name,
                                     std::optional<milliseconds> otherwise)
{
    constexpr std::int64_t day_ms = 24 * 3600 * 1000;
    std::optional<std::int64_t> fallback;
    if (otherwise)
    {
        fallback = otherwise->count();
    }
    return milliseconds(integer(section, name, 1, day_ms, fallback));
}

bool settings_file::boolean(const std::string& section, const std::string& name,
                            std::optional<bool> otherwise)
{
    value_at* at = find(section, name);
    if (!at)
    {
        if (!otherwise)
        {
            report_missing(section, name);
        }
        return otherwise.value_or(false);
    }
    if (at->value != "yes" && at->value != "no")
    {
        report_invalid(*at, section, name, "yes or no");
    }
    return at->value == "yes";
}

std::string settings_file::address(const std::string& section, const std::string& name,
                                   const std::optional<std::string>& otherwise)
{
    value_at* at = find(section, name);
    if (!at)
    {
        return text(section, name, otherwise);
    }
    auto colon = at->value.rfind(':');
    std::string ip = at->value.substr(0, colon);
    in_addr parsed{};
    bool good = colon != std::string::npos && inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
    int port = -1;
    if (good)
    {
        const char* end = at->value.data() + at->value.size();
        auto [rest, ec] = std::from_chars(at->value.data() + colon + 1, end, port);
        good = ec == std::errc() && rest == end && port >= 0 && port <= 65535;
    }
    if (!good)
    {
        report_invalid(*at, section, name, "an IP address and a port, such as 127.0.0.1:8080");
    }
    return at->value;
}

void settings_file::report_error(const std::string& section, const std::string& name,
                                 const std::string& message)
{
    value_at* at = find(section, name);
    errors_.push_back(
        fmt::format("{}:{}: [{}] {}: {}", path_, at ? at->line : 0, section, name, message));
}

std::vector<std::string> settings_file::errors() const
{
    std::vector<std::string> all = errors_;
    for (const auto& [section, values] : sections_)
    {
        for (const auto& [name, at] : values)
        {
            if (!at.queried)
            {
                all.push_back(fmt::format("{}:{}: [{}] {} is not a known setting", path_, at.line,
                                          section, name));
            }
        }
    }
    return all;
}

} // namespace banyanshunt
