#pragma once

/// \file
/// The statements of the scenario language: the existing forms, and a parsed line of a scenario.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyanshunt::scenario
{

/// The kind of a statement.
enum class statement_kind
{
    seed,
    platform_load,
    host,
    engine,
    engine_ignoring_fencing,
    service,
    start,
    model,
    adapter,
    workspace,
    key,
    withdraw_key,
    route,
    route_repeatable,
    route_open,
    server,
    server_leaving,
    publish,
    publish_text,
    send,
    send_within,
    call_path,
    call_path_idempotent,
    repeat,
    await_end,
    await_start,
    await_ready,
    await_ticket,
    pause,
    at,
    fault,
    fault_delay,
    platform_down,
    platform_up,
    expire_log,
    cut,
    cut_from,
    cut_domain,
    silence,
    silence_from,
    heal,
    heal_from,
    heal_domain,
    stop,
    mark,
    expect_answered,
    expect_settled,
    expect_refused,
    expect_reason,
    expect_whole,
    expect_truthful,
    expect_at_most_once,
    expect_once,
    expect_no_key,
    expect_memory,
    expect_replicas,
    expect_within_rate,
    expect_no_revert,
    expect_in_force,
    expect_no_new_work,
    expect_clean_stop,
};

/// One form of statement. Words in capitals stand for values; all others are literal.
struct statement_form
{
    statement_kind kind;
    /// Such as "host NAME in DOMAIN". COUNT and MS are integers; TEXT is the rest of the line.
    const char* pattern;
    /// A sentence for docs/SCENARIOS.md and error messages.
    const char* description;
};

/// All forms, in the order of docs/SCENARIOS.md.
const std::vector<statement_form>& statement_forms();

/// One parsed line of a scenario.
struct statement
{
    statement_kind kind;
    int line = 0;
    /// The line as written, for traces.
    std::string source;
    /// Values by their capital word in the form; a second value of the same word has the suffix
    /// "2".
    std::map<std::string, std::string> values;

    const std::string& text(const std::string& name) const { return values.at(name); }
    std::int64_t number(const std::string& name) const { return std::stoll(values.at(name)); }
};

} // namespace banyanshunt::scenario
