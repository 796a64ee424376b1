/// \file
/// Publishing of tickets. Guards against a ticket that is accepted twice, or reported with a wrong
/// outcome, after appends or their responses were lost, and against two operators who both believe
/// that they published the same number.

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "control/fleet_view.hpp"
#include "control/publication.hpp"
#include "protocol/snapshot_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "stand_ins/memory_log.hpp"

using namespace banyanshunt;

namespace
{

std::string text_of(int number, const std::string& note)
{
    return fmt::format(R"({{"format":1,"ticket":{},"note":"{}"}})", number, note);
}

publication publish(memory_log& log, const std::string& text, const std::string& id)
{
    publication_options options{.id = record_id(id), .max_retries = 3, .timeout = milliseconds(1)};
    return publish_ticket(log, json_snapshot_codec(), decode_ticket, text, options);
}

// The state that every host computes from the log.
fleet_state state_of(memory_log& log)
{
    state_cell cell;
    state_follower<memory_log> follower(log, cell, decode_ticket, [](const auto&) {});
    REQUIRE(follower.step(milliseconds(0)));
    return *cell.get();
}

// Appends the record of another operator after this one has read the log, before its append.
class racing_log
{
public:
    racing_log(memory_log& log, std::string rival) : log_(log), rival_(std::move(rival)) {}

    verdict<log_offset> append(const stream_name& stream, std::span<const log_entry> batch)
    {
        if (!rival_.empty())
        {
            log_entry entry{.id = record_id("rival"), .data = std::exchange(rival_, "")};
            REQUIRE(log_.append(stream, std::span(&entry, 1)));
        }
        return log_.append(stream, batch);
    }
    verdict<log_page> read(const stream_name& stream, log_offset from, std::size_t limit,
                           milliseconds wait)
    {
        return log_.read(stream, from, limit, wait);
    }

private:
    memory_log& log_;
    std::string rival_;
};

struct fault_case
{
    std::string name;
    std::vector<fault_row> rows;
    publication_outcome end;
    std::int64_t last_ticket;
};

} // namespace

TEST_CASE("publishing a ticket is safe through every fault of the log")
{
    const std::vector<fault_case> cases = {
        {"no fault", {}, publication_outcome::accepted, 1},
        {"the response is lost",
         {{.call = "append", .kind = fault_kind::lose_response}},
         publication_outcome::accepted,
         1},
        {"the append is duplicated in transit",
         {{.call = "append", .kind = fault_kind::duplicate}},
         publication_outcome::accepted,
         1},
        {"the append is lost, then the response to its retry",
         {{.call = "append", .kind = fault_kind::hang},
          {.call = "append", .first = 2, .kind = fault_kind::lose_response}},
         publication_outcome::accepted,
         1},
        {"the log refuses twice",
         {{.call = "append", .count = 2, .kind = fault_kind::refuse}},
         publication_outcome::accepted,
         1},
        {"the log refuses every append",
         {{.call = "append", .count = 99, .kind = fault_kind::refuse}},
         publication_outcome::not_published,
         0},
        {"no append gets a response",
         {{.call = "append", .count = 99, .kind = fault_kind::hang}},
         publication_outcome::indeterminate,
         0},
        {"the log cannot be read",
         {{.call = "read", .count = 99, .kind = fault_kind::refuse}},
         publication_outcome::not_published,
         0},
        {"the response is lost, and the reads after it fail",
         {{.call = "append", .kind = fault_kind::lose_response},
          {.call = "append", .first = 2, .count = 98, .kind = fault_kind::hang},
          {.call = "read", .first = 4, .count = 99, .kind = fault_kind::refuse}},
         publication_outcome::indeterminate,
         1},
    };
    for (const auto& it : cases)
    {
        INFO(it.name);
        memory_log log;
        log.faults().set(it.rows);
        auto end = publish(log, text_of(1, "a"), "mine");
        CHECK(to_string(end.outcome) == std::string(to_string(it.end)));
        log.faults().set({});
        CHECK(state_of(log).last_ticket.count() == it.last_ticket);

        // The operator repeats the same command: it succeeds, and the ticket is accepted once.
        auto again = publish(log, text_of(1, "a"), "mine-again");
        CHECK((again.outcome == publication_outcome::accepted ||
               again.outcome == publication_outcome::duplicate));
        CHECK(state_of(log).accepted.size() == 1);
    }
}

TEST_CASE("of two operators who race for one number one wins")
{
    memory_log log;
    SECTION("the refusal names the record that took the number")
    {
        racing_log racing(log, text_of(1, "rival"));
        auto lost =
            publish_ticket(racing, json_snapshot_codec(), decode_ticket, text_of(1, "mine"),
                           {.id = record_id("mine"), .max_retries = 3, .timeout = milliseconds(1)});
        CHECK(lost.outcome == publication_outcome::refused);
        CHECK(lost.detail == "ticket: number 1 was taken by another ticket, at offset 0");
    }
    SECTION("an operator who publishes an identical ticket gets duplicate")
    {
        racing_log racing(log, text_of(1, "same"));
        auto same =
            publish_ticket(racing, json_snapshot_codec(), decode_ticket, text_of(1, "same"),
                           {.id = record_id("mine"), .max_retries = 3, .timeout = milliseconds(1)});
        CHECK(same.outcome == publication_outcome::duplicate);
    }
    SECTION("a ticket whose number is already taken is not appended")
    {
        CHECK(publish(log, text_of(1, "first"), "a").outcome == publication_outcome::accepted);
        CHECK(publish(log, text_of(1, "second"), "b").outcome == publication_outcome::refused);
        CHECK(log.appends() == 1);
    }
}

TEST_CASE("hosts that have not confirmed a ticket are named")
{
    std::map<host_id, host_report> hosts;
    auto add = [&](const std::string& name, bool responded, std::int64_t ticket, bool leaving)
    {
        hosts[host_id(name)] = {.host = host_id(name),
                                .domain = domain_id("d"),
                                .admin_address = "",
                                .listed = true,
                                .leaving = leaving,
                                .responded = responded,
                                .last_ticket = ticket_number(ticket),
                                .view_age = {}};
    };
    add("confirmed", true, 7, false);
    add("behind", true, 6, false);
    add("silent", false, 7, false);
    add("leaving", true, 6, true);
    auto missing = unconfirmed(hosts, ticket_number(7));
    REQUIRE(missing.size() == 2);
    CHECK(missing[0].host.str() == "behind");
    CHECK(missing[1].host.str() == "silent");
}
