#pragma once

/// \file
/// Deterministic mutation of a corpus: the same seed gives the same mutants on any machine.

#include <random>
#include <string>
#include <vector>

namespace banyanshunt::fuzz
{

/// Generates mutants of the texts in one folder of the corpus.
class mutator
{
public:
    /// `folder` is relative to tests/fuzz/corpus; an empty or missing one fails the test.
    mutator(const std::string& folder, std::uint64_t seed);

    /// Returns a text of the corpus with one to eight changes: a byte replaced, a run of bytes
    /// deleted, duplicated or moved, a fragment such as a number or a bracket inserted, or the tail
    /// replaced by that of another text.
    std::string next();
    /// The unmodified texts.
    const std::vector<std::string>& corpus() const { return corpus_; }
    /// Returns a random number in [0, limit), or 0 if `limit` is 0.
    std::size_t draw(std::size_t limit);

private:
    void change(std::string& text);

    std::vector<std::string> corpus_;
    std::mt19937_64 random_;
};

} // namespace banyanshunt::fuzz
