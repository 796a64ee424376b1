#include "coordination/share_membership.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

// Two machines' clocks run apart by less than a fiftieth; what one side waits is longer by that.
constexpr int drift_parts = 50;
constexpr milliseconds least_margin(100);

nanoseconds with_margin(nanoseconds wait)
{
    return wait + wait / drift_parts + least_margin;
}

bool contains(const std::vector<host_incarnation>& lives, const host_incarnation& it)
{
    return std::ranges::find(lives, it) != lives.end();
}

// The offset plus 1 names a record in `follows` and in a host's progress.
log_offset after(log_offset offset)
{
    return offset + log_offset(1);
}

} // namespace

bool share_membership::apply(const share_record& record, log_offset offset, instant now)
{
    through_ = after(offset);
    if (started_late_ && records_.empty() && !find_proven(record, offset, now))
    {
        return false;
    }
    log_offset newest = records_.empty() ? log_offset() : after(records_.back().offset);
    if (record.follows != newest)
    {
        return false;
    }
    if (!records_.empty())
    {
        for (const auto& life : records_.back().record.members)
        {
            peers_[life].removals += contains(record.members, life) ? 0 : 1;
        }
    }
    note_held(record, offset);
    for (const auto& life : record.members)
    {
        peer_view& peer = peers_[life];
        peer.heard = std::max(peer.heard, now);
    }
    records_.push_back({.offset = offset, .record = record, .read_at = now});
    progress_.read = after(offset);
    settle(now);
    return true;
}

// The only member of the very first record holds a part that nobody held before. The part shrinks
// as others join; when one leaves it grows, by what that one may have spent.
void share_membership::note_held(const share_record& record, log_offset offset)
{
    if (offset == log_offset())
    {
        held_from_first_ = record.members == std::vector{self_};
        return;
    }
    bool grown = record.members.size() < records_.back().record.members.size();
    held_from_first_ = held_from_first_ && contains(record.members, self_) && !grown;
}

void share_membership::restart_from(log_offset first_kept)
{
    held_from_first_ = false;
    records_.clear();
    unproven_.clear();
    settled_ = {};
    log_read_.reset();
    started_late_ = true;
    through_ = first_kept;
}

bool share_membership::find_proven(const share_record& record, log_offset offset, instant now)
{
    for (const auto& it : unproven_)
    {
        if (after(it.offset) == record.follows)
        {
            records_.push_back(it);
            unproven_.clear();
            return true;
        }
    }
    constexpr std::size_t most_unproven = 64;
    if (unproven_.size() == most_unproven)
    {
        unproven_.pop_front();
    }
    unproven_.push_back({.offset = offset, .record = record, .read_at = now});
    return false;
}

void share_membership::record_peer(const host_incarnation& peer, const share_progress& progress,
                                   std::optional<instant> asked, instant now)
{
    peer_view& it = peers_[peer];
    it.heard = std::max(it.heard, now);
    if (progress.read > it.progress.read)
    {
        it.progress.read = progress.read;
        it.read_known = now;
    }
    it.progress.cut = std::max(it.progress.cut, progress.cut);
    if (asked && progress.read <= progress_.read)
    {
        it.promised = std::max(it.promised.value_or(*asked), *asked);
    }
}

void share_membership::settle(instant now)
{
    for (auto layer : all_layers)
    {
        for (std::size_t n = records_.size(); n > 0; --n)
        {
            const auto& candidate = records_[n - 1];
            if (after(candidate.offset) <= settled_[layer])
            {
                break;
            }
            auto done = [&](const auto& life) { return cleared(n - 1, life, layer, now); };
            if (std::ranges::all_of(candidate.record.former, done))
            {
                settled_[layer] = after(candidate.offset);
                break;
            }
        }
    }
    log_offset oldest = std::min(settled_.confirmed, settled_.outage);
    while (!records_.empty() && after(records_.front().offset) < oldest)
    {
        records_.pop_front();
    }
}

bool share_membership::cleared(std::size_t index, const host_incarnation& life, share_layer layer,
                               instant now) const
{
    log_offset wanted = after(records_[index].offset);
    if (life == self_)
    {
        return progress_.cut >= wanted;
    }
    auto it = peers_.find(life);
    bool told = it != peers_.end() && it->second.progress.cut >= wanted;
    return told || lapsed(index, life, layer, now);
}

bool share_membership::lapsed(std::size_t index, const host_incarnation& life, share_layer layer,
                              instant now) const
{
    if (layer == share_layer::confirmed && witnessed(index, life, now))
    {
        return true;
    }
    // From the first record that dropped it, a host that reads on has nothing by any later one that
    // leaves it out, and one that does not runs out of time.
    std::size_t dropped = index;
    while (dropped > 0 && !contains(records_[dropped].record.members, life) &&
           !contains(records_[dropped - 1].record.members, life))
    {
        --dropped;
    }
    auto wait = with_margin(options_.outage) + with_margin(options_.loan_wait);
    return now >= records_[dropped].read_at + wait;
}

bool share_membership::witnessed(std::size_t index, const host_incarnation& life, instant now) const
{
    const auto& candidate = records_[index];
    auto wait = with_margin(options_.lease) + with_margin(options_.loan_wait);
    if (now < candidate.read_at + wait)
    {
        return false;
    }
    // A host that was alone in its domain had nobody's promise to live on.
    bool was_alone = candidate.record.former.size() == 1;
    auto refuses_promises = [&](const host_incarnation& witness)
    {
        auto it = peers_.find(witness);
        return witness == self_ ||
               (it != peers_.end() && it->second.progress.read >= after(candidate.offset) &&
                now >= it->second.read_known + wait);
    };
    auto others = candidate.record.witnesses;
    std::erase(others, life);
    return was_alone || std::ranges::any_of(others, refuses_promises);
}

int share_membership::divisor(share_layer layer) const
{
    if (settled_[layer] == log_offset())
    {
        return 0;
    }
    std::size_t most = 0;
    for (const auto& it : records_)
    {
        if (after(it.offset) < settled_[layer])
        {
            continue;
        }
        if (!contains(it.record.members, self_))
        {
            return 0;
        }
        most = std::max(most, it.record.members.size());
    }
    return static_cast<int>(most);
}

std::optional<instant> share_membership::all_promised() const
{
    std::optional<instant> earliest;
    for (const auto& life : members())
    {
        if (life == self_)
        {
            continue;
        }
        auto it = peers_.find(life);
        if (it == peers_.end() || !it->second.promised)
        {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*it->second.promised), *it->second.promised);
    }
    return earliest;
}

instant share_membership::usable_until(share_layer layer) const
{
    if (!log_read_)
    {
        return instant::min();
    }
    instant last = *log_read_ + options_.outage;
    if (layer == share_layer::outage)
    {
        return last;
    }
    instant until = *log_read_ + options_.lease;
    if (auto promised = all_promised())
    {
        until = std::max(until, std::min(last, *promised + options_.lease));
    }
    return until;
}

bool share_membership::is_member() const
{
    return !records_.empty() && contains(records_.back().record.members, self_);
}

std::vector<host_incarnation> share_membership::members() const
{
    return records_.empty() ? std::vector<host_incarnation>() : records_.back().record.members;
}

bool share_membership::settled(share_layer layer) const
{
    return !records_.empty() && settled_[layer] == after(records_.back().offset);
}

std::vector<host_incarnation> share_membership::silent_members(instant now) const
{
    std::vector<host_incarnation> silent;
    for (const auto& life : members())
    {
        const peer_view& peer = peers_.at(life);
        // A member that came back after a removal is cut off from this host alone; each further
        // removal waits twice as long.
        constexpr int most_doublings = 10;
        auto patience = options_.evict_after * (1 << std::min(peer.removals, most_doublings));
        if (life != self_ && now - peer.heard >= patience)
        {
            silent.push_back(life);
        }
    }
    return silent;
}

share_record share_membership::next_record(std::vector<host_incarnation> members) const
{
    share_record next{.follows = {}, .members = std::move(members), .former = {}, .witnesses = {}};
    if (records_.empty())
    {
        return next;
    }
    const auto& newest = records_.back();
    next.follows = after(newest.offset);
    next.former = newest.record.members;
    next.witnesses = newest.record.members;
    if (settled(share_layer::outage))
    {
        return next;
    }
    for (const auto& life : newest.record.former)
    {
        if (!contains(next.former, life))
        {
            next.former.push_back(life);
        }
    }
    std::erase_if(next.witnesses,
                  [&](const auto& it) { return !contains(newest.record.witnesses, it); });
    return next;
}

std::optional<share_record> share_membership::propose(bool leaving, instant now) const
{
    auto wanted = members();
    if (leaving && !is_member())
    {
        return std::nullopt;
    }
    if (!is_member())
    {
        if (started_late_ && records_.empty())
        {
            return std::nullopt;
        }
        std::erase_if(wanted, [this](const auto& it) { return it.host == self_.host; });
        wanted.push_back(self_);
        return next_record(std::move(wanted));
    }
    if (leaving)
    {
        std::erase(wanted, self_);
        return next_record(std::move(wanted));
    }
    auto silent = silent_members(now);
    std::erase_if(wanted, [&](const auto& it) { return contains(silent, it); });
    // Members take turns, so that most of the time only the first one appends.
    auto turn = std::ranges::find(wanted, self_) - wanted.begin();
    nanoseconds age = now - records_.back().read_at;
    bool refresh = age >= options_.refresh + turn * options_.evict_after;
    bool remove = !silent.empty() && age >= turn * options_.evict_after;
    if (!refresh && !remove)
    {
        return std::nullopt;
    }
    return next_record(std::move(wanted));
}

} // namespace banyanshunt
