/// \file
/// Guards against hosts that diverge when messages are lost, repeated or reordered, or when the log
/// is unreachable. All hosts converge to one state, and no host's state ever goes back to an
/// earlier offset or differs from the result of its prefix of the tickets' stream.

#include <deque>
#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "coordination/state_follower.hpp"
#include "coordination/state_manager.hpp"
#include "protocol/state_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "stand_ins/disconnectable_log.hpp"

using namespace banyanshunt;

namespace
{

using random_engine = std::mt19937_64;

// The expected state after every prefix of the tickets' stream.
class reference
{
public:
    reference() : states_(1) {}

    void add(const log_record& record)
    {
        states_.push_back(apply_record(states_.back(), record, decode_ticket).first);
    }
    bool matches(const fleet_state& state) const
    {
        auto prefix = static_cast<std::size_t>(state.next_offset.count());
        return prefix < states_.size() && same_state(state, states_[prefix]);
    }
    const fleet_state& newest() const { return states_.back(); }

private:
    std::vector<fleet_state> states_;
};

struct host
{
    host(memory_log& shared, int number)
        : log(shared), manager({.host = host_id(fmt::format("h{}", number)),
                                .incarnation = incarnation_id(number),
                                .domain = domain_id(fmt::format("d{}", number % 4))}),
          follower(log, manager.cell(), decode_ticket, [](const auto&) {})
    {
    }

    disconnectable_log log;
    state_manager manager;
    state_follower<disconnectable_log> follower;
    log_offset highest;
};

// A response in transit to a host.
struct message
{
    std::size_t to;
    exchange_response response;
    instant requested_at;
};

// Encodes and decodes the delta, as a transfer between hosts does.
exchange_response over_wire(exchange_response it)
{
    if (it.delta)
    {
        delta_assembler assembler;
        for (const auto& chunk : encode_delta(*it.delta))
        {
            REQUIRE(assembler.add(chunk));
        }
        REQUIRE(assembler.complete());
        it.delta = assembler.delta();
    }
    return it;
}

class fleet
{
public:
    fleet(std::uint64_t seed, std::size_t n) : random_(seed)
    {
        for (std::size_t i = 0; i < n; ++i)
        {
            hosts.push_back(std::make_unique<host>(log, static_cast<int>(i)));
        }
    }

    // Publishes a random ticket: valid, repeated, with a number already used, or malformed.
    void publish()
    {
        std::string text = random_ticket();
        last_text_ = text;
        log_entry entry{.id = record_id("t"), .data = text};
        auto offset = log.append(tickets_stream, std::span(&entry, 1));
        REQUIRE(offset);
        truth.add({.offset = *offset, .id = entry.id, .data = text});
    }

    void follow(std::size_t i) { (void)hosts[i]->follower.step(milliseconds(0)); }

    void query(std::size_t from, std::size_t to)
    {
        instant now = clock.now();
        auto response =
            hosts[to]->manager.handle_heartbeat(hosts[from]->manager.own_heartbeat(now), now);
        messages.push_back(
            {.to = from, .response = over_wire(std::move(response)), .requested_at = now});
    }

    // Delivers a message out of order, and may lose it or deliver it again later.
    void deliver()
    {
        if (messages.empty())
        {
            return;
        }
        std::size_t i = random_() % messages.size();
        message it = messages[i];
        bool repeat = random_() % 4 == 0;
        if (!repeat)
        {
            messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(i));
        }
        bool lost = random_() % 4 == 0;
        if (!lost)
        {
            hosts[it.to]->manager.handle_response(it.response, it.requested_at, clock.now());
        }
    }

    void check()
    {
        for (auto& it : hosts)
        {
            auto state = it->manager.cell().get();
            REQUIRE(state->next_offset >= it->highest);
            REQUIRE(truth.matches(*state));
            it->highest = state->next_offset;
        }
    }

    void step()
    {
        clock.advance(milliseconds(10));
        std::size_t a = random_() % hosts.size();
        std::size_t b = random_() % hosts.size();
        switch (random_() % 6)
        {
        case 0:
            publish();
            break;
        case 1:
            follow(a);
            break;
        case 2:
            hosts[a]->log.cut = !hosts[a]->log.cut;
            break;
        case 3:
        case 4:
            query(a, b);
            break;
        default:
            deliver();
        }
        check();
    }

    memory_log log;
    test_clock clock;
    reference truth;
    std::vector<std::unique_ptr<host>> hosts;
    std::deque<message> messages;

private:
    std::string random_ticket()
    {
        auto workspace = random_() % 5;
        auto rate = random_() % 1000;
        auto number = next_ticket_;
        switch (random_() % 6)
        {
        case 0:
            ++next_ticket_;
            return fmt::format(R"({{"format":1,"ticket":{},"workspaces":{{"w{}":null}}}})", number,
                               workspace);
        case 1:
            return R"({"format":1,"ticket":)";
        case 2:
            return last_text_;
        case 3:
            number = std::max(1, number - 1);
            break;
        default:
            ++next_ticket_;
        }
        return fmt::format(
            R"({{"format":1,"ticket":{},"workspaces":{{"w{}":{{"tokens_per_second":{},"burst_tokens":9}}}}}})",
            number, workspace, rate);
    }

    random_engine random_;
    int next_ticket_ = 1;
    std::string last_text_;
};

} // namespace

TEST_CASE("hosts converge without going back under reordering, loss and repetition of messages")
{
    constexpr std::uint64_t runs = 60;
    constexpr int steps = 400;
    for (std::uint64_t seed = 1; seed <= runs; ++seed)
    {
        INFO("seed " << seed);
        fleet it(seed, 5);
        for (int i = 0; i < steps; ++i)
        {
            it.step();
        }
        // After the faults: one host reads the log, and each other host queries it once.
        it.hosts[0]->log.cut = false;
        it.follow(0);
        it.messages.clear();
        for (std::size_t i = 1; i < it.hosts.size(); ++i)
        {
            it.query(i, 0);
            it.hosts[i]->manager.handle_response(it.messages.back().response, it.clock.now(),
                                                 it.clock.now());
        }
        for (auto& host : it.hosts)
        {
            REQUIRE(same_state(*host->manager.cell().get(), it.truth.newest()));
        }
    }
}

TEST_CASE("the reference detects wrong states")
{
    fleet it(7, 2);
    for (int i = 0; i < 30; ++i)
    {
        it.publish();
    }
    it.follow(0);
    auto state = *it.hosts[0]->manager.cell().get();
    REQUIRE(it.truth.matches(state));

    SECTION("an object that differs")
    {
        REQUIRE_FALSE(state.workspaces.empty());
        state.workspaces.erase(state.workspaces.begin());
        CHECK_FALSE(it.truth.matches(state));
    }
    SECTION("a delta applied over a gap")
    {
        auto delta = changes_since(state, log_offset(state.next_offset.count() - 1));
        fleet_state empty;
        CHECK_FALSE(apply_delta(empty, delta));
        CHECK_FALSE(it.truth.matches(merge(empty, delta.entries)));
    }
}

TEST_CASE("merging states is idempotent, commutative and associative")
{
    fleet it(11, 1);
    std::vector<fleet_state> prefixes;
    for (int i = 0; i < 40; ++i)
    {
        it.publish();
        it.follow(0);
        prefixes.push_back(*it.hosts[0]->manager.cell().get());
    }
    random_engine random(3);
    for (int i = 0; i < 200; ++i)
    {
        const auto& a = prefixes[random() % prefixes.size()];
        const auto& b = prefixes[random() % prefixes.size()];
        const auto& c = prefixes[random() % prefixes.size()];
        REQUIRE(same_state(merge(a, a), a));
        REQUIRE(same_state(merge(a, b), merge(b, a)));
        REQUIRE(same_state(merge(merge(a, b), c), merge(a, merge(b, c))));
    }
}

TEST_CASE("a host's view has an age")
{
    fleet it(5, 2);
    it.publish();
    auto& connected = it.hosts[0]->manager;
    auto& disconnected = it.hosts[1]->manager;
    CHECK_FALSE(connected.age(it.clock.now()));

    SECTION("counted from the request to the log")
    {
        instant requested_at = it.clock.now();
        it.follow(0);
        it.clock.advance(milliseconds(30));
        connected.confirm_log_end(log_offset(1), requested_at);
        CHECK(connected.age(it.clock.now()) == milliseconds(30));

        SECTION("a peer without the log adopts the age with the state")
        {
            it.query(1, 0);
            it.clock.advance(milliseconds(20));
            disconnected.handle_response(it.messages.back().response,
                                         it.messages.back().requested_at, it.clock.now());
            CHECK(disconnected.cell().get()->next_offset == log_offset(1));
            CHECK(disconnected.age(it.clock.now()) == milliseconds(50));
        }
    }
    SECTION("a log end beyond the applied state confirms nothing")
    {
        connected.confirm_log_end(log_offset(1), it.clock.now());
        CHECK_FALSE(connected.age(it.clock.now()));
    }
}
