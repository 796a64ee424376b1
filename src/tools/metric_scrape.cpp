#include "tools/metric_scrape.hpp"

#include <charconv>
#include <cstdlib>
#include <sstream>

#include <fmt/format.h>

namespace banyanshunt
{
namespace
{

constexpr std::string_view scrape_header = "# scrape ";

} // namespace

std::map<sample_name, double> parse_metrics(const std::string& text)
{
    std::map<sample_name, double> samples;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
    {
        auto space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos)
        {
            continue;
        }
        const char* number = line.c_str() + space + 1;
        char* end = nullptr;
        double value = std::strtod(number, &end);
        if (end != number)
        {
            samples[line.substr(0, space)] = value;
        }
    }
    return samples;
}

std::string label_of(const sample_name& name, const std::string& label)
{
    for (const char* before : {"{", ","})
    {
        std::string begin = before + label + "=\"";
        auto at = name.find(begin);
        if (at != std::string::npos)
        {
            at += begin.size();
            return name.substr(at, name.find('"', at) - at);
        }
    }
    return {};
}

std::string metric_of(const sample_name& name)
{
    return name.substr(0, name.find('{'));
}

std::map<sample_name, double> increases(const std::vector<metric_scrape>& scrapes, seconds from,
                                        seconds to)
{
    std::map<std::string, const metric_scrape*> last;
    std::map<sample_name, double> totals;
    for (const auto& scrape : scrapes)
    {
        if (scrape.at < from || scrape.at > to)
        {
            continue;
        }
        const metric_scrape*& before = last[scrape.host];
        for (const auto& [name, value] : scrape.samples)
        {
            if (!before)
            {
                break;
            }
            auto old = before->samples.find(name);
            double old_value = old == before->samples.end() ? 0 : old->second;
            totals[name] += value >= old_value ? value - old_value : value;
        }
        before = &scrape;
    }
    return totals;
}

std::string encode_scrapes(const std::vector<metric_scrape>& scrapes)
{
    std::string out;
    for (const auto& scrape : scrapes)
    {
        out += fmt::format("{}{} {}\n", scrape_header, scrape.at.count(), scrape.host);
        for (const auto& [name, value] : scrape.samples)
        {
            out += fmt::format("{} {}\n", name, value);
        }
    }
    return out;
}

std::vector<metric_scrape> decode_scrapes(const std::string& text)
{
    std::vector<metric_scrape> out;
    std::istringstream in(text);
    std::string body;
    auto finish_scrape = [&]
    {
        if (!out.empty())
        {
            out.back().samples = parse_metrics(body);
        }
        body.clear();
    };
    for (std::string line; std::getline(in, line);)
    {
        if (!line.starts_with(scrape_header))
        {
            body += line + "\n";
            continue;
        }
        finish_scrape();
        std::istringstream words(line.substr(scrape_header.size()));
        std::int64_t at = 0;
        metric_scrape next;
        words >> at >> next.host;
        next.at = seconds(at);
        out.push_back(std::move(next));
    }
    finish_scrape();
    return out;
}

} // namespace banyanshunt
