/// \file
/// Whatever comes from outside is read whole or refused with a sentence; nothing in between.

#include <algorithm>

#include <catch2/catch.hpp>

#include "entry/entry_settings.hpp"
#include "fuzz/mutator.hpp"
#include "placer/placer_settings.hpp"
#include "protocol/claim_codec.hpp"
#include "protocol/completion_codec.hpp"
#include "protocol/lease_codec.hpp"
#include "protocol/platform_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "tools/workload.hpp"
#include "transport/event_stream.hpp"

using namespace banyanshunt;
using banyanshunt::fuzz::mutator;

namespace
{

constexpr int mutants = 20'000;

struct tally
{
    int read = 0;
    int refused = 0;
};

// Decodes every mutant. A refusal must say why; what was read must survive being written and read.
template <class Decode, class Encode>
tally feed(mutator& source, Decode decode, Encode encode)
{
    tally out;
    for (int i = 0; i < mutants; ++i)
    {
        std::string text = source.next();
        auto it = decode(text);
        if (!it)
        {
            ++out.refused;
            if (it.error().detail.empty())
            {
                FAIL("refused without a reason: " << text);
            }
            continue;
        }
        ++out.read;
        std::string written = encode(*it);
        auto again = decode(written);
        if (!again || encode(*again) != written)
        {
            FAIL("not the same after it was written: " << text);
        }
    }
    return out;
}

// A fuzz run that reads nothing, or refuses nothing, checks only half.
void check_both(const tally& it)
{
    CHECK(it.read > 0);
    CHECK(it.refused > 0);
}

} // namespace

TEST_CASE("mutated tickets are read whole or refused")
{
    mutator source("ticket", 1);
    check_both(feed(source, decode_ticket, encode_ticket));
}

TEST_CASE("mutated pages of the log are read whole or refused")
{
    mutator source("page", 2);
    check_both(feed(source, decode_page, encode_page));
}

TEST_CASE("mutated host lists are read whole or refused")
{
    mutator source("hosts", 3);
    check_both(feed(source, decode_hosts, encode_hosts));
}

TEST_CASE("mutated lease claims are read whole or refused")
{
    mutator source("claim", 4);
    check_both(feed(source, decode_lease_claim, encode_lease_claim));
}

TEST_CASE("mutated requests are read whole or refused")
{
    mutator source("request", 5);
    tally out;
    for (int i = 0; i < mutants; ++i)
    {
        std::string text = source.next();
        auto it = decode_completion_request(text, i % 2 == 0);
        ++(it ? out.read : out.refused);
        if (it && (it->max_tokens < 1 || it->name.empty()))
        {
            FAIL("read with values that are not allowed: " << text);
        }
        if (!it && (it.error().detail.empty() || it.error().run != run_state::not_run))
        {
            FAIL("refused without a reason or as if it had run: " << text);
        }
        if (!it)
        {
            // The refusal itself must be writable, whatever bytes the request held.
            CHECK_NOTHROW(encode_failure(it.error()));
        }
    }
    check_both(out);
}

TEST_CASE("mutated settings are read with every mistake told")
{
    mutator source("settings", 6);
    int good = 0;
    int bad = 0;
    for (int i = 0; i < mutants / 4; ++i)
    {
        auto file = settings_file::parse(source.next(), "x.ini");
        (void)read_entry_settings(file);
        (void)read_placer_settings(file);
        (void)read_workload(file);
        auto mistakes = file.errors();
        ++(mistakes.empty() ? good : bad);
        for (const auto& mistake : mistakes)
        {
            if (!mistake.starts_with("x.ini:"))
            {
                FAIL("a mistake without its file: " << mistake);
            }
        }
    }
    CHECK(bad > good);
}

TEST_CASE("an event stream reads the same in whatever pieces it comes")
{
    mutator source("stream", 7);
    int events = 0;
    for (int i = 0; i < mutants / 4; ++i)
    {
        std::string text = source.next();
        event_stream_reader whole;
        auto expected = whole.feed(text);
        event_stream_reader in_pieces;
        std::vector<std::string> got;
        for (std::size_t at = 0; at < text.size();)
        {
            std::size_t n = 1 + source.draw(9);
            auto some = in_pieces.feed(std::string_view(text).substr(at, n));
            got.insert(got.end(), some.begin(), some.end());
            at += n;
        }
        if (got != expected)
        {
            FAIL("other events in pieces: " << text);
        }
        for (const auto& data : expected)
        {
            (void)decode_engine_event(data);
            ++events;
        }
    }
    CHECK(events > 0);
}

TEST_CASE("the fuzz check itself can fail")
{
    mutator a("ticket", 8);
    mutator b("ticket", 8);
    int changed = 0;
    for (int i = 0; i < 100; ++i)
    {
        std::string text = a.next();
        CHECK(text == b.next());
        bool same = std::count(a.corpus().begin(), a.corpus().end(), text) > 0;
        changed += same ? 0 : 1;
    }
    CHECK(changed > 90);
}
