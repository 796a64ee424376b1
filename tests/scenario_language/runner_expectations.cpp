/// \file
/// The expectations of a scenario: passes observations to the checkers.

#include <algorithm>

#include <fmt/format.h>

#include "scenario_language/runner.hpp"

namespace banyanshunt::scenario
{

diagnostic scenario_runner::expect(const statement& it)
{
    switch (it.kind)
    {
    case statement_kind::expect_no_key:
    {
        std::vector<std::string> secrets;
        for (const auto& [key, secret] : keys_)
        {
            secrets.push_back(secret.first);
        }
        return check_no_key(headers_at_backends(), secrets);
    }
    case statement_kind::expect_memory:
    {
        int n = 0;
        for (const auto& [name, server] : fleet_->servers())
        {
            n += server.engine ? server.engine->overcommits() : 0;
        }
        return check_memory(n);
    }
    case statement_kind::expect_replicas:
        return check_replicas(fleet_->ledger().max_replicas(model_id(it.text("MODEL"))),
                              it.number("COUNT"));
    case statement_kind::expect_within_rate:
        return check_rate(it.text("WORKSPACE"));
    case statement_kind::expect_no_revert:
        return check_tickets();
    case statement_kind::expect_in_force:
        return check_ticket(it.number("COUNT"), it.text("HOST"));
    case statement_kind::expect_no_new_work:
        return check_no_new_work(it.text("SERVER"), marks_.at(it.text("SERVER")),
                                 fleet_->servers().at(it.text("SERVER")).runs());
    case statement_kind::expect_clean_stop:
        return check_clean_stop(it.text("HOST"),
                                fleet_->hosts().at(it.text("HOST"))->stopped_clean);
    default:
        return expect_requests(it);
    }
}

diagnostic scenario_runner::expect_requests(const statement& it)
{
    traffic_->join(it.text("LABEL"));
    auto requests = observed(it.text("LABEL"));
    switch (it.kind)
    {
    case statement_kind::expect_answered:
        return check_answered(requests);
    case statement_kind::expect_settled:
        return check_settled(requests);
    case statement_kind::expect_refused:
        return check_refused(requests, "");
    case statement_kind::expect_reason:
        return check_refused(requests, it.text("REASON"));
    case statement_kind::expect_whole:
        return check_whole(requests);
    case statement_kind::expect_truthful:
        return check_truthful(requests);
    case statement_kind::expect_at_most_once:
        return check_at_most_once(requests);
    default:
        return check_once(requests);
    }
}

std::vector<std::string> scenario_runner::headers_at_backends()
{
    std::vector<std::string> all;
    for (const auto& [name, server] : fleet_->servers())
    {
        auto seen = server.headers_seen();
        all.insert(all.end(), seen.begin(), seen.end());
    }
    return all;
}

diagnostic scenario_runner::check_tickets()
{
    for (const auto& [host, seen] : monitor_->seen())
    {
        if (auto violation = check_no_revert(host, seen))
        {
            return violation;
        }
    }
    return std::nullopt;
}

diagnostic scenario_runner::check_ticket(std::int64_t number, const std::string& host)
{
    for (const auto& name : named_hosts(host))
    {
        auto ticket = fleet_->ticket_on(name);
        if (!ticket || *ticket < number)
        {
            return fmt::format("{} has ticket {} in effect", name,
                               ticket ? std::to_string(*ticket) : "unknown");
        }
    }
    return std::nullopt;
}

diagnostic scenario_runner::check_rate(const std::string& workspace)
{
    std::vector<observed_request> all;
    for (const auto& label : traffic_->labels())
    {
        traffic_->join(label);
        auto of_label = observed(label);
        all.insert(all.end(), of_label.begin(), of_label.end());
    }
    const declared_workspace& it = workspaces_.at(workspace);
    return check_within_rate(all, workspace_id(workspace), it.rate, it.burst);
}

} // namespace banyanshunt::scenario
