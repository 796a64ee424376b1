#pragma once

/// \file
/// Manages leases: reads the domain's lease stream, claims servers, and decides whether this placer
/// may send orders to one now.
///
/// Engines that check fencing numbers refuse a holder once its successor has sent them a higher
/// number. With these engines a holder continues while the log is unreachable, and a successor
/// sends its number before it gives orders. With engines that ignore the numbers, safety rests on
/// time: a holder stops when its last read that reached the end of the stream began
/// `lease_duration` ago, and a successor's first order comes a `lease_duration` after the last one
/// of the holder before can have been carried out.

#include <algorithm>
#include <limits>
#include <map>

#include "coordination/lease_table.hpp"
#include "coordination/log_service.hpp"
#include "coordination/order_history.hpp"
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
    /// An order without a response may be carried out this long after it was sent.
    milliseconds max_order_delay{12'000};
    /// The durations that keep the orders of two holders to one engine apart.
    order_terms terms{
        .lease = lease_duration, .membership = lease_duration, .transit = max_order_delay};
    /// How long to wait for a claim to appear in the stream before claiming again.
    milliseconds claim_retry_delay{1000};
    /// How often a held lease is claimed again, so that its claim outlives the log's retention.
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

    /// Reads the stream to its end, waiting up to `wait` for a first record.
    verdict<done> read(milliseconds wait = milliseconds(0))
    {
        constexpr std::size_t page_limit = 256;
        while (true)
        {
            instant read_started_at = clock_.now();
            auto page = log_.read(stream(), leases_.next_offset(), page_limit, wait);
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
                handle(record);
            }
            if (leases_.next_offset() >= page->end)
            {
                last_read_at_ = read_started_at;
                return done{};
            }
        }
    }

    /// Appends a claim that follows the newest one, unless a claim is pending. A later `read` shows
    /// whether it succeeded, so a lost response needs no other handling, and a claim that is
    /// appended twice counts once.
    verdict<done> claim(const server_id& server)
    {
        instant now = clock_.now();
        auto previous = pending_claims_.find(server);
        bool pending = previous != pending_claims_.end() &&
                       now - previous->second < options_.claim_retry_delay;
        if (pending || !last_read_at_ || claim_may_be_missing(server, now))
        {
            return done{};
        }
        pending_claims_[server] = now;
        auto newest = leases_.find(server);
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

    /// Claims again the held leases whose newest claim is older than `renew_interval`.
    void renew()
    {
        for (const auto& [server, taken] : taken_)
        {
            auto claimed = claim_read_at_.find(server);
            if (clock_.now() - claimed->second >= options_.renew_interval)
            {
                (void)claim(server);
            }
        }
    }

    /// Releases a lease at a planned stop, so that a successor waits only for `wait`. The caller
    /// guarantees that no order of this holder is in flight.
    void release(const server_id& server, milliseconds wait)
    {
        auto it = leases_.find(server);
        if (!it || !is_mine(*it))
        {
            return;
        }
        lease_claim release_claim{.server = server,
                                  .holder = {},
                                  .incarnation = {},
                                  .follows = it->fencing,
                                  .released_for = wait};
        log_entry entry{.id = record_id("release." + options_.holder.str()),
                        .data = encode_lease_claim(release_claim)};
        (void)log_.append(stream(), std::span(&entry, 1));
        taken_.erase(server);
        released_ = true;
    }

    std::optional<lease> find(const server_id& server) const { return leases_.find(server); }
    std::vector<server_id> servers() const { return leases_.servers(); }

    bool is_mine(const lease& it) const
    {
        return it.holder == options_.holder && it.incarnation == options_.incarnation;
    }

    /// The own claim on a server, if it is the newest.
    std::optional<order_history::claim> claim_of(const server_id& server) const
    {
        auto it = leases_.find(server);
        if (!it || !is_mine(*it) || released_)
        {
            return std::nullopt;
        }
        return order_history::claim{.taken = taken_.at(server), .fence = it->fencing};
    }

    /// The fencing number with which an order may be sent now, if any.
    std::optional<fencing_number> order_fencing(const server_id& server, bool checks_fencing) const
    {
        auto it = claim_of(server);
        if (!it)
        {
            return std::nullopt;
        }
        bool takeover_complete = fresh() && clock_.now() >= it->taken.may_order_at;
        return checks_fencing || takeover_complete ? std::optional(it->fence) : std::nullopt;
    }

    /// Whether the last read that reached the stream's end began less than `lease_duration` ago.
    bool fresh() const
    {
        return last_read_at_ && clock_.now() - *last_read_at_ < options_.lease_duration;
    }

private:
    stream_name stream() const { return lease_stream(options_.domain); }

    // After a restart an older claim may have expired unread; its holder becomes known when it
    // renews.
    bool claim_may_be_missing(const server_id& server, instant now) const
    {
        return leases_.partial() && !leases_.find(server) &&
               now - restarted_at_ < options_.renew_interval + options_.lease_duration;
    }

    // The response to a read beyond the stream's end has the first offset that the log still keeps.
    verdict<log_page> restart()
    {
        log_offset beyond_end(std::numeric_limits<std::int64_t>::max() / 2);
        auto page = log_.read(stream(), beyond_end, 1, milliseconds(0));
        if (page)
        {
            leases_.reset(page->first_kept);
            taken_.clear();
            restarted_at_ = clock_.now();
        }
        return page;
    }

    void handle(const log_record& record)
    {
        auto claim = decode_lease_claim(record.data);
        if (!claim)
        {
            leases_.skip(record.offset);
            return;
        }
        auto previous = leases_.find(claim->server);
        if (!leases_.apply(*claim, record.offset))
        {
            return;
        }
        lease newest = *leases_.find(claim->server);
        instant now = clock_.now();
        if (!is_mine(newest))
        {
            taken_.erase(claim->server);
            if (newest.holder.empty())
            {
                released_at_[claim->server] = now;
            }
            return;
        }
        claim_read_at_[claim->server] = now;
        pending_claims_.erase(claim->server);
        bool renewed = previous && is_mine(*previous) && taken_.contains(claim->server);
        if (!renewed)
        {
            bool first = claim->follows == fencing_number() && !leases_.partial();
            taken_[claim->server] = take_over_after(first, previous, claim->server);
        }
    }

    takeover take_over_after(bool first, const std::optional<lease>& previous,
                             const server_id& server) const
    {
        instant now = clock_.now();
        instant read_at = now;
        std::optional<assignment_record> before;
        if (previous)
        {
            before = assignment_record{.holder = previous->holder};
            if (previous->holder.empty())
            {
                before->released_for = previous->released_for;
                read_at = released_at_.at(server);
            }
        }
        // A lease stream records no completed takeovers, which alone depend on the machine, and
        // of the claim's offset only whether it is the first one counts.
        return take_over({.own = {.host = options_.holder, .machine = machine_id()},
                          .at = log_offset(first ? 0 : 1),
                          .before = before,
                          .sent_at = now,
                          .read_at = read_at},
                         options_.terms);
    }

    Log& log_;
    const Clock& clock_;
    lease_manager_options options_;
    lease_table leases_;
    /// The start of the last read that reached the stream's end.
    std::optional<instant> last_read_at_;
    /// What each own claim entitles to.
    std::map<server_id, takeover> taken_;
    /// When the newest release of each server was read.
    std::map<server_id, instant> released_at_;
    /// When each claim that has not appeared in the stream yet was sent.
    std::map<server_id, instant> pending_claims_;
    /// When the newest claim of each own lease was read.
    std::map<server_id, instant> claim_read_at_;
    instant restarted_at_;
    /// A lease was released because this placer stops; it sends no further orders.
    bool released_ = false;
};

} // namespace banyanshunt
