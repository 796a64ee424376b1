// Which host of a failure domain reads the platform's topics for the others.

#include <set>

#include <catch2/catch.hpp>

#include "coordination/view_source.hpp"

using namespace banyanshunt;

TEST_CASE("one host of a domain reads the topics for the others")
{
    const domain_id domain("north");
    std::vector<host_id> all;
    all.reserve(8);
    for (int n = 0; n < 8; ++n)
    {
        all.push_back(host_id("h" + std::to_string(n)));
    }
    auto source_of = [&](const host_id& own, const std::vector<host_id>& live)
    {
        std::vector<host_id> others;
        std::copy_if(live.begin(), live.end(), std::back_inserter(others),
                     [&](const auto& it) { return it != own; });
        return view_source(domain, own, others);
    };
    std::set<host_id> sources;
    int readers = 0;
    for (const auto& it : all)
    {
        auto source = source_of(it, all);
        readers += source ? 0 : 1;
        if (source)
        {
            sources.insert(*source);
        }
    }
    CHECK(readers == 1);
    REQUIRE(sources.size() == 1);

    SECTION("when it fails, another takes over")
    {
        std::erase(all, *sources.begin());
        auto next = source_of(all[0], all);
        CHECK((!next || *next != *sources.begin()));
    }
    SECTION("in a domain with few live hosts each reads the topics itself")
    {
        CHECK_FALSE(view_source(domain, all[0], {all[1], all[2], all[3]}));
        CHECK_FALSE(view_source(domain, all[0], {}));
    }
    SECTION("a host without contact to the store asks the first of its peers, however few")
    {
        auto reader = *sources.begin();
        std::vector<host_id> others;
        std::copy_if(all.begin(), all.end(), std::back_inserter(others),
                     [&](const auto& it) { return it != reader; });
        CHECK(view_source(domain, reader, others, store_contact::lost).has_value());
        CHECK(view_source(domain, reader, {others[0]}, store_contact::lost) == others[0]);
        CHECK_FALSE(view_source(domain, reader, {}, store_contact::lost));
    }
}
