/// \file
/// Claims on idempotency keys: whatever the order in which records come into the log, late, twice
/// or never, a call runs at most once. The checker is shown to catch a rule that is too weak.

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

claim_table book_of(const std::vector<claim_record>& records, std::size_t most_bytes = 1000)
{
    claim_table book(most_bytes);
    std::int64_t at = 0;
    for (const auto& record : records)
    {
        book.apply(record, log_offset(at++));
    }
    return book;
}

std::string winner(const std::vector<claim_record>& records)
{
    claim_table book = book_of(records);
    const live_claim* live = book.find(order_key);
    return live ? live->claim.str() : "none";
}

// Whether a writer that has read this book may send its call.
using grant_rule = std::function<bool(const claim_table&, const record_id&)>;

bool live_rule(const claim_table& book, const record_id& id)
{
    const live_claim* live = book.find(order_key);
    return book.has_read(id) && live && live->claim == id && !live->outcome;
}

// One host that claims the key once, with records that come into the log when chance lets them.
struct writer
{
    record_id id;
    claim_table book{1000};
    bool given_up = false;
    bool sent = false;
};

struct history
{
    std::vector<claim_record> log;
    std::vector<claim_record> under_way;
    std::vector<writer> writers;
    int runs = 0;
};

void let_in(history& it, std::mt19937_64& random)
{
    if (it.under_way.empty())
    {
        return;
    }
    std::size_t n = random() % it.under_way.size();
    claim_record record = it.under_way[n];
    it.log.push_back(record);
    bool comes_again = random() % 4 == 0;
    if (!comes_again)
    {
        it.under_way.erase(it.under_way.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

void read_on(const history& it, writer& host, std::mt19937_64& random)
{
    auto from = static_cast<std::size_t>(host.book.next_offset().count());
    std::size_t n = random() % (it.log.size() - from + 1);
    for (std::size_t at = from; at < from + n; ++at)
    {
        host.book.apply(it.log[at], log_offset(static_cast<std::int64_t>(at)));
    }
}

void decide(history& it, writer& host, const grant_rule& may_send, std::mt19937_64& random)
{
    if (host.given_up || host.sent)
    {
        return;
    }
    if (may_send(host.book, host.id))
    {
        host.sent = true;
        bool unreachable = random() % 4 == 0;
        it.runs += unreachable ? 0 : 1;
        it.under_way.push_back(unreachable ? abandon_of(host.id.str())
                                           : outcome_of_call(host.id.str(), "{}"));
        return;
    }
    if (random() % 5 == 0)
    {
        host.given_up = true;
        it.under_way.push_back(abandon_of(host.id.str()));
    }
}

int runs_in_history(std::uint64_t seed, const grant_rule& may_send)
{
    std::mt19937_64 random(seed);
    history it;
    for (const char* id : {"a", "b", "c", "d"})
    {
        it.writers.push_back({.id = record_id(id)});
        it.under_way.push_back(claim_of(id));
    }
    for (int step = 0; step < 120; ++step)
    {
        writer& host = it.writers[random() % it.writers.size()];
        switch (random() % 3)
        {
        case 0:
            let_in(it, random);
            break;
        case 1:
            read_on(it, host, random);
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

    SECTION("unless its writer gave up before or after it came")
    {
        CHECK(winner({claim_of("a"), abandon_of("a"), claim_of("b")}) == "b");
        CHECK(winner({abandon_of("a"), claim_of("a"), claim_of("b")}) == "b");
    }
    SECTION("a claim that found another one live stays void")
    {
        CHECK(winner({claim_of("a"), claim_of("b"), abandon_of("a")}) == "none");
        CHECK(winner({claim_of("a"), claim_of("b"), abandon_of("a"), claim_of("b")}) == "none");
    }
    SECTION("a second copy of a record changes nothing")
    {
        CHECK(winner({claim_of("a"), abandon_of("a"), claim_of("a")}) == "none");
    }
    SECTION("a call that ran cannot be given up")
    {
        CHECK(winner({claim_of("a"), outcome_of_call("a", "x"), abandon_of("a"), claim_of("b")}) ==
              "a");
    }
}

TEST_CASE("a repeat is told what is known")
{
    auto told = [](const std::vector<claim_record>& records, const std::string& digest)
    {
        claim_table book = book_of(records);
        return resolve_duplicate(*book.find(order_key), digest);
    };

    SECTION("the outcome, when it is in the log")
    {
        auto it = told({claim_of("a"), outcome_of_call("a", "done")}, "d");
        REQUIRE(it);
        CHECK(it->outcome->body == "done");
    }
    SECTION("may_have_run, when it is not")
    {
        auto it = told({claim_of("a")}, "d");
        REQUIRE(!it);
        CHECK(it.error().code == errc::already_claimed);
        CHECK(it.error().run == run_state::may_have_run);
    }
    SECTION("a refusal, when the body is another")
    {
        auto it = told({claim_of("a"), outcome_of_call("a", "done")}, "other");
        REQUIRE(!it);
        CHECK(it.error().code == errc::idempotency_mismatch);
        CHECK(it.error().run == run_state::not_run);
    }
    SECTION("that it ran, when the answer is too old to be kept in memory")
    {
        claim_table book = book_of({claim_of("a"), outcome_of_call("a", std::string(2000, 'x'))});
        auto it = resolve_duplicate(*book.find(order_key), "d");
        REQUIRE(!it);
        CHECK(it.error().run == run_state::ran);
    }
}

TEST_CASE("claims that the log no longer keeps are forgotten")
{
    claim_table book = book_of({claim_of("a"), outcome_of_call("a", "x")});
    book.expire(log_offset(1));
    CHECK(!book.find(order_key));
    CHECK(book.size() == 0);
    CHECK(!book.has_read(record_id("a")));
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
        auto too_weak = [](const claim_table& book, const record_id& id)
        { return book.has_read(id); };
        int caught = 0;
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
        {
            caught += runs_in_history(seed, too_weak) > 1 ? 1 : 0;
        }
        CHECK(caught > 0);
    }
}

TEST_CASE("a claim's record comes back from its written form")
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
