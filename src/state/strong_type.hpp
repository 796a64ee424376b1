#pragma once

/// \file
/// Strong types: distinct types for values that have the same representation.
///
/// A workspace's name and a model's name are both text, and a count of tokens and a count of
/// mebibytes are both integers; mixing them compiles with plain types and fails in production.
/// Example: `using model_id = strong_text<struct model_id_tag>;`

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace banyanshunt
{

/// A text value, such as a name, that does not convert to other text types.
template <class Tag>
class strong_text
{
public:
    strong_text() = default;
    explicit strong_text(std::string text) : text_(std::move(text)) {}

    const std::string& str() const { return text_; }
    bool empty() const { return text_.empty(); }

    friend bool operator==(const strong_text&, const strong_text&) = default;
    friend auto operator<=>(const strong_text&, const strong_text&) = default;

private:
    std::string text_;
};

/// An integer, such as a quantity or an offset, that does not convert to other number types.
template <class Tag>
class strong_number
{
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::int64_t n) : n_(n) {}

    constexpr std::int64_t count() const { return n_; }

    friend constexpr bool operator==(strong_number, strong_number) = default;
    friend constexpr auto operator<=>(strong_number, strong_number) = default;

    friend constexpr strong_number operator+(strong_number a, strong_number b)
    {
        return strong_number(a.n_ + b.n_);
    }
    friend constexpr strong_number operator-(strong_number a, strong_number b)
    {
        return strong_number(a.n_ - b.n_);
    }
    constexpr strong_number& operator+=(strong_number other)
    {
        n_ += other.n_;
        return *this;
    }
    constexpr strong_number& operator-=(strong_number other)
    {
        n_ -= other.n_;
        return *this;
    }

private:
    std::int64_t n_ = 0;
};

} // namespace banyanshunt

template <class Tag>
struct std::hash<banyanshunt::strong_text<Tag>>
{
    std::size_t operator()(const banyanshunt::strong_text<Tag>& text) const noexcept
    {
        return std::hash<std::string>()(text.str());
    }
};

template <class Tag>
struct std::hash<banyanshunt::strong_number<Tag>>
{
    std::size_t operator()(banyanshunt::strong_number<Tag> n) const noexcept
    {
        return std::hash<std::int64_t>()(n.count());
    }
};
