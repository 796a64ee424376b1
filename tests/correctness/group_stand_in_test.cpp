#include <chrono>
#include <set>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "stand_ins/prepared_platform.hpp"

namespace
{

using namespace banyanshunt;
using namespace std::chrono_literals;

/// A member of a group, which states the last generation that it received.
struct member
{
    group_stand_in& group;
    std::string name;
    std::int64_t generation = 0;

    std::set<int> join(std::chrono::milliseconds ttl = 60s)
    {
        auto response = nlohmann::json::parse(group.join(name, ttl, generation));
        generation = response.at("generation").get<std::int64_t>();
        std::set<int> partitions;
        for (const auto& row : response.at("parts"))
        {
            partitions.insert(row.at(1).get<int>());
        }
        return partitions;
    }
};

const std::set<int> none;

TEST_CASE("a partition stays with its holder until that holder knows that it moves")
{
    group_stand_in group(2);
    member a{group, "a"};
    member b{group, "b"};
    REQUIRE(a.join() == std::set{0, 1});
    REQUIRE(a.join() == std::set{0, 1});

    SECTION("a joining member gets none at first")
    {
        REQUIRE(b.join() == none);
        REQUIRE(b.join() == none);

        SECTION("nor when the holder learns of it")
        {
            REQUIRE(a.join() == std::set{0});
            REQUIRE(b.join() == none);

            SECTION("but once the holder joins with the generation that moved it")
            {
                REQUIRE(a.join() == std::set{0});
                REQUIRE(b.join() == std::set{1});
            }
        }
        SECTION("but once the holder leaves")
        {
            group.leave("a");
            REQUIRE(b.join() == std::set{0, 1});
        }
    }
    SECTION("or lapses")
    {
        a.join(1ms);
        std::this_thread::sleep_for(5ms);
        REQUIRE(b.join() == std::set{0, 1});
    }
    SECTION("but not if all partitions are assigned anew")
    {
        b.join();
        group.rebalance();
        REQUIRE(b.join() == std::set{0, 1});
        REQUIRE(a.join() == none);

        SECTION("which may be undone")
        {
            group.undo_rebalance();
            REQUIRE(a.join() == std::set{0, 1});
            REQUIRE(b.join() == none);
        }
    }
}

} // namespace
