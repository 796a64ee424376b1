#pragma once

/// \file
/// Defines the keeping of leases: reading the domain's lease stream, claiming servers that are this
/// placer's to serve, and telling whether it may act on one now.

#include <map>

#include "coordination/lease_book.hpp"
#include "coordination/log_service.hpp"
#include "coordination/rendezvous.hpp"
#include "protocol/lease_codec.hpp"

namespace banyanshunt
{

struct lease_keeper_options
{
    host_id holder;
    incarnation life;
    domain_id domain;
    milliseconds lease_length{3000};
    milliseconds longest_order{2000};
};

/// Used by one thread.
template <log_service Log, clock_source Clock>
class lease_keeper
{
public:
    lease_keeper(Log& log, const Clock& clock, lease_keeper_options options)
        : log_(log), clock_(clock), options_(std::move(options))
    {
    }

    /// Reads the stream to its end. Until the next successful read, leases lapse by the clock.
    verdict<done> read()
    {
        constexpr std::size_t page_limit = 256;
        while (true)
        {
            instant began = clock_.now();
            auto page = log_.read(lease_stream(options_.domain), book_.through(), page_limit,
                                  milliseconds(0));
            if (!page)
            {
                return page.error();
            }
            for (const auto& record : page->records)
            {
                take(record);
            }
            if (book_.through() >= page->end)
            {
                current_at_ = began;
                return done{};
            }
        }
    }

    /// Appends a claim that follows the newest one. Whether it won shows at the next `read`.
    verdict<done> claim(const server_id& server)
    {
        auto newest = book_.find(server);
        lease_claim it{.server = server,
                       .holder = options_.holder,
                       .life = options_.life,
                       .follows = newest ? newest->fencing : fencing_number()};
        log_entry entry{.id = record_id("claim." + options_.holder.str()),
                        .data = encode_claim(it)};
        auto appended = log_.append(lease_stream(options_.domain), std::span(&entry, 1));
        if (!appended)
        {
            return appended.error();
        }
        return done{};
    }

    std::optional<lease> find(const server_id& server) const { return book_.find(server); }

    bool is_mine(const lease& it) const
    {
        return it.holder == options_.holder && it.life == options_.life;
    }

    /// The fencing number with which an order may go out now, if any: the lease is mine, a fresh
    /// read shows no later claim, and every order of an earlier holder has ended.
    std::optional<fencing_number> may_order(const server_id& server) const
    {
        auto it = book_.find(server);
        instant now = clock_.now();
        bool fresh = current_at_ && now - *current_at_ < options_.lease_length;
        if (!it || !is_mine(*it) || !fresh)
        {
            return std::nullopt;
        }
        auto won = won_at_.find(server);
        if (won == won_at_.end() || now < won->second)
        {
            return std::nullopt;
        }
        return it->fencing;
    }

private:
    void take(const log_record& record)
    {
        auto claim = decode_claim(record.data);
        if (!claim)
        {
            book_.skip(record.offset);
            return;
        }
        bool followed_another = claim->follows.count() > 0;
        if (!book_.apply(*claim, record.offset))
        {
            return;
        }
        won_at_.erase(claim->server);
        lease newest = *book_.find(claim->server);
        if (is_mine(newest))
        {
            auto wait =
                followed_another ? options_.lease_length + options_.longest_order : milliseconds(0);
            won_at_[claim->server] = clock_.now() + wait;
        }
    }

    Log& log_;
    const Clock& clock_;
    lease_keeper_options options_;
    lease_book book_;
    /// When the last read that reached the stream's end began.
    std::optional<instant> current_at_;
    /// From when on orders may go out under each lease of mine.
    std::map<server_id, instant> won_at_;
};

} // namespace banyanshunt
