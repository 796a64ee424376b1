/// \file
/// Registers one test case per scenario in this folder, named after its file.

#include <algorithm>
#include <filesystem>
#include <iterator>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "scenario_language/runner.hpp"

using namespace banyanshunt::scenario;

namespace
{

constexpr const char* folder = "tests/scenarios";

class scenario_case : public Catch::ITestInvoker
{
public:
    explicit scenario_case(std::string path) : path_(std::move(path)) {}

    void invoke() const override
    {
        auto parsed = read_scenario(path_);
        auto result = scenario_runner(parsed).run();
        INFO(fmt::format("{}", fmt::join(result.trace, "\n")));
        INFO(fmt::format("{}", fmt::join(result.diagnostics, "\n")));
        CHECK(result.diagnostics.empty());
    }

private:
    std::string path_;
};

std::vector<std::filesystem::path> scenario_files()
{
    std::vector<std::filesystem::path> files;
    std::error_code ec;
    for (const auto& it : std::filesystem::directory_iterator(folder, ec))
    {
        if (it.path().extension() == ".scn")
        {
            files.push_back(it.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

// Registers the cases before Catch2's main runs; the working directory must be the project root.
struct scenario_registry
{
    scenario_registry()
    {
        for (const auto& file : scenario_files())
        {
            names.push_back(file.stem().string());
            paths.push_back(file.string());
        }
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            registered.push_back(std::make_unique<Catch::AutoReg>(
                new scenario_case(paths[i]), CATCH_INTERNAL_LINEINFO, Catch::StringRef(),
                Catch::NameAndTags(names[i], "[scenario]")));
        }
    }

    std::vector<std::string> names;
    std::vector<std::string> paths;
    std::vector<std::unique_ptr<Catch::AutoReg>> registered;
};

const scenario_registry registry; // NOLINT(bugprone-throwing-static-initialization)

} // namespace

TEST_CASE("the folder of scenarios was found")
{
    CHECK(scenario_files().size() > 10);
}
