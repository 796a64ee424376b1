/// \file
/// Checks that the operator documentation names everything that the code reads and reports.

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

#include <catch2/catch.hpp>

#include "entry/entry_settings.hpp"
#include "placer/placer_settings.hpp"
#include "scenario_language/parser.hpp"
#include "state/errors.hpp"

using namespace banyanshunt;

namespace
{

std::string page(const std::string& name)
{
    std::ifstream in("docs/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

bool has_row(const std::string& text, const std::string& name)
{
    return text.find("| `" + name + "` |") != std::string::npos;
}

} // namespace

TEST_CASE("docs/SETTINGS.md has every setting that the daemons read")
{
    std::string text = page("SETTINGS.md");
    settings_file file = settings_file::parse("", "x.ini");
    (void)read_entry_settings(file);
    (void)read_placer_settings(file);
    CHECK(file.queried_names().size() > 30);
    for (const auto& name : file.queried_names())
    {
        INFO(name);
        CHECK(has_row(text, name));
    }
    CHECK_FALSE(has_row(text, "[limits] no_such_setting"));
}

TEST_CASE("docs/OPERATORS.md has every reason of a refusal")
{
    std::string text = page("OPERATORS.md");
    for (int i = 1; i <= static_cast<int>(errc::already_ran); ++i)
    {
        std::string reason = make_error_code(static_cast<errc>(i)).message();
        INFO(reason);
        CHECK(has_row(text, reason));
    }
}

TEST_CASE("docs/SCENARIOS.md has every form of statement")
{
    std::string text = page("SCENARIOS.md");
    for (const auto& form : scenario::statement_forms())
    {
        INFO(form.pattern);
        CHECK(has_row(text, form.pattern));
    }
}

TEST_CASE("docs/OPERATIONS.md has every event that an entry host logs")
{
    std::string text = page("OPERATIONS.md");
    std::regex written(
        "log\\.write\\(\\s*(?:good \\? |joined \\? )?\"([a-z_]+)\"(?: : \"([a-z_]+)\")?");
    std::size_t events = 0;
    for (const auto& file : std::filesystem::directory_iterator("src/serve"))
    {
        std::ifstream in(file.path());
        std::ostringstream source;
        source << in.rdbuf();
        std::string code = source.str();
        for (std::sregex_iterator it(code.begin(), code.end(), written), end; it != end; ++it)
        {
            for (std::size_t group : {1U, 2U})
            {
                std::string event = (*it)[group];
                INFO(event);
                CHECK((event.empty() || text.find("`" + event + "`") != std::string::npos));
                events += event.empty() ? 0 : 1;
            }
        }
    }
    CHECK(events > 15);
}
