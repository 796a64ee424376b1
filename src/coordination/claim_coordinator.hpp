#pragma once

/// \file
/// Defines the making of claims on idempotency keys in the log, so that a call with a key runs at
/// most once over all hosts while the log keeps its claim.
///
/// A claim is appended before the call is sent, and the stream is then read on: the call is sent
/// only if the book shows the own claim as the live one. If the append's answer was lost, reading
/// on finds out; if that fails until the deadline, the claim is abandoned and nothing was sent.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "coordination/claim_table.hpp"
#include "coordination/log_batcher.hpp"

namespace banyanshunt
{

/// The written form of records.
struct claim_codec
{
    std::function<std::string(const claim_record&)> encode;
    std::function<verdict<claim_record>(const std::string&)> decode;
};

struct claim_coordinator_options
{
    /// Names this process over all hosts and lives; claims' ids begin with it.
    std::string writer;
    claim_codec codec;
    /// Streams that keys are spread over; alike on all hosts.
    int streams = 4;
    /// Answers' bodies above this size are not recorded.
    std::size_t max_body_size = 4096;
    /// Bytes of answers' bodies that are kept in memory, for each stream.
    std::size_t max_outcome_bytes = 8 * 1024 * 1024;
};

/// What a call with an idempotency key may do.
struct claim_result
{
    /// The claim under which the call may be sent once.
    record_id claim;
    /// The outcome of the same call sent earlier; then nothing is to be sent.
    std::optional<call_outcome> outcome;
};

/// The stream that holds the claims on a key, of `streams` in all.
stream_name claims_stream(const claim_key& key, int streams);

/// The verdict on a call whose key is claimed by `live`, which is not the call's own claim.
verdict<claim_result> resolve_duplicate(const live_claim& live, const std::string& digest);

/// Makes claims; safe from any thread. The batcher's duty must run.
template <log_service Log>
class claim_coordinator
{
public:
    claim_coordinator(Log& log, log_batcher<Log>& batcher, claim_coordinator_options options)
        : log_(log), batcher_(batcher), options_(std::move(options))
    {
        for (int i = 0; i < options_.streams; ++i)
        {
            readers_.try_emplace(stream_at(i), options_.max_outcome_bytes);
        }
    }

    /// Claims the key for a call with this digest. Fails with
    /// - `idempotency_mismatch`, `not_run`: another call was sent with the key;
    /// - `already_claimed`, `may_have_run`: the same call was sent, and its outcome is unknown;
    /// - `already_ran`, `ran`: it ran, and its answer is not kept;
    /// - `claim_unavailable`, `not_run`: the log did not tell by `deadline`; nothing is sent.
    verdict<claim_result> claim(const claim_key& key, const std::string& digest, instant deadline)
    {
        stream_name stream = claims_stream(key, options_.streams);
        reader& in = readers_.at(stream);
        if (auto known = known_outcome(in, key, digest))
        {
            return *known;
        }
        record_id id(fmt::format("{}-{}", options_.writer, next_claim_++));
        auto appended = batcher_.append(
            stream,
            encoded({.kind = claim_record_kind::claim, .key = key, .claim = id, .digest = digest}),
            deadline);
        if (!appended && appended.error().run == run_state::not_run)
        {
            return unavailable(appended.error().detail);
        }
        do
        {
            if (auto answer = look(in, stream, key, id, digest, deadline))
            {
                return *answer;
            }
        } while (boot_clock().now() < deadline);
        abandon(key, id);
        return unavailable("the log did not show the claim in time");
    }

    /// Tells that the call under this claim was not sent, or surely did not run.
    void abandon(const claim_key& key, const record_id& claim)
    {
        note({.kind = claim_record_kind::abandon, .key = key, .claim = claim});
    }

    /// Tells what came of the call under this claim.
    void record_outcome(const claim_key& key, const record_id& claim, call_outcome outcome)
    {
        if (outcome.body.size() > options_.max_body_size)
        {
            outcome.body.clear();
            outcome.body_dropped = true;
        }
        note({.kind = claim_record_kind::outcome,
              .key = key,
              .claim = claim,
              .outcome = std::move(outcome)});
    }

private:
    struct reader
    {
        explicit reader(std::size_t most_bytes) : book(most_bytes) {}

        std::mutex mutex;
        claim_table book;
        /// One thread at a time reads on, without the mutex; the others wait for what it reads.
        bool reading = false;
        std::condition_variable read;
    };

    static failure unavailable(const std::string& detail)
    {
        return {.run = run_state::not_run,
                .code = errc::claim_unavailable,
                .detail = detail,
                .retry_after = milliseconds(1000)};
    }

    stream_name stream_at(int n) const { return stream_name(fmt::format("claims.{}", n)); }

    log_entry encoded(const claim_record& record)
    {
        std::string id = record.claim.str();
        id += record.kind == claim_record_kind::claim     ? ""
              : record.kind == claim_record_kind::abandon ? ".abandon"
                                                          : ".outcome";
        return {.id = record_id(id), .data = options_.codec.encode(record)};
    }

    void note(const claim_record& record)
    {
        batcher_.enqueue(claims_stream(record.key, options_.streams), encoded(record));
    }

    // A repeat of a call whose outcome was read before needs no log.
    std::optional<verdict<claim_result>> known_outcome(reader& in, const claim_key& key,
                                                       const std::string& digest)
    {
        std::lock_guard lock(in.mutex);
        const live_claim* live = in.book.find(key);
        if (!live || (!live->outcome && live->digest == digest))
        {
            return std::nullopt;
        }
        return resolve_duplicate(*live, digest);
    }

    // Reads on until the book shows the own claim; nothing if it does not yet.
    std::optional<verdict<claim_result>> look(reader& in, const stream_name& stream,
                                              const claim_key& key, const record_id& id,
                                              const std::string& digest, instant deadline)
    {
        std::unique_lock lock(in.mutex);
        auto left = std::max(deadline - boot_clock().now(), nanoseconds(0));
        in.read.wait_for(lock, left, [&] { return !in.reading || in.book.has_read(id); });
        if (!in.reading && !in.book.has_read(id))
        {
            read_on(in, stream, lock);
        }
        if (!in.book.has_read(id))
        {
            return std::nullopt;
        }
        const live_claim* live = in.book.find(key);
        if (!live)
        {
            return unavailable("another call with this key gave up meanwhile");
        }
        if (live->claim == id)
        {
            return claim_result{.claim = id, .outcome = std::nullopt};
        }
        return resolve_duplicate(*live, digest);
    }

    void read_on(reader& in, const stream_name& stream, std::unique_lock<std::mutex>& lock)
    {
        in.reading = true;
        log_offset from = in.book.next_offset();
        lock.unlock();
        auto page = read_page(stream, from);
        lock.lock();
        in.reading = false;
        take(in, page);
        in.read.notify_all();
    }

    // The next page, or the first one that is kept if that is gone. A read beyond the end is empty
    // and tells what the log still keeps.
    verdict<log_page> read_page(const stream_name& stream, log_offset from)
    {
        constexpr std::size_t page_limit = 1000;
        constexpr milliseconds wait(20);
        constexpr milliseconds pause(10);
        constexpr log_offset beyond(std::int64_t{1} << 62);
        auto page = log_.read(stream, from, page_limit, wait);
        if (!page && page.error().code == errc::records_expired)
        {
            page = log_.read(stream, beyond, 1, milliseconds(0));
        }
        if (!page)
        {
            std::this_thread::sleep_for(pause);
        }
        return page;
    }

    void take(reader& in, const verdict<log_page>& page)
    {
        if (!page)
        {
            return;
        }
        if (in.book.next_offset() < page->first_kept)
        {
            in.book.restart(page->first_kept);
        }
        for (const auto& record : page->records)
        {
            auto it = options_.codec.decode(record.data);
            if (it)
            {
                in.book.apply(*it, record.offset);
            }
            else
            {
                in.book.skip(record.offset);
            }
        }
        in.book.expire(page->first_kept);
    }

    Log& log_;
    log_batcher<Log>& batcher_;
    claim_coordinator_options options_;
    std::map<stream_name, reader> readers_;
    std::atomic<std::uint64_t> next_claim_ = 0;
};

} // namespace banyanshunt
