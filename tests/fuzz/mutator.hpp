#pragma once

/// \file
/// Defines deterministic mutation of a corpus: the same seed gives the same mutants on any machine.

#include <random>
#include <string>
#include <vector>

namespace banyanshunt::fuzz
{

/// Makes mutants of the texts in one folder of the corpus.
class mutator
{
public:
    /// `directory` is relative to tests/fuzz/corpus; an empty one fails the test.
    mutator(const std::string& folder, std::uint64_t seed);

    /// A text of the corpus with up to eight changes: bytes flipped, runs cut out, doubled or
    /// moved, numbers and brackets put in, or the rest of another text.
    std::string next();
    /// The unchanged texts.
    const std::vector<std::string>& corpus() const { return corpus_; }
    /// A number in [0, limit).
    std::size_t draw(std::size_t limit);

private:
    void change(std::string& text);

    std::vector<std::string> corpus_;
    std::mt19937_64 random_;
};

} // namespace banyanshunt::fuzz
