#include "scenario_language/runner.hpp"

#include <thread>

#include <fmt/format.h>

#include "coordination/admission.hpp"
#include "scenario_language/ticket_builder.hpp"
#include "stand_ins/ticket_text.hpp"
#include "tools/workload.hpp"

namespace banyanshunt::scenario
{
namespace
{

// Ends a run that hangs; no expectation depends on time.
constexpr seconds hang_timeout(40);
constexpr milliseconds poll_interval(5);

milliseconds since(instant start_time)
{
    return std::chrono::duration_cast<milliseconds>(boot_clock().now() - start_time);
}

std::optional<fault_kind> fault_named(const std::string& name)
{
    static const std::map<std::string, fault_kind> kinds = {
        {"refuse", fault_kind::refuse}, {"lose_answer", fault_kind::lose_response},
        {"late", fault_kind::delayed},  {"repeat", fault_kind::duplicate},
        {"hang", fault_kind::hang},     {"cut", fault_kind::truncate},
        {"cross", fault_kind::reorder}};
    auto it = kinds.find(name);
    return it == kinds.end() ? std::nullopt : std::optional(it->second);
}

} // namespace

scenario_result scenario_runner::run()
{
    scenario_result out;
    out.diagnostics = scenario_.errors;
    if (!out.diagnostics.empty())
    {
        return out;
    }
    started_ = boot_clock().now();
    for (const auto& it : scenario_.statements)
    {
        out.trace.push_back(fmt::format("{:6} ms  {}", since(started_).count(), it.source));
        diagnostic error;
        try
        {
            error = step(it);
        }
        catch (const std::out_of_range&)
        {
            error = "refers to a name that was not declared";
        }
        if (!error)
        {
            continue;
        }
        out.diagnostics.push_back(
            fmt::format("{}:{}: {}: {}", scenario_.path, it.line, it.source, *error));
        if (!it.source.starts_with("expect"))
        {
            break;
        }
    }
    traffic_.reset();
    monitor_.reset();
    fleet_.reset();
    return out;
}

diagnostic scenario_runner::step(const statement& it)
{
    if (it.kind < statement_kind::model)
    {
        return declare(it);
    }
    if (it.kind < statement_kind::publish)
    {
        return add_to_ticket(it);
    }
    if (it.kind < statement_kind::fault)
    {
        return execute(it);
    }
    return it.kind < statement_kind::expect_answered ? inject_fault(it) : expect(it);
}

diagnostic scenario_runner::declare(const statement& it)
{
    if (it.kind == statement_kind::seed)
    {
        random_.seed(static_cast<std::uint64_t>(it.number("COUNT")));
        return std::nullopt;
    }
    if (it.kind == statement_kind::platform_load)
    {
        load_time_ = milliseconds(it.number("MS"));
        return fleet_ ? diagnostic("must come before the first host, engine or service")
                      : std::nullopt;
    }
    if (!fleet_)
    {
        fleet_ = std::make_unique<fleet>(load_time_);
    }
    switch (it.kind)
    {
    case statement_kind::host:
        fleet_->add_host(it.text("HOST"), it.text("DOMAIN"));
        return std::nullopt;
    case statement_kind::engine:
    case statement_kind::engine_ignoring_fencing:
        fleet_->add_engine(it.text("SERVER"), it.text("DOMAIN"), it.number("MIB"),
                           it.kind == statement_kind::engine);
        return std::nullopt;
    case statement_kind::service:
        fleet_->add_service(it.text("SERVER"), it.text("DOMAIN"));
        return std::nullopt;
    default:
        return start();
    }
}

diagnostic scenario_runner::start()
{
    if (!fleet_->start())
    {
        return "a host could not listen";
    }
    traffic_ = std::make_unique<traffic>();
    monitor_ = std::make_unique<ticket_monitor>(*fleet_);
    started_ = boot_clock().now();
    return std::nullopt;
}

diagnostic scenario_runner::add_to_ticket(const statement& it)
{
    switch (it.kind)
    {
    case statement_kind::model:
        next_ticket_.put("models", it.text("MODEL"),
                         fmt::format(R"({{"version":"v1","memory_mib":{},"replicas":{}}})",
                                     it.number("MIB"), it.number("COUNT")));
        break;
    case statement_kind::adapter:
        next_ticket_.put(
            "adapters", it.text("ADAPTER"),
            fmt::format(R"({{"base":"{}","memory_mib":{}}})", it.text("MODEL"), it.number("MIB")));
        break;
    case statement_kind::workspace:
        workspaces_[it.text("WORKSPACE")] = {.rate = it.number("COUNT"),
                                             .burst = it.number("COUNT2")};
        next_ticket_.put("workspaces", it.text("WORKSPACE"),
                         fmt::format(R"({{"tokens_per_second":{},"burst_tokens":{}}})",
                                     it.number("COUNT"), it.number("COUNT2")));
        break;
    case statement_kind::key:
    {
        keys_[it.text("KEY")] = {it.text("SECRET"), it.text("WORKSPACE")};
        std::string member = key_text(it.text("KEY"), it.text("WORKSPACE"), it.text("SECRET"));
        next_ticket_.put("keys", it.text("KEY"), member.substr(member.find(':') + 1));
        break;
    }
    case statement_kind::withdraw_key:
        next_ticket_.put("keys", it.text("KEY"), "null");
        break;
    case statement_kind::route:
    case statement_kind::route_repeatable:
    case statement_kind::route_open:
        add_route(it, it.kind == statement_kind::route_open, it.kind != statement_kind::route);
        break;
    default:
        add_server(it.text("SERVER"), it.kind == statement_kind::server_leaving);
        break;
    }
    return std::nullopt;
}

void scenario_runner::add_route(const statement& it, bool open, bool repeatable)
{
    std::vector<std::string> servers;
    for (const auto& name : split_names(it.text("SERVERS")))
    {
        servers.push_back(fmt::format("\"{}\"", name));
    }
    next_ticket_.put("routes", it.text("ROUTE"),
                     fmt::format(R"({{"prefix":"{}","open":{},"repeatable":{},"servers":[{}]}})",
                                 it.text("PATH"), open, repeatable, fmt::join(servers, ",")));
}

void scenario_runner::add_server(const std::string& name, bool leaving)
{
    const fleet_server& it = fleet_->servers().at(name);
    next_ticket_.put("servers", name,
                     fmt::format(R"({{"kind":"{}","domain":"{}","address":"{}","memory_mib":{},)"
                                 R"("checks_fencing":{},"leaving":{}}})",
                                 it.engine ? "engine" : "service", it.domain, it.link->address(),
                                 it.memory_mib, it.checks_fencing, leaving));
}

// An operator retries an append until the log confirms it; a duplicate is harmless.
diagnostic scenario_runner::publish(const std::string& text, const std::string& id)
{
    log_entry entry{.id = record_id(id), .data = text};
    return wait_until(
        [&] {
            return fleet_->platform()
                .log()
                .append(tickets_stream, std::span(&entry, 1))
                .has_value();
        });
}

diagnostic scenario_runner::execute(const statement& it)
{
    switch (it.kind)
    {
    case statement_kind::publish:
        return publish(next_ticket_.build(it.number("COUNT")), "ticket." + it.text("COUNT"));
    case statement_kind::publish_text:
        return publish(it.text("TEXT"), "text");
    case statement_kind::send:
    case statement_kind::send_within:
        return send_completions(it);
    case statement_kind::call_path:
    case statement_kind::call_path_idempotent:
        return send_calls(it, it.kind == statement_kind::call_path_idempotent);
    case statement_kind::repeat:
        return repeat(it);
    case statement_kind::await_end:
        traffic_->join(it.text("LABEL"));
        return std::nullopt;
    case statement_kind::await_start:
        return wait_until(
            [&]
            {
                auto all = observed(it.text("LABEL"));
                return std::any_of(all.begin(), all.end(), [](auto& one) { return one.runs > 0; });
            });
    case statement_kind::await_ready:
        return wait_until([&] { return fleet_->is_ready(it.text("HOST")); });
    case statement_kind::await_ticket:
        return wait_until([&] { return !check_ticket(it.number("COUNT"), it.text("HOST")); });
    case statement_kind::pause:
        std::this_thread::sleep_for(milliseconds(it.number("MS")));
        return std::nullopt;
    default:
        std::this_thread::sleep_for(milliseconds(it.number("MS")) - since(started_));
        return std::nullopt;
    }
}

template <class Done>
diagnostic scenario_runner::wait_until(Done done)
{
    instant deadline = boot_clock().now() + hang_timeout;
    while (!done())
    {
        if (boot_clock().now() > deadline)
        {
            return fmt::format("the condition was not met within {} s", hang_timeout.count());
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return std::nullopt;
}

diagnostic scenario_runner::send_completions(const statement& it)
{
    const auto& [secret, workspace] = keys_.at(it.text("KEY"));
    std::vector<scenario_request> requests;
    for (std::int64_t i = 0; i < it.number("COUNT"); ++i)
    {
        scenario_request request;
        request.name = fmt::format("{}-{}", it.text("LABEL"), i);
        request.tag = fmt::format("{} {}", request.name, random_());
        request.workspace = workspace_id(workspace);
        request.prompt_tokens = prompt_cost(request.tag);
        request.completion_tokens = it.number("COUNT2");
        request.call.address = entry_address(it.text("HOST"));
        request.call.bearer = it.text("KEY") + "." + secret;
        request.call.path = "/v1/completions";
        request.call.body = completion_body(it.text("MODEL"), request.tag, it.number("COUNT2"));
        if (it.kind == statement_kind::send_within)
        {
            request.call.deadline = milliseconds(it.number("MS"));
        }
        requests.push_back(std::move(request));
    }
    traffic_->send(it.text("LABEL"), std::move(requests));
    return std::nullopt;
}

diagnostic scenario_runner::send_calls(const statement& it, bool idempotent)
{
    bool keyed = it.text("KEY") != "none";
    std::vector<scenario_request> requests;
    for (std::int64_t i = 0; i < it.number("COUNT"); ++i)
    {
        scenario_request request;
        request.name = fmt::format("{}-{}", it.text("LABEL"), i);
        request.tag = fmt::format(R"({{"unit":"{}-{}"}})", request.name, random_());
        request.call.address = entry_address(it.text("HOST"));
        request.call.path = it.text("PATH");
        request.call.body = request.tag;
        if (keyed)
        {
            const auto& [secret, workspace] = keys_.at(it.text("KEY"));
            request.call.bearer = it.text("KEY") + "." + secret;
            request.workspace = workspace_id(workspace);
            request.prompt_tokens = 1;
        }
        if (idempotent)
        {
            request.call.idempotency_key = fmt::format("{}-{}", request.name, random_());
        }
        requests.push_back(std::move(request));
    }
    traffic_->send(it.text("LABEL"), std::move(requests));
    return std::nullopt;
}

diagnostic scenario_runner::repeat(const statement& it)
{
    std::vector<scenario_request> repeated = traffic_->sent(it.text("LABEL"));
    for (auto& request : repeated)
    {
        request.call.address = entry_address(it.text("HOST"));
        request.name += " repeated";
    }
    traffic_->send(it.text("LABEL2"), std::move(repeated));
    return std::nullopt;
}

diagnostic scenario_runner::inject_fault(const statement& it)
{
    auto& servers = fleet_->servers();
    switch (it.kind)
    {
    case statement_kind::fault:
    case statement_kind::fault_delay:
    {
        auto kind = fault_named(it.text("KIND"));
        if (!kind)
        {
            return "unknown fault kind";
        }
        bool platform = it.text("TARGET") == "platform";
        fault_table& table =
            platform ? fleet_->platform().log().faults() : servers.at(it.text("TARGET")).faults();
        milliseconds delay(it.kind == statement_kind::fault_delay ? it.number("MS") : 0);
        table.set({{.call = it.text("CALL"),
                    .first = static_cast<int>(it.number("COUNT")),
                    .count = static_cast<int>(it.number("COUNT2")),
                    .kind = *kind,
                    .delay = delay}});
        return std::nullopt;
    }
    case statement_kind::platform_down:
    case statement_kind::platform_up:
        fleet_->set_platform_down(it.kind == statement_kind::platform_down);
        return std::nullopt;
    case statement_kind::expire_log:
        fleet_->platform().log().expire_all_but(static_cast<std::size_t>(it.number("COUNT")));
        return std::nullopt;
    case statement_kind::cut:
        servers.at(it.text("SERVER")).link->cut();
        return std::nullopt;
    case statement_kind::silence:
        servers.at(it.text("SERVER")).link->blackhole();
        return std::nullopt;
    case statement_kind::heal:
        servers.at(it.text("SERVER")).link->heal();
        return std::nullopt;
    case statement_kind::cut_from:
        fleet_->change_link(it.text("HOST"), it.text("TARGET"), link_change::cut);
        return std::nullopt;
    case statement_kind::silence_from:
        fleet_->change_link(it.text("HOST"), it.text("TARGET"), link_change::blackhole);
        return std::nullopt;
    case statement_kind::heal_from:
        fleet_->change_link(it.text("HOST"), it.text("TARGET"), link_change::heal);
        return std::nullopt;
    case statement_kind::cut_domain:
        fleet_->change_domain(it.text("DOMAIN"), link_change::cut);
        return std::nullopt;
    case statement_kind::heal_domain:
        fleet_->change_domain(it.text("DOMAIN"), link_change::heal);
        return std::nullopt;
    case statement_kind::stop:
        fleet_->stop(it.text("HOST"));
        return std::nullopt;
    default:
        marks_[it.text("SERVER")] = servers.at(it.text("SERVER")).runs();
        return std::nullopt;
    }
}

std::vector<observed_request> scenario_runner::observed(const std::string& label)
{
    return traffic_->observed(label, [this](const auto& it) { return runs_of(it); });
}

int scenario_runner::runs_of(const scenario_request& request)
{
    if (request.completion_tokens > 0)
    {
        return fleet_->ledger().runs_of(request.tag);
    }
    int n = 0;
    for (const auto& [name, server] : fleet_->servers())
    {
        n += server.service ? server.service->runs_of(request.tag) : 0;
    }
    return n;
}

std::string scenario_runner::entry_address(const std::string& host)
{
    auto& hosts = fleet_->hosts();
    if (host != "any")
    {
        return hosts.at(host)->entry->caller_address();
    }
    auto it = hosts.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random_() % hosts.size()));
    return it->second->entry->caller_address();
}

std::vector<std::string> scenario_runner::named_hosts(const std::string& host)
{
    std::vector<std::string> names;
    for (const auto& [name, it] : fleet_->hosts())
    {
        bool running = !it->stopped_clean;
        if (host == "all" ? running : name == host)
        {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace banyanshunt::scenario
