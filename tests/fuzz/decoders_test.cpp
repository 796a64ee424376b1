/// \file
/// Every decoder of external input either decodes mutated input completely or refuses it with an
/// error text.

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

constexpr int mutant_count = 20'000;

struct outcome_counts
{
    int decoded = 0;
    int refused = 0;
};

// Decodes every mutant. A refusal must give a reason; a decoded value must survive a round trip.
template <class Decode, class Encode>
outcome_counts decode_mutants(mutator& source, Decode decode, Encode encode)
{
    outcome_counts out;
    for (int i = 0; i < mutant_count; ++i)
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
        ++out.decoded;
        std::string written = encode(*it);
        auto again = decode(written);
        if (!again || encode(*again) != written)
        {
            FAIL("not the same after a round trip: " << text);
        }
    }
    return out;
}

// A fuzz run in which no mutant is decoded, or none is refused, exercises only one of the two
// paths.
void check_both(const outcome_counts& it)
{
    CHECK(it.decoded > 0);
    CHECK(it.refused > 0);
}

} // namespace

TEST_CASE("mutated tickets are decoded completely or refused")
{
    mutator source("ticket", 1);
    check_both(decode_mutants(source, decode_ticket, encode_ticket));
}

TEST_CASE("mutated log pages are decoded completely or refused")
{
    mutator source("page", 2);
    check_both(decode_mutants(source, decode_page, encode_page));
}

TEST_CASE("mutated host lists are decoded completely or refused")
{
    mutator source("hosts", 3);
    check_both(decode_mutants(source, decode_hosts, encode_hosts));
}

TEST_CASE("mutated lease claims are decoded completely or refused")
{
    mutator source("claim", 4);
    check_both(decode_mutants(source, decode_lease_claim, encode_lease_claim));
}

TEST_CASE("mutated requests are decoded completely or refused")
{
    mutator source("request", 5);
    outcome_counts out;
    for (int i = 0; i < mutant_count; ++i)
    {
        std::string text = source.next();
        auto it = decode_completion_request(text, i % 2 == 0);
        ++(it ? out.decoded : out.refused);
        if (it && (it->max_tokens < 1 || it->name.empty()))
        {
            FAIL("decoded with values that are not allowed: " << text);
        }
        if (!it && (it.error().detail.empty() || it.error().run != run_state::not_run))
        {
            FAIL("refused without a reason or as if it had run: " << text);
        }
        if (!it)
        {
            // The refusal must be encodable, whatever bytes the request contained.
            CHECK_NOTHROW(encode_failure(it.error()));
        }
    }
    check_both(out);
}

TEST_CASE("mutated settings are read, and every error names the file")
{
    mutator source("settings", 6);
    int valid = 0;
    int invalid = 0;
    for (int i = 0; i < mutant_count / 4; ++i)
    {
        auto file = settings_file::parse(source.next(), "x.ini");
        (void)read_entry_settings(file);
        (void)read_placer_settings(file);
        (void)read_workload(file);
        auto errors = file.errors();
        ++(errors.empty() ? valid : invalid);
        for (const auto& error : errors)
        {
            if (!error.starts_with("x.ini:"))
            {
                FAIL("an error without its file: " << error);
            }
        }
    }
    CHECK(invalid > valid);
}

TEST_CASE("an event stream is decoded to the same events however it is split into chunks")
{
    mutator source("stream", 7);
    int events = 0;
    for (int i = 0; i < mutant_count / 4; ++i)
    {
        std::string text = source.next();
        event_stream_reader one_chunk_reader;
        auto expected = one_chunk_reader.feed(text);
        event_stream_reader chunked_reader;
        std::vector<std::string> got;
        for (std::size_t at = 0; at < text.size();)
        {
            std::size_t n = 1 + source.draw(9);
            auto events_of_chunk = chunked_reader.feed(std::string_view(text).substr(at, n));
            got.insert(got.end(), events_of_chunk.begin(), events_of_chunk.end());
            at += n;
        }
        if (got != expected)
        {
            FAIL("different events in chunks: " << text);
        }
        for (const auto& data : expected)
        {
            (void)decode_engine_event(data);
            ++events;
        }
    }
    CHECK(events > 0);
}

TEST_CASE("the mutator is deterministic and changes most texts")
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
