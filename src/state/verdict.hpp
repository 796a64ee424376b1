#pragma once

/// \file
/// Defines the verdict: the outcome of an attempt, which on failure says whether the attempted
/// request may have run.
///
/// A timeout is not a "no": after one the request may have run unless nothing was sent. Retries and
/// the answer to the caller depend on that difference, so every layer passes it on unchanged.
/// Example:
///
///     verdict<reply> v = engine.complete(request, deadline);
///     if (!v && v.error().run == run_state::not_run) { retry(); }

#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

#include "state/invariant.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Whether a request has had an effect.
enum class run_state
{
    /// The request surely did not run, and may be sent again.
    not_run,
    /// The request may have run, or may still run.
    may_have_run,
    /// The request ran, although its answer cannot be given.
    ran,
};

/// Returns the name that callers see, such as "not_run".
const char* to_string(run_state run);

/// Why an attempt failed.
struct failure
{
    run_state run = run_state::not_run;
    std::error_code code;
    /// A sentence for people; never contains a key.
    std::string detail;
    /// When the caller may come back with hope, if that is known.
    std::optional<milliseconds> retry_after;
};

/// Either a value or a `failure`.
template <class Value>
class [[nodiscard]] verdict
{
public:
    verdict(Value value) : held_(std::in_place_index<0>, std::move(value)) {}
    verdict(failure why) : held_(std::in_place_index<1>, std::move(why)) {}

    bool has_value() const { return held_.index() == 0; }
    explicit operator bool() const { return has_value(); }

    /// The value. Precondition: `has_value()`.
    const Value& value() const&
    {
        check_invariant(has_value(), "the value of a failed verdict was read");
        return std::get<0>(held_);
    }
    Value& value() &
    {
        check_invariant(has_value(), "the value of a failed verdict was read");
        return std::get<0>(held_);
    }
    Value&& value() && { return std::move(this->value()); }

    /// The failure. Precondition: `!has_value()`.
    const failure& error() const
    {
        check_invariant(!has_value(), "the failure of a successful verdict was read");
        return std::get<1>(held_);
    }

    const Value& operator*() const& { return value(); }
    Value& operator*() & { return value(); }
    const Value* operator->() const { return &value(); }
    Value* operator->() { return &value(); }

private:
    std::variant<Value, failure> held_;
};

/// The value of an attempt that yields nothing but success.
struct done
{
};

} // namespace banyanshunt
