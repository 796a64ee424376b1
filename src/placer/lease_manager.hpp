#pragma once

/// \file
/// Defines the keeping of leases: reading the domain's lease stream, claiming servers, and telling
/// whether this placer may act on one now.
///
/// Engines that check fencing numbers refuse a holder once its successor has shown them a higher
/// number, so there a holder goes on while the log is silent, and a successor shows its number
/// before it acts. With engines that ignore the numbers only time tells: a holder stops when its
/// last read that reached the end of the stream began `lease_duration` ago, and a successor waits
/// that long and the longest order more.

#include <limits>
#include <map>

#include "coordination/lease_table.hpp"
#include "coordination/log_service.hpp"
#include "protocol/lease_codec.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

struct lease_manager_options
{
    host_id holder;
    incarnation_id incarnation;
    domain_id domain;
    milliseconds lease_duration{3000};
    milliseconds max_order_delay{2000};
    /// How long a successor waits after it has read that its claim won.
    milliseconds takeover_delay = lease_duration + max_order_delay;
    /// How long to look for a claim in the stream before claiming again.
    milliseconds claim_retry_delay{1000};
    /// How often a held lease is claimed anew, so that its claim outlives the log's retention.
    milliseconds renew_interval{600'000};
};

/// Used by one thread.
template <log_service Log, clock_source Clock>
class lease_manager
{
public:
    lease_manager(Log& log, const Clock& clock, lease_manager_options options)
        : log_(log), clock_(clock), options_(std::move(options))
    {
    }

    /// Reads the stream to its end, waiting up to `confirm_timeout` for a first record.
    verdict<done> read(milliseconds wait = milliseconds(0))
    {
        constexpr std::size_t page_limit = 256;
        while (true)
        {
            instant began = clock_.now();
            auto page = log_.read(stream(), book_.next_offset(), page_limit, wait);
            wait = milliseconds(0);
            if (!page && page.error().code == errc::records_expired)
            {
                page = restart();
            }
            if (!page)
            {
                return page.error();
            }
            for (const auto& record : page->records)
            {
                take(record);
            }
            if (book_.next_offset() >= page->end)
            {
                current_at_ = began;
                return done{};
            }
        }
    }

    /// Appends a claim that follows the newest one, unless one is being looked for. Whether it won
    /// shows at a later `read`: an answer that was lost needs no other care, and a claim that lands
    /// twice counts once.
    verdict<done> claim(const server_id& server)
    {
        instant now = clock_.now();
        auto asked = claimed_at_.find(server);
        bool pending =
            asked != claimed_at_.end() && now - asked->second < options_.claim_retry_delay;
        if (pending || !current_at_ || may_be_missing(server, now))
        {
            return done{};
        }
        claimed_at_[server] = now;
        auto newest = book_.find(server);
        lease_claim it{.server = server,
                       .holder = options_.holder,
                       .incarnation = options_.incarnation,
                       .follows = newest ? newest->fencing : fencing_number()};
        log_entry entry{.id = record_id("claim." + options_.holder.str()),
                        .data = encode_lease_claim(it)};
        auto appended = log_.append(stream(), std::span(&entry, 1));
        if (!appended)
        {
            return appended.error();
        }
        return done{};
    }

    /// Claims anew what is held and was claimed long ago.
    void renew()
    {
        for (const auto& [server, ready] : ready_at_)
        {
            auto claimed = renewed_at_.find(server);
            if (clock_.now() - claimed->second >= options_.renew_interval)
            {
                (void)claim(server);
            }
        }
    }

    /// Gives up a lease at a planned stop, so that a successor need not wait. No order of this
    /// holder may be under way any more.
    void release(const server_id& server)
    {
        auto it = book_.find(server);
        if (!it || !is_mine(*it))
        {
            return;
        }
        lease_claim free{.server = server,
                         .holder = {},
                         .incarnation = options_.incarnation,
                         .follows = it->fencing};
        log_entry entry{.id = record_id("release." + options_.holder.str()),
                        .data = encode_lease_claim(free)};
        (void)log_.append(stream(), std::span(&entry, 1));
        ready_at_.erase(server);
        released_ = true;
    }

    std::optional<lease> find(const server_id& server) const { return book_.find(server); }
    std::vector<server_id> servers() const { return book_.servers(); }

    bool is_mine(const lease& it) const
    {
        return it.holder == options_.holder && it.incarnation == options_.incarnation;
    }

    /// The fencing number with which an order may go out now, if any.
    std::optional<fencing_number> order_fencing(const server_id& server, bool checks_fencing) const
    {
        auto it = book_.find(server);
        if (!it || !is_mine(*it) || released_)
        {
            return std::nullopt;
        }
        instant now = clock_.now();
        bool fresh = current_at_ && now - *current_at_ < options_.lease_duration;
        bool alone = fresh && now >= ready_at_.at(server);
        return checks_fencing || alone ? std::optional(it->fencing) : std::nullopt;
    }

    /// Whether the last read of the log's end began less than the lease length ago.
    bool fresh() const
    {
        return current_at_ && clock_.now() - *current_at_ < options_.lease_duration;
    }

private:
    stream_name stream() const { return lease_stream(options_.domain); }

    // An older claim may have expired unread; its holder shows itself when it renews.
    bool may_be_missing(const server_id& server, instant now) const
    {
        return book_.partial() && !book_.find(server) &&
               now - restarted_at_ < options_.renew_interval + options_.lease_duration;
    }

    // Where the log still keeps records shows in the answer to a read beyond its end.
    verdict<log_page> restart()
    {
        log_offset beyond(std::numeric_limits<std::int64_t>::max() / 2);
        auto page = log_.read(stream(), beyond, 1, milliseconds(0));
        if (page)
        {
            book_.reset(page->first_kept);
            ready_at_.clear();
            restarted_at_ = clock_.now();
        }
        return page;
    }

    void take(const log_record& record)
    {
        auto claim = decode_lease_claim(record.data);
        if (!claim)
        {
            book_.skip(record.offset);
            return;
        }
        auto before = book_.find(claim->server);
        if (!book_.apply(*claim, record.offset))
        {
            return;
        }
        lease newest = *book_.find(claim->server);
        if (!is_mine(newest))
        {
            ready_at_.erase(claim->server);
            return;
        }
        instant now = clock_.now();
        renewed_at_[claim->server] = now;
        claimed_at_.erase(claim->server);
        bool renewed = before && is_mine(*before) && ready_at_.contains(claim->server);
        bool first = claim->follows == fencing_number() && !book_.partial();
        bool free = before && before->holder.empty();
        if (!renewed)
        {
            auto wait = first || free ? milliseconds(0) : options_.takeover_delay;
            ready_at_[claim->server] = now + wait;
        }
    }

    Log& log_;
    const Clock& clock_;
    lease_manager_options options_;
    lease_table book_;
    /// When the last read that reached the stream's end began.
    std::optional<instant> current_at_;
    /// From when on no order of an earlier holder can be under way, for each lease of mine.
    std::map<server_id, instant> ready_at_;
    /// When each claim that does not show yet was sent.
    std::map<server_id, instant> claimed_at_;
    /// When the newest claim of each lease of mine was read.
    std::map<server_id, instant> renewed_at_;
    instant restarted_at_;
    /// This placer stops; it gives no order any more.
    bool released_ = false;
};

} // namespace banyanshunt
