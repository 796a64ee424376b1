#pragma once

/// \file
/// The verdict type: the outcome of an attempt, which on failure states whether the attempted
/// request may have run.
///
/// A timeout does not mean that the request did not run: it may have run unless nothing was sent.
/// Retries and the response to the caller depend on that difference, so every layer passes it on
/// unchanged.
/// Example:
///
///     verdict<completion> v = engine.complete(request, deadline);
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
    /// The request is guaranteed not to have run, and may be sent again.
    not_run,
    /// The request may have run, or may still run.
    may_have_run,
    /// The request ran, but its response is not available.
    ran,
};

/// Returns the name that callers see, such as "not_run".
const char* to_string(run_state run);

/// Why an attempt failed.
struct failure
{
    run_state run = run_state::not_run;
    std::error_code code;
    /// A human-readable explanation; never contains a key.
    std::string detail;
    /// The time after which a retry may succeed, if known.
    std::optional<milliseconds> retry_after;
};

/// Either a value or a `failure`.
template <class Value>
class [[nodiscard]] verdict
{
public:
    verdict(Value value) : result_(std::in_place_index<0>, std::move(value)) {}
    verdict(failure reason) : result_(std::in_place_index<1>, std::move(reason)) {}

    bool has_value() const { return result_.index() == 0; }
    explicit operator bool() const { return has_value(); }

    /// The value. Precondition: `has_value()`.
    const Value& value() const&
    {
        check_invariant(has_value(), "the value of a failed verdict was read");
        return std::get<0>(result_);
    }
    Value& value() &
    {
        check_invariant(has_value(), "the value of a failed verdict was read");
        return std::get<0>(result_);
    }
    Value&& value() && { return std::move(this->value()); }

    /// The failure. Precondition: `!has_value()`.
    const failure& error() const
    {
        check_invariant(!has_value(), "the failure of a successful verdict was read");
        return std::get<1>(result_);
    }

    const Value& operator*() const& { return value(); }
    Value& operator*() & { return value(); }
    const Value* operator->() const { return &value(); }
    Value* operator->() { return &value(); }

private:
    std::variant<Value, failure> result_;
};

/// The value of a successful attempt that has no other result.
struct done
{
};

} // namespace banyanshunt
