#pragma once

/// \file
/// Claims idempotency keys in the log, so that a call with a key runs at most once across all hosts
/// while the log keeps its claim.
///
/// The coordinator appends a claim before the call is sent and then reads the stream: the call is
/// sent only if the claim table shows this claim as the live one. If the append's response was
/// lost, reading the stream shows whether the claim was appended. If that fails until the deadline,
/// the coordinator abandons the claim and nothing is sent.

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

/// The serialized form of claim records.
struct claim_codec
{
    std::function<std::string(const claim_record&)> encode;
    std::function<verdict<claim_record>(const std::string&)> decode;
};

struct claim_coordinator_options
{
    /// Identifies this process across all hosts and incarnations; the prefix of its claim ids.
    std::string writer;
    claim_codec codec;
    /// The number of streams that keys are distributed over; the same on all hosts.
    int streams = 4;
    /// Response bodies larger than this are not recorded.
    std::size_t max_body_size = 4096;
    /// Bytes of response bodies that are kept in memory, per stream.
    std::size_t max_outcome_bytes = 8 * 1024 * 1024;
};

/// Whether a call with an idempotency key may be sent.
struct claim_result
{
    /// The claim under which the call may be sent once.
    record_id claim;
    /// The outcome of the same call sent earlier; if set, the call must not be sent.
    std::optional<call_outcome> outcome;
};

/// The stream, one of `streams`, that holds the claims on a key.
stream_name claims_stream(const claim_key& key, int streams);

/// The verdict on a call whose key is held by `live`, the claim of another call or attempt.
verdict<claim_result> resolve_duplicate(const live_claim& live, const std::string& digest);

/// Makes claims; thread-safe. The batcher's periodic thread must be running.
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
    /// - `idempotency_mismatch`, `not_run`: a different call was sent with the key;
    /// - `already_claimed`, `may_have_run`: the same call was sent, and its outcome is unknown;
    /// - `already_ran`, `ran`: the same call ran, and its response is not kept;
    /// - `claim_unavailable`, `not_run`: the log did not confirm the claim in time.
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
            if (auto result = resolve_claim(in, stream, key, id, digest, deadline))
            {
                return *result;
            }
        } while (boot_clock().now() < deadline);
        abandon(key, id);
        return unavailable("the claim was not read back from the log before the deadline");
    }

    /// Records that the call under this claim was not sent, or is known not to have run.
    void abandon(const claim_key& key, const record_id& claim)
    {
        enqueue_record({.kind = claim_record_kind::abandon, .key = key, .claim = claim});
    }

    /// Records the outcome of the call under this claim.
    void record_outcome(const claim_key& key, const record_id& claim, call_outcome outcome)
    {
        if (outcome.body.size() > options_.max_body_size)
        {
            outcome.body.clear();
            outcome.body_dropped = true;
        }
        enqueue_record({.kind = claim_record_kind::outcome,
                        .key = key,
                        .claim = claim,
                        .outcome = std::move(outcome)});
    }

private:
    struct reader
    {
        explicit reader(std::size_t max_outcome_bytes) : table(max_outcome_bytes) {}

        std::mutex mutex;
        claim_table table;
        /// One thread at a time reads the log, without holding the mutex; the others wait for it.
        bool reading = false;
        std::condition_variable read_done;
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

    void enqueue_record(const claim_record& record)
    {
        batcher_.enqueue(claims_stream(record.key, options_.streams), encoded(record));
    }

    // A repeated call whose outcome has already been read needs no access to the log.
    std::optional<verdict<claim_result>> known_outcome(reader& in, const claim_key& key,
                                                       const std::string& digest)
    {
        std::lock_guard lock(in.mutex);
        const live_claim* live = in.table.find(key);
        if (!live || (!live->outcome && live->digest == digest))
        {
            return std::nullopt;
        }
        return resolve_duplicate(*live, digest);
    }

    // Reads the stream until the table shows claim `id`; returns nothing if it does not yet.
    std::optional<verdict<claim_result>> resolve_claim(reader& in, const stream_name& stream,
                                                       const claim_key& key, const record_id& id,
                                                       const std::string& digest, instant deadline)
    {
        std::unique_lock lock(in.mutex);
        auto remaining = std::max(deadline - boot_clock().now(), nanoseconds(0));
        in.read_done.wait_for(lock, remaining,
                              [&] { return !in.reading || in.table.has_read(id); });
        if (!in.reading && !in.table.has_read(id))
        {
            read_next_page(in, stream, lock);
        }
        if (!in.table.has_read(id))
        {
            return std::nullopt;
        }
        const live_claim* live = in.table.find(key);
        if (!live)
        {
            return unavailable("another call with this key abandoned its claim meanwhile");
        }
        if (live->claim == id)
        {
            return claim_result{.claim = id, .outcome = std::nullopt};
        }
        return resolve_duplicate(*live, digest);
    }

    void read_next_page(reader& in, const stream_name& stream, std::unique_lock<std::mutex>& lock)
    {
        in.reading = true;
        log_offset from = in.table.next_offset();
        lock.unlock();
        auto page = read_page(stream, from);
        lock.lock();
        in.reading = false;
        apply_page(in, page);
        in.read_done.notify_all();
    }

    // Reads the next page. If its records have expired, reads beyond the end instead: that page
    // is empty and reports the oldest offset that the log still keeps.
    verdict<log_page> read_page(const stream_name& stream, log_offset from)
    {
        constexpr std::size_t page_limit = 1000;
        constexpr milliseconds wait(20);
        constexpr milliseconds retry_delay(10);
        constexpr log_offset beyond_end(std::int64_t{1} << 62);
        auto page = log_.read(stream, from, page_limit, wait);
        if (!page && page.error().code == errc::records_expired)
        {
            page = log_.read(stream, beyond_end, 1, milliseconds(0));
        }
        if (!page)
        {
            std::this_thread::sleep_for(retry_delay);
        }
        return page;
    }

    void apply_page(reader& in, const verdict<log_page>& page)
    {
        if (!page)
        {
            return;
        }
        if (in.table.next_offset() < page->first_kept)
        {
            in.table.restart(page->first_kept);
        }
        for (const auto& record : page->records)
        {
            auto it = options_.codec.decode(record.data);
            if (it)
            {
                in.table.apply(*it, record.offset);
            }
            else
            {
                in.table.skip(record.offset);
            }
        }
        in.table.expire(page->first_kept);
    }

    Log& log_;
    log_batcher<Log>& batcher_;
    claim_coordinator_options options_;
    std::map<stream_name, reader> readers_;
    std::atomic<std::uint64_t> next_claim_ = 0;
};

} // namespace banyanshunt
