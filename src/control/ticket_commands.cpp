#include "control/ticket_commands.hpp"

#include <charconv>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "control/fleet_view.hpp"
#include "control/publication.hpp"
#include "control/text_file.hpp"
#include "control/text_table.hpp"
#include "coordination/random_source.hpp"
#include "protocol/snapshot_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "transport/daemon_main.hpp"
#include "transport/platform_clients.hpp"

namespace banyanshunt
{
namespace
{

using nlohmann::json;

constexpr milliseconds confirm_poll(100);

int exit_of(publication_outcome end)
{
    switch (end)
    {
    case publication_outcome::accepted:
    case publication_outcome::duplicate:
        return exit_success;
    case publication_outcome::refused:
        return exit_refused;
    case publication_outcome::not_published:
        return exit_failed;
    case publication_outcome::indeterminate:
        return exit_indeterminate;
    }
    return exit_failed;
}

void print_publication(const publication& it, bool as_json)
{
    if (as_json)
    {
        json out = {{"ticket", it.number.count()}, {"result", to_string(it.outcome)}};
        if (it.offset)
        {
            out["offset"] = it.offset->count();
        }
        if (!it.detail.empty())
        {
            out["detail"] = it.detail;
        }
        fmt::print("{}\n", out.dump());
        return;
    }
    std::string at = it.offset ? fmt::format(" at offset {}", it.offset->count()) : "";
    std::string why = it.detail.empty() ? "" : ": " + it.detail;
    fmt::print("ticket {} {}{}{}\n", it.number.count(), to_string(it.outcome), at, why);
}

void print_confirmations(const std::map<host_id, host_report>& hosts, ticket_number number,
                         bool as_json)
{
    json out = json::array();
    text_table table({"HOST", "DOMAIN", "TICKET", "IN FORCE"});
    for (const auto& [id, host] : hosts)
    {
        bool in_force = host.confirms(number);
        out.push_back({{"host", id.str()},
                       {"domain", host.domain.str()},
                       {"ticket", host.last_ticket.count()},
                       {"answered", host.responded},
                       {"in_force", in_force}});
        table.add({id.str(), host.domain.str(),
                   host.responded ? std::to_string(host.last_ticket.count()) : "?",
                   in_force ? "yes" : (host.responded ? "no" : "no answer")});
    }
    fmt::print("{}", as_json ? out.dump() + "\n" : table.text());
}

// Queries all hosts until each has confirmed the ticket or `confirm_timeout` has passed; at least
// once.
int confirm(ticket_number number, const control_options& options)
{
    http_client http;
    boot_clock clock;
    instant limit = clock.now() + options.confirm_timeout;
    std::map<host_id, host_report> hosts;
    while (true)
    {
        hosts = query_hosts(http, options.admin_addresses, options.timeout);
        bool all = !hosts.empty() && unconfirmed(hosts, number).empty();
        if (all || clock.now() >= limit)
        {
            break;
        }
        std::this_thread::sleep_for(confirm_poll);
    }
    print_confirmations(hosts, number, options.json);
    auto missing = unconfirmed(hosts, number);
    for (const auto& host : missing)
    {
        fmt::print(stderr, "not confirmed by {} in {}\n", host.host.str(), host.domain.str());
    }
    if (hosts.empty())
    {
        fmt::print(stderr, "no entry host responded\n");
    }
    if (missing.empty() && !hosts.empty())
    {
        return exit_success;
    }
    return exit_unconfirmed;
}

} // namespace

int check_ticket(const std::string& path, const control_options& options)
{
    auto text = read_text(path);
    if (!text)
    {
        return exit_usage;
    }
    auto it = decode_ticket(*text);
    publication_outcome end = it ? publication_outcome::accepted : publication_outcome::refused;
    if (!it)
    {
        fmt::print(stderr, "{}: {}\n", path, it.error().detail);
        return exit_of(end);
    }
    if (options.json)
    {
        fmt::print("{}\n", json({{"ticket", it->number.count()}, {"well_formed", true}}).dump());
        return exit_success;
    }
    fmt::print("ticket {} is well formed\n", it->number.count());
    return exit_success;
}

int publish_ticket_file(const std::string& path, const control_options& options)
{
    auto text = read_text(path);
    if (!text)
    {
        return exit_usage;
    }
    if (options.confirm_timeout.count() > 0 && options.admin_addresses.empty())
    {
        fmt::print(stderr, "--wait_ms needs --entry\n");
        return exit_usage;
    }
    http_client http;
    http_log_service log(http, options.log_address, options.timeout);
    auto random = make_seeded_rng();
    publication_options publishing{
        .id = record_id(fmt::format("shuntctl.{:016x}{:016x}", random(), random()))};
    auto it = publish_ticket(log, json_snapshot_codec(), decode_ticket, *text, publishing);
    print_publication(it, options.json);
    int code = exit_of(it.outcome);
    if (code != exit_success || options.confirm_timeout.count() == 0)
    {
        return code;
    }
    return confirm(it.number, options);
}

int ticket_status(const std::string& number, const control_options& options)
{
    std::int64_t n = 0;
    auto [end, ec] = std::from_chars(number.data(), number.data() + number.size(), n);
    bool valid = ec == std::errc() && end == number.data() + number.size() && n > 0;
    if (!valid || options.admin_addresses.empty())
    {
        fmt::print(stderr, "needs a ticket's number and --entry\n");
        return exit_usage;
    }
    return confirm(ticket_number(n), options);
}

int ticket_log(const control_options& options)
{
    http_client http;
    http_log_service log(http, options.log_address, options.timeout);
    json out = json::array();
    text_table table({"OFFSET", "TICKET", "VERDICT"});
    auto record_outcome = [&](const ticket_outcome& it)
    {
        std::string verdict = it.refused ? "refused: " + it.refused->detail
                                         : (it.duplicate ? "repeated" : "accepted");
        out.push_back(
            {{"offset", it.offset.count()}, {"ticket", it.number.count()}, {"verdict", verdict}});
        table.add({std::to_string(it.offset.count()), std::to_string(it.number.count()), verdict});
    };
    state_cell cell;
    state_follower<http_log_service> follower(log, cell, decode_ticket, record_outcome);
    auto step = follower.step(milliseconds(0));
    if (!step && step.error().code == errc::records_expired)
    {
        (void)load_snapshot(log, json_snapshot_codec(), cell);
        step = follower.step(milliseconds(0));
    }
    while (step && cell.get()->next_offset < step->end)
    {
        step = follower.step(milliseconds(0));
    }
    if (!step)
    {
        fmt::print(stderr, "the log cannot be read: {}\n", step.error().detail);
        return exit_failed;
    }
    fmt::print("{}", options.json ? out.dump() + "\n" : table.text());
    return exit_success;
}

} // namespace banyanshunt
