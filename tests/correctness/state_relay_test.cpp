/// \file
/// Hosts that follow the log and relay to each other come to one state, whatever links and log do,
/// and no host's state ever goes back or differs from the result of its prefix.

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

using chance = std::mt19937_64;

// The true result of every prefix of the tickets' stream.
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
        : log(shared), keeper({.host = host_id(fmt::format("h{}", number)),
                               .incarnation = incarnation_id(number),
                               .domain = domain_id(fmt::format("d{}", number % 4))}),
          follower(log, keeper.cell(), decode_ticket, [](const auto&) {})
    {
    }

    disconnectable_log log;
    state_manager keeper;
    state_follower<disconnectable_log> follower;
    log_offset highest;
};

// An answer under way to a host.
struct letter
{
    std::size_t to;
    exchange_response answer;
    instant asked;
};

// What goes over the wire is what the codec makes of it.
exchange_response over_wire(exchange_response it)
{
    if (it.delta)
    {
        delta_assembler joiner;
        for (const auto& part : encode_delta(*it.delta))
        {
            REQUIRE(joiner.add(part));
        }
        REQUIRE(joiner.complete());
        it.delta = joiner.delta();
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

    // Publishes a ticket of chance: good ones, repeats, races for a number, and broken ones.
    void publish()
    {
        std::string text = chance_ticket();
        last_text_ = text;
        log_entry entry{.id = record_id("t"), .data = text};
        auto offset = log.append(tickets_stream, std::span(&entry, 1));
        REQUIRE(offset);
        truth.add({.offset = *offset, .id = entry.id, .data = text});
    }

    void follow(std::size_t i) { (void)hosts[i]->follower.step(milliseconds(0)); }

    void ask(std::size_t from, std::size_t to)
    {
        instant now = clock.now();
        auto answer =
            hosts[to]->keeper.handle_heartbeat(hosts[from]->keeper.own_heartbeat(now), now);
        letters.push_back({.to = from, .answer = over_wire(std::move(answer)), .asked = now});
    }

    // Delivers a letter out of order, and perhaps loses it or delivers it again later.
    void deliver()
    {
        if (letters.empty())
        {
            return;
        }
        std::size_t i = random_() % letters.size();
        letter it = letters[i];
        bool repeat = random_() % 4 == 0;
        if (!repeat)
        {
            letters.erase(letters.begin() + static_cast<std::ptrdiff_t>(i));
        }
        bool lost = random_() % 4 == 0;
        if (!lost)
        {
            hosts[it.to]->keeper.handle_response(it.answer, it.asked, clock.now());
        }
    }

    void check()
    {
        for (auto& it : hosts)
        {
            auto state = it->keeper.cell().get();
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
            ask(a, b);
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
    std::deque<letter> letters;

private:
    std::string chance_ticket()
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

    chance random_;
    int next_ticket_ = 1;
    std::string last_text_;
};

} // namespace

TEST_CASE("any order, loss and repetition of messages ends in one state that never went back")
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
        // Healed: only one host still hears the log, and each other one asks it once.
        it.hosts[0]->log.cut = false;
        it.follow(0);
        it.letters.clear();
        for (std::size_t i = 1; i < it.hosts.size(); ++i)
        {
            it.ask(i, 0);
            it.hosts[i]->keeper.handle_response(it.letters.back().answer, it.clock.now(),
                                                it.clock.now());
        }
        for (auto& host : it.hosts)
        {
            REQUIRE(same_state(*host->keeper.cell().get(), it.truth.newest()));
        }
    }
}

TEST_CASE("the check of states catches what it is there for")
{
    fleet it(7, 2);
    for (int i = 0; i < 30; ++i)
    {
        it.publish();
    }
    it.follow(0);
    auto state = *it.hosts[0]->keeper.cell().get();
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

TEST_CASE("merging states is idempotent and free of order")
{
    fleet it(11, 1);
    std::vector<fleet_state> prefixes;
    for (int i = 0; i < 40; ++i)
    {
        it.publish();
        it.follow(0);
        prefixes.push_back(*it.hosts[0]->keeper.cell().get());
    }
    chance random(3);
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
    auto& near = it.hosts[0]->keeper;
    auto& far = it.hosts[1]->keeper;
    CHECK_FALSE(near.age(it.clock.now()));

    SECTION("counted from when the log was asked")
    {
        instant asked = it.clock.now();
        it.follow(0);
        it.clock.advance(milliseconds(30));
        near.confirm_log_end(log_offset(1), asked);
        CHECK(near.age(it.clock.now()) == milliseconds(30));

        SECTION("a peer without the log takes the age over with the state")
        {
            it.ask(1, 0);
            it.clock.advance(milliseconds(20));
            far.handle_response(it.letters.back().answer, it.letters.back().asked, it.clock.now());
            CHECK(far.cell().get()->next_offset == log_offset(1));
            CHECK(far.age(it.clock.now()) == milliseconds(50));
        }
    }
    SECTION("a log that shows more than the view confirms nothing")
    {
        near.confirm_log_end(log_offset(1), it.clock.now());
        CHECK_FALSE(near.age(it.clock.now()));
    }
}
