/// \file
/// Claims on idempotency keys: a call runs at most once even if its records reach the log in any
/// order, delayed, duplicated or not at all. The checker itself is tested with a rule that is too
/// weak.

#include <functional>
#include <random>

#include <catch2/catch.hpp>

#include "protocol/claim_codec.hpp"

using namespace banyanshunt;

namespace
{

const claim_key order_key{.scope = "workspace clinics", .key = "order-7"};

claim_record claim_of(const std::string& id, const std::string& digest = "d")
{
    return {.kind = claim_record_kind::claim,
            .key = order_key,
            .claim = record_id(id),
            .digest = digest};
}

claim_record abandon_of(const std::string& id)
{
    return {.kind = claim_record_kind::abandon, .key = order_key, .claim = record_id(id)};
}

claim_record outcome_of_call(const std::string& id, const std::string& body)
{
    return {.kind = claim_record_kind::outcome,
            .key = order_key,
            .claim = record_id(id),
            .outcome = {.status = 200, .content_type = "application/json", .body = body}};
}

claim_table table_of(const std::vector<claim_record>& records, std::size_t max_outcome_bytes = 1000)
{
    claim_table table(max_outcome_bytes);
    std::int64_t at = 0;
    for (const auto& record : records)
    {
        table.apply(record, log_offset(at++));
    }
    return table;
}

std::string winner(const std::vector<claim_record>& records)
{
    claim_table table = table_of(records);
    const live_claim* live = table.find(order_key);
    return live ? live->claim.str() : "none";
}

// Whether a writer that has read this table may send its call.
using grant_rule = std::function<bool(const claim_table&, const record_id&)>;

bool live_rule(const claim_table& table, const record_id& id)
{
    const live_claim* live = table.find(order_key);
    return table.has_read(id) && live && live->claim == id && !live->outcome;
}

// One host that claims the key once; its records reach the log at random steps.
struct writer
{
    record_id id;
    claim_table table{1000};
    bool abandoned = false;
    bool sent = false;
};

struct history
{
    std::vector<claim_record> log;
    std::vector<claim_record> in_flight;
    std::vector<writer> writers;
    int runs = 0;
};

void append_in_flight(history& it, std::mt19937_64& random)
{
    if (it.in_flight.empty())
    {
        return;
    }
    std::size_t n = random() % it.in_flight.size();
    claim_record record = it.in_flight[n];
    it.log.push_back(record);
    bool duplicated = random() % 4 == 0;
    if (!duplicated)
    {
        it.in_flight.erase(it.in_flight.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

void read_log(const history& it, writer& host, std::mt19937_64& random)
{
    auto from = static_cast<std::size_t>(host.table.next_offset().count());
    std::size_t n = random() % (it.log.size() - from + 1);
    for (std::size_t at = from; at < from + n; ++at)
    {
        host.table.apply(it.log[at], log_offset(static_cast<std::int64_t>(at)));
    }
}

void decide(history& it, writer& host, const grant_rule& may_send, std::mt19937_64& random)
{
    if (host.abandoned || host.sent)
    {
        return;
    }
    if (may_send(host.table, host.id))
    {
        host.sent = true;
        bool unreachable = random() % 4 == 0;
        it.runs += unreachable ? 0 : 1;
        it.in_flight.push_back(unreachable ? abandon_of(host.id.str())
                                           : outcome_of_call(host.id.str(), "{}"));
        return;
    }
    if (random() % 5 == 0)
    {
        host.abandoned = true;
        it.in_flight.push_back(abandon_of(host.id.str()));
    }
}

int runs_in_history(std::uint64_t seed, const grant_rule& may_send)
{
    std::mt19937_64 random(seed);
    history it;
    for (const char* id : {"a", "b", "c", "d"})
    {
        it.writers.push_back({.id = record_id(id)});
        it.in_flight.push_back(claim_of(id));
    }
    for (int step = 0; step < 120; ++step)
    {
        writer& host = it.writers[random() % it.writers.size()];
        switch (random() % 3)
        {
        case 0:
            append_in_flight(it, random);
            break;
        case 1:
            read_log(it, host, random);
            break;
        default:
            decide(it, host, may_send, random);
        }
    }
    return it.runs;
}

} // namespace

TEST_CASE("the first claim in the log wins")
{
    CHECK(winner({claim_of("a"), claim_of("b")}) == "a");

    SECTION("unless its writer abandoned it before or after it was appended")
    {
        CHECK(winner({claim_of("a"), abandon_of("a"), claim_of("b")}) == "b");
        CHECK(winner({abandon_of("a"), claim_of("a"), claim_of("b")}) == "b");
    }
    SECTION("a claim that was appended after a live one stays void")
    {
        CHECK(winner({claim_of("a"), claim_of("b"), abandon_of("a")}) == "none");
        CHECK(winner({claim_of("a"), claim_of("b"), abandon_of("a"), claim_of("b")}) == "none");
    }
    SECTION("a second copy of a record changes nothing")
    {
        CHECK(winner({claim_of("a"), abandon_of("a"), claim_of("a")}) == "none");
    }
    SECTION("a claim whose call ran cannot be abandoned")
    {
        CHECK(winner({claim_of("a"), outcome_of_call("a", "x"), abandon_of("a"), claim_of("b")}) ==
              "a");
    }
}

TEST_CASE("a repeated call gets the known outcome")
{
    auto resolve_repeat = [](const std::vector<claim_record>& records, const std::string& digest)
    {
        claim_table table = table_of(records);
        return resolve_duplicate(*table.find(order_key), digest);
    };

    SECTION("the outcome, when it is in the log")
    {
        auto it = resolve_repeat({claim_of("a"), outcome_of_call("a", "done")}, "d");
        REQUIRE(it);
        CHECK(it->outcome->body == "done");
    }
    SECTION("may_have_run, when it is not")
    {
        auto it = resolve_repeat({claim_of("a")}, "d");
        REQUIRE(!it);
        CHECK(it.error().code == errc::already_claimed);
        CHECK(it.error().run == run_state::may_have_run);
    }
    SECTION("a refusal, when the body differs")
    {
        auto it = resolve_repeat({claim_of("a"), outcome_of_call("a", "done")}, "other");
        REQUIRE(!it);
        CHECK(it.error().code == errc::idempotency_mismatch);
        CHECK(it.error().run == run_state::not_run);
    }
    SECTION("that it ran, when the response body was dropped from memory")
    {
        claim_table table = table_of({claim_of("a"), outcome_of_call("a", std::string(2000, 'x'))});
        auto it = resolve_duplicate(*table.find(order_key), "d");
        REQUIRE(!it);
        CHECK(it.error().run == run_state::ran);
    }
}

TEST_CASE("claims that the log no longer keeps are removed")
{
    claim_table table = table_of({claim_of("a"), outcome_of_call("a", "x")});
    table.expire(log_offset(1));
    CHECK(!table.find(order_key));
    CHECK(table.size() == 0);
    CHECK(!table.has_read(record_id("a")));
}

TEST_CASE("a call runs at most once in any history")
{
    for (std::uint64_t seed = 1; seed <= 5000; ++seed)
    {
        INFO("seed " << seed);
        REQUIRE(runs_in_history(seed, live_rule) <= 1);
    }
    SECTION("and the check catches a writer that sends once it has read its own claim")
    {
        auto too_weak = [](const claim_table& table, const record_id& id)
        { return table.has_read(id); };
        int detected = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
        {
            detected += runs_in_history(seed, too_weak) > 1 ? 1 : 0;
        }
        CHECK(detected > 0);
    }
}

TEST_CASE("a claim record is unchanged by encoding and decoding")
{
    auto record = outcome_of_call("a", std::string("\x00\xff{}", 4));
    record.key.key = "any \xfe bytes";
    auto read = decode_claim_record(encode_claim_record(record));
    REQUIRE(read);
    CHECK(read->key == record.key);
    CHECK(read->claim == record.claim);
    CHECK(read->outcome == record.outcome);
    CHECK(!decode_claim_record("{}"));
    CHECK(!decode_claim_record("nonsense"));
}
