/// \file
/// The operators' command line.

#include <fstream>
#include <iostream>
#include <sstream>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "coordination/key_check.hpp"
#include "coordination/random_source.hpp"
#include "protocol/ticket_codec.hpp"
#include "transport/daemon_main.hpp"
#include "transport/platform_clients.hpp"

DEFINE_string(log, "", "address of the platform's log service");
DEFINE_int64(patience_ms, 2000, "longest wait for the log service, in milliseconds");

namespace
{

using namespace banyanshunt;

constexpr const char* usage = R"(drives banyanshunt by tickets.
  shuntctl ticket check FILE            check a ticket's format
  shuntctl --log=ADDR ticket publish FILE   append a ticket to the log
  shuntctl key make ID WORKSPACE        make a key: the ticket's part and the secret)";

std::optional<std::string> read_text(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
    {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

int check_ticket(const std::string& path)
{
    auto text = read_text(path);
    if (!text)
    {
        return exit_usage;
    }
    auto it = decode_ticket(*text);
    if (!it)
    {
        fmt::print(stderr, "{}: {}\n", path, it.error().detail);
        return exit_usage;
    }
    fmt::print("ticket {} is well formed\n", it->number.count());
    return exit_good;
}

int publish_ticket(const std::string& path)
{
    int checked = check_ticket(path);
    if (checked != exit_good)
    {
        return checked;
    }
    auto text = read_text(path);
    http_client http;
    http_log_service log(http, FLAGS_log, milliseconds(FLAGS_patience_ms));
    auto number = decode_ticket(*text)->number;
    log_entry entry{.id = record_id(fmt::format("ticket.{}", number.count())), .data = *text};
    auto offset = log.append(tickets_stream, std::span(&entry, 1));
    if (!offset)
    {
        fmt::print(stderr, "not published for sure ({}): {}\n", to_string(offset.error().run),
                   offset.error().detail);
        return exit_failed;
    }
    fmt::print("published ticket {} at offset {}\n", number.count(), offset->count());
    return exit_good;
}

int make_key(const std::string& id, const std::string& workspace)
{
    auto random = system_seeded();
    std::string salt = fmt::format("{:016x}", random());
    std::string secret = fmt::format("{:016x}{:016x}", random(), random());
    fmt::print("\"{}\": {{\"workspace\": \"{}\", \"salt\": \"{}\", \"hash\": \"{}\"}}\n", id,
               workspace, salt, salted_hash(salt, secret));
    fmt::print(stderr, "{}.{}\n", id, secret);
    return exit_good;
}

int run(const std::vector<std::string>& words)
{
    if (words.size() == 3 && words[0] == "ticket" && words[1] == "check")
    {
        return check_ticket(words[2]);
    }
    if (words.size() == 3 && words[0] == "ticket" && words[1] == "publish")
    {
        return publish_ticket(words[2]);
    }
    if (words.size() == 4 && words[0] == "key" && words[1] == "make")
    {
        return make_key(words[2], words[3]);
    }
    fmt::print(stderr, "{}\n", usage);
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(BANYANSHUNT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run(std::vector<std::string>(argv + 1, argv + argc));
}
