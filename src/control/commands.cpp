#include "control/commands.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "control/config_command.hpp"
#include "control/fleet_view.hpp"
#include "control/text_table.hpp"
#include "control/ticket_commands.hpp"
#include "coordination/key_check.hpp"
#include "coordination/random_source.hpp"
#include "transport/daemon_main.hpp"

namespace banyanshunt
{

const char* const control_usage =
    R"(drives banyanshunt by tickets and checks serving configurations.
  shuntctl ticket check FILE                   check a ticket's format
  shuntctl --log=ADDR ticket publish FILE      publish a ticket; safe to repeat
      [--entry=ADDR,... --wait_ms=N]           and wait until it is in force on every live host
  shuntctl --entry=ADDR,... ticket status N    show on which hosts ticket N is in force
  shuntctl --log=ADDR ticket log               list the tickets that the log keeps
  shuntctl --entry=ADDR,... state show         show the objects in force on the first host
  shuntctl --entry=ADDR,... hosts              list the entry hosts
  shuntctl key make ID WORKSPACE               make a key: its entry for a ticket, and the secret
  shuntctl check FILE [--against=FILE]         check a serving configuration before it is sent,
                                               and compare it with the version in effect
Add --json for scripts.)";

namespace
{

using nlohmann::json;

int make_key(const std::string& id, const std::string& workspace, const control_options& options)
{
    auto random = make_seeded_rng();
    std::string salt = fmt::format("{:016x}", random());
    std::string secret = fmt::format("{:016x}{:016x}", random(), random());
    json fields = {{"workspace", workspace}, {"salt", salt}, {"hash", salted_hash(salt, secret)}};
    if (options.json)
    {
        json out = {{"id", id}, {"key", fields}, {"bearer", id + "." + secret}};
        fmt::print("{}\n", out.dump());
        return exit_success;
    }
    fmt::print("\"{}\": {}\n", id, fields.dump());
    fmt::print(stderr, "{}.{}\n", id, secret);
    return exit_success;
}

int list_hosts(const control_options& options)
{
    http_client http;
    auto hosts = query_hosts(http, options.admin_addresses, options.timeout);
    json out = json::array();
    text_table table({"HOST", "DOMAIN", "ADMIN", "LISTED", "ANSWERED", "LEAVING", "TICKET", "AGE"});
    auto yes_or_no = [](bool it) { return it ? "yes" : "no"; };
    for (const auto& [id, host] : hosts)
    {
        std::string age = host.view_age ? fmt::format("{} ms", host.view_age->count()) : "?";
        json row = {{"host", id.str()},
                    {"domain", host.domain.str()},
                    {"admin", host.admin_address},
                    {"listed", host.listed},
                    {"answered", host.responded},
                    {"leaving", host.leaving},
                    {"ticket", host.last_ticket.count()}};
        if (host.view_age)
        {
            row["view_age_ms"] = host.view_age->count();
        }
        out.push_back(std::move(row));
        table.add({id.str(), host.domain.str(), host.admin_address, yes_or_no(host.listed),
                   yes_or_no(host.responded), yes_or_no(host.leaving),
                   std::to_string(host.last_ticket.count()), age});
    }
    fmt::print("{}", options.json ? out.dump() + "\n" : table.text());
    return hosts.empty() ? exit_failed : exit_success;
}

// Formats one row per object: its kind, name and ticket, then its fields as JSON.
std::string objects_table(const json& document)
{
    text_table table({"KIND", "NAME", "TICKET", "VALUE"});
    for (const char* kind : {"workspaces", "keys", "models", "adapters", "routes", "servers"})
    {
        json objects = document.value(kind, json::object());
        for (const auto& item : objects.items())
        {
            json value = item.value();
            auto ticket = value.value("set_by_ticket", 0);
            value.erase("set_by_ticket");
            table.add({kind, item.key(), std::to_string(ticket), value.dump()});
        }
    }
    return table.text();
}

int show_state(const control_options& options)
{
    http_client http;
    for (const auto& address : options.admin_addresses)
    {
        http_call call{.address = address,
                       .method = "GET",
                       .path = "/state/objects",
                       .headers = {},
                       .body = {},
                       .connect_timeout = options.timeout,
                       .read_timeout = options.timeout};
        auto response = http.send(call);
        if (!response || response->status != 200)
        {
            continue;
        }
        auto document = json::parse(response->body, nullptr, false);
        if (document.is_object())
        {
            fmt::print("{}", options.json ? response->body + "\n" : objects_table(document));
            return exit_success;
        }
    }
    fmt::print(stderr, "no entry host responded\n");
    return exit_failed;
}

int usage()
{
    fmt::print(stderr, "{}\n", control_usage);
    return exit_usage;
}

int run_ticket(const std::vector<std::string>& words, const control_options& options)
{
    bool has_argument = words.size() == 3;
    if (has_argument && words[1] == "check")
    {
        return check_ticket(words[2], options);
    }
    if (has_argument && words[1] == "publish")
    {
        return publish_ticket_file(words[2], options);
    }
    if (has_argument && words[1] == "status")
    {
        return ticket_status(words[2], options);
    }
    return words.size() == 2 && words[1] == "log" ? ticket_log(options) : usage();
}

} // namespace

int run_control(const std::vector<std::string>& words, const control_options& options)
{
    if (words.size() >= 2 && words[0] == "ticket")
    {
        return run_ticket(words, options);
    }
    if (words.size() == 2 && words[0] == "state" && words[1] == "show")
    {
        return show_state(options);
    }
    if (words.size() == 1 && words[0] == "hosts")
    {
        return list_hosts(options);
    }
    if (words.size() == 2 && words[0] == "check")
    {
        return check_config_file(words[1], options);
    }
    if (words.size() == 4 && words[0] == "key" && words[1] == "make")
    {
        return make_key(words[2], words[3], options);
    }
    return usage();
}

} // namespace banyanshunt
