#pragma once

/// \file
/// Finds out which parts of prompts crash servers, and tells all hosts. Any datagram may be lost:
/// what one host saw is repeated in its reports, and each host repeats the bans that it knows, so
/// that a host that starts or comes back learns them without the one that decided.

#include <deque>
#include <functional>

#include "coordination/refusal_budget.hpp"
#include "platform/store.hpp"
#include "serve/peer_list.hpp"
#include "transport/loop/http_connection.hpp"

namespace banyanshunt
{

namespace peers
{
class prompt_crash;
class prompt_part_age;
} // namespace peers

class quarantine_manager
{
public:
    using broadcast = std::function<void(peers::peer_message message)>;

    quarantine_manager(host_context& context, const peer_list& peers, broadcast send_to_all);

    /// Reads the bans that the store holds.
    void start();
    /// Checks whether a server has ended, whose connection ended under a request with these parts
    /// before its response began. `host_context::end_checks` lists the server until that is known.
    void check_server(const server_id& server, const std::vector<prompt_part>& parts);
    /// Records that a response to a request with these parts began and its server went on.
    void record_sound(const std::vector<prompt_part>& parts);
    void handle_message(const peers::peer_message& message, instant sent_at);
    /// Adds what was recently learned of parts, and a few of the bans; the next report has others.
    void fill_report(peers::peer_message& message);
    /// Forgets what is old.
    void expire();

private:
    struct crash_report
    {
        server_crash crash;
        std::vector<prompt_part> parts;
    };
    /// A part that is sound, though a host counts crashes against it.
    struct sound_report
    {
        prompt_part part;
        instant reported_at;
    };

    task<void> read_bans();
    /// Reads a page of bans behind a key, and returns the next such key; nothing if that failed.
    task<std::optional<std::string>> read_page(http_connection& store, std::string after);
    void apply_record(const platform::keyed_record& record);
    /// Writes a record of the store's bans; after some failures it is left to the reports of hosts.
    task<void> write_record(platform::keyed_record record);
    void store_ban(prompt_part part);
    /// Drops a stored ban that no longer applies.
    void drop_record(prompt_part part);
    task<void> run_check(server_id server, std::int64_t start_time_ms, endpoint_text address);
    void record_crash(const crash_report& report, const char* source);
    void record_cleared(const std::vector<prompt_part>& parts, const char* source);
    /// Tells the other hosts that a part is sound; seldom for one part, and on large fleets not at
    /// once from each host that knows it.
    void contradict(prompt_part part);
    void write(const crash_report& from, peers::prompt_crash& to) const;
    void write(prompt_part part, instant at, peers::prompt_part_age& to) const;

    host_context& context_;
    const peer_list& peers_;
    broadcast send_to_all_;
    /// What this host saw lately, the newest first.
    std::deque<crash_report> crashes_;
    std::deque<sound_report> sound_;
    refusal_budget lines_;
};

} // namespace banyanshunt
