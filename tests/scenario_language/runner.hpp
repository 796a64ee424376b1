#pragma once

/// \file
/// Runs one scenario against real hosts.

#include <memory>
#include <random>

#include "scenario_language/fleet.hpp"
#include "scenario_language/parser.hpp"
#include "scenario_language/ticket_builder.hpp"
#include "scenario_language/ticket_monitor.hpp"
#include "scenario_language/traffic.hpp"

namespace banyanshunt::scenario
{

struct scenario_result
{
    /// "file:line: statement: what was seen", one for each statement that failed.
    std::vector<std::string> diagnostics;
    /// Each statement with its start time, in milliseconds since the start of the run.
    std::vector<std::string> trace;
};

/// Runs all statements in order. A wait that times out ends the scenario.
class scenario_runner
{
public:
    explicit scenario_runner(const parsed_scenario& it) : scenario_(it) {}

    scenario_result run();

private:
    struct declared_workspace
    {
        std::int64_t rate = 0;
        std::int64_t burst = 0;
    };

    /// Returns a diagnostic if the statement failed.
    diagnostic step(const statement& it);
    diagnostic declare(const statement& it);
    diagnostic add_to_ticket(const statement& it);
    diagnostic execute(const statement& it);
    diagnostic inject_fault(const statement& it);
    diagnostic expect(const statement& it);
    diagnostic expect_requests(const statement& it);

    diagnostic start();
    diagnostic publish(const std::string& text, const std::string& id);
    diagnostic send_completions(const statement& it);
    diagnostic send_calls(const statement& it, bool idempotent);
    diagnostic repeat(const statement& it);
    diagnostic check_tickets();
    diagnostic check_ticket(std::int64_t number, const std::string& host);
    diagnostic check_rate(const std::string& workspace);

    /// Waits until `done` returns true; returns a diagnostic if it does not within `hang_timeout`.
    template <class Done>
    diagnostic wait_until(Done done);

    std::vector<observed_request> observed(const std::string& label);
    int runs_of(const scenario_request& request);
    std::string entry_address(const std::string& host);
    std::vector<std::string> named_hosts(const std::string& host);
    std::vector<std::string> headers_at_backends();
    void add_route(const statement& it, bool open, bool repeatable);
    void add_server(const std::string& name, bool leaving);

    const parsed_scenario& scenario_;
    std::mt19937_64 random_;
    milliseconds load_time_{20};
    std::unique_ptr<fleet> fleet_;
    std::unique_ptr<ticket_monitor> monitor_;
    std::unique_ptr<traffic> traffic_;
    ticket_builder next_ticket_;
    std::map<std::string, declared_workspace> workspaces_;
    /// Secret and workspace by key id.
    std::map<std::string, std::pair<std::string, std::string>> keys_;
    std::map<std::string, int> marks_;
    instant started_;
};

} // namespace banyanshunt::scenario
