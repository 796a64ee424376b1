#include "fuzz/mutator.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

namespace banyanshunt::fuzz
{
namespace
{

constexpr std::size_t max_changes = 8;
constexpr std::size_t max_run_length = 24;
constexpr std::array<const char*, 16> fragments = {"9223372036854775808",
                                                   "-1",
                                                   "1e400",
                                                   "null",
                                                   "{}",
                                                   "[]",
                                                   "\"",
                                                   "\\u0000",
                                                   "\\ud800",
                                                   "\xff",
                                                   "\n\n",
                                                   "true",
                                                   "[[[[[",
                                                   "{\"a\":",
                                                   "data: ",
                                                   "="};

} // namespace

mutator::mutator(const std::string& folder, std::uint64_t seed) : random_(seed)
{
    std::vector<std::filesystem::path> files;
    std::error_code ec;
    for (const auto& it : std::filesystem::directory_iterator("tests/fuzz/corpus/" + folder, ec))
    {
        files.push_back(it.path());
    }
    std::sort(files.begin(), files.end());
    for (const auto& file : files)
    {
        std::ifstream in(file);
        std::ostringstream text;
        text << in.rdbuf();
        corpus_.push_back(text.str());
    }
    INFO(folder);
    REQUIRE_FALSE(corpus_.empty());
}

std::size_t mutator::draw(std::size_t limit)
{
    return limit == 0 ? 0 : random_() % limit;
}

std::string mutator::next()
{
    std::string text = corpus_[draw(corpus_.size())];
    std::size_t changes = 1 + draw(max_changes);
    for (std::size_t i = 0; i < changes; ++i)
    {
        change(text);
    }
    return text;
}

void mutator::change(std::string& text)
{
    std::size_t at = draw(text.size() + 1);
    std::size_t run = std::min(draw(max_run_length) + 1, text.size() - at);
    switch (draw(6))
    {
    case 0:
        if (at < text.size())
        {
            text[at] = static_cast<char>(draw(256));
        }
        break;
    case 1:
        text.erase(at, run);
        break;
    case 2:
        text.insert(at, text.substr(at, run));
        break;
    case 3:
    {
        std::string moved = text.substr(at, run);
        text.erase(at, run);
        text.insert(draw(text.size() + 1), moved);
        break;
    }
    case 4:
        text.insert(at, fragments[draw(fragments.size())]);
        break;
    default:
    {
        const std::string& other = corpus_[draw(corpus_.size())];
        text = text.substr(0, at) + other.substr(draw(other.size() + 1));
        break;
    }
    }
}

} // namespace banyanshunt::fuzz
