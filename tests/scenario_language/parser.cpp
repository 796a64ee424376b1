#include "scenario_language/parser.hpp"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <fmt/format.h>

namespace banyanshunt::scenario
{
namespace
{

using words = std::vector<std::string>;

constexpr std::size_t max_digits = 12;

words split(const std::string& line)
{
    std::istringstream in(line);
    words out;
    for (std::string word; in >> word;)
    {
        out.push_back(word);
    }
    return out;
}

bool is_value(const std::string& word)
{
    return std::all_of(word.begin(), word.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool is_number(const std::string& text)
{
    return !text.empty() && text.size() <= max_digits &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool needs_number(const std::string& value)
{
    return value == "COUNT" || value == "MS" || value == "MIB";
}

struct match
{
    /// Number of leading words that match; used to find the intended form.
    std::size_t matched_words = 0;
    bool complete = false;
    std::map<std::string, std::string> values;
};

void add_value(match& into, const std::string& name, const std::string& value)
{
    bool second = into.values.contains(name);
    into.values[second ? name + "2" : name] = value;
}

std::string rest_of(const std::string& line, const std::string& first_word)
{
    return line.substr(line.find(first_word));
}

match match_form(const words& form, const words& given, const std::string& line)
{
    match out;
    for (std::size_t i = 0; i < form.size(); ++i)
    {
        if (i >= given.size())
        {
            return out;
        }
        if (form[i] == "TEXT")
        {
            add_value(out, form[i], rest_of(line, given[i]));
            out.complete = true;
            return out;
        }
        bool fits =
            is_value(form[i]) ? !needs_number(form[i]) || is_number(given[i]) : form[i] == given[i];
        if (!fits)
        {
            return out;
        }
        if (is_value(form[i]))
        {
            add_value(out, form[i], given[i]);
        }
        ++out.matched_words;
    }
    out.complete = given.size() == form.size();
    return out;
}

std::string first_words()
{
    std::set<std::string> firsts;
    for (const auto& form : statement_forms())
    {
        firsts.insert(split(form.pattern).front());
    }
    return fmt::format("{}", fmt::join(firsts, ", "));
}

// Lists the forms that start like the line, or all first words if there are none.
std::string describe_error(const words& given, const std::vector<const statement_form*>& closest)
{
    if (closest.empty())
    {
        return fmt::format("\"{}\" begins no statement; allowed are {}", given.front(),
                           first_words());
    }
    std::vector<std::string> forms;
    forms.reserve(closest.size());
    for (const auto* form : closest)
    {
        forms.push_back(fmt::format("\"{}\"", form->pattern));
    }
    return fmt::format("must be {}", fmt::join(forms, " or "));
}

void parse_line(const std::string& line, int number, parsed_scenario& out)
{
    words given = split(line);
    if (given.empty() || given.front().starts_with('#'))
    {
        return;
    }
    std::size_t best = 0;
    std::vector<const statement_form*> closest;
    for (const auto& form : statement_forms())
    {
        match it = match_form(split(form.pattern), given, line);
        if (it.complete)
        {
            out.statements.push_back(
                {.kind = form.kind, .line = number, .source = line, .values = it.values});
            return;
        }
        if (it.matched_words > best)
        {
            best = it.matched_words;
            closest.clear();
        }
        if (it.matched_words == best && best > 0)
        {
            closest.push_back(&form);
        }
    }
    out.errors.push_back(
        fmt::format("{}:{}: {}", out.path, number, describe_error(given, closest)));
}

} // namespace

parsed_scenario parse_scenario(const std::string& text, const std::string& path)
{
    parsed_scenario out;
    out.path = path;
    std::istringstream in(text);
    int number = 0;
    for (std::string line; std::getline(in, line);)
    {
        parse_line(line, ++number, out);
    }
    bool seeded = !out.statements.empty() && out.statements.front().kind == statement_kind::seed;
    if (out.errors.empty() && !seeded)
    {
        out.errors.push_back(fmt::format("{}:1: the first statement must be \"seed COUNT\"", path));
    }
    return out;
}

parsed_scenario read_scenario(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
    {
        return {.path = path, .statements = {}, .errors = {path + ": cannot be read"}};
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parse_scenario(text.str(), path);
}

} // namespace banyanshunt::scenario
