#include "coordination/share_membership.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

// The clocks of two machines drift apart by less than 1/50; waits of one side for another are
// longer by that fraction.
constexpr int drift_divisor = 50;
constexpr milliseconds min_margin(100);

nanoseconds with_margin(nanoseconds wait)
{
    return wait + wait / drift_divisor + min_margin;
}

bool contains(const std::vector<host_incarnation>& incarnations, const host_incarnation& it)
{
    return std::ranges::find(incarnations, it) != incarnations.end();
}

// `follows` and a host's progress refer to a record by its offset plus 1.
log_offset after(log_offset offset)
{
    return offset + log_offset(1);
}

} // namespace

bool share_membership::apply(const share_record& record, log_offset offset, instant now)
{
    next_offset_ = after(offset);
    if (restarted_ && records_.empty() && !find_first_record(record, offset, now))
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
        for (const auto& member : records_.back().record.members)
        {
            peers_[member].removals += contains(record.members, member) ? 0 : 1;
        }
    }
    update_held_from_first(record, offset);
    for (const auto& member : record.members)
    {
        peer_status& peer = peers_[member];
        peer.last_received = std::max(peer.last_received, now);
    }
    records_.push_back({.offset = offset, .record = record, .read_at = now});
    progress_.read = after(offset);
    settle(now);
    return true;
}

// The only member of the first record holds a share that nobody held before. The share shrinks as
// others join. When a member leaves, the share grows by an amount that this member may have spent.
void share_membership::update_held_from_first(const share_record& record, log_offset offset)
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
    unconfirmed_.clear();
    settled_ = {};
    last_log_read_.reset();
    restarted_ = true;
    next_offset_ = first_kept;
}

bool share_membership::find_first_record(const share_record& record, log_offset offset, instant now)
{
    for (const auto& it : unconfirmed_)
    {
        if (after(it.offset) == record.follows)
        {
            records_.push_back(it);
            unconfirmed_.clear();
            return true;
        }
    }
    constexpr std::size_t max_unconfirmed = 64;
    if (unconfirmed_.size() == max_unconfirmed)
    {
        unconfirmed_.pop_front();
    }
    unconfirmed_.push_back({.offset = offset, .record = record, .read_at = now});
    return false;
}

void share_membership::record_peer(const host_incarnation& peer, const share_progress& progress,
                                   std::optional<instant> call_start, instant now)
{
    peer_status& it = peers_[peer];
    it.last_received = std::max(it.last_received, now);
    if (progress.read > it.progress.read)
    {
        it.progress.read = progress.read;
        it.read_known_since = now;
    }
    it.progress.cut = std::max(it.progress.cut, progress.cut);
    if (call_start && progress.read <= progress_.read)
    {
        it.promised_at = std::max(it.promised_at.value_or(*call_start), *call_start);
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
            auto member_cleared = [&](const auto& member)
            { return cleared(n - 1, member, layer, now); };
            if (std::ranges::all_of(candidate.record.former, member_cleared))
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

bool share_membership::cleared(std::size_t index, const host_incarnation& member, share_layer layer,
                               instant now) const
{
    log_offset required = after(records_[index].offset);
    if (member == self_)
    {
        return progress_.cut >= required;
    }
    auto it = peers_.find(member);
    bool reported_cut = it != peers_.end() && it->second.progress.cut >= required;
    return reported_cut || has_expired(index, member, layer, now);
}

bool share_membership::has_expired(std::size_t index, const host_incarnation& member,
                                   share_layer layer, instant now) const
{
    if (layer == share_layer::confirmed && confirmed_by_witness(index, member, now))
    {
        return true;
    }
    // A removed host that reads the first record without it owns nothing by that record or by later
    // records without it. A host that does not read it exceeds its outage limit.
    std::size_t removed_at = index;
    while (removed_at > 0 && !contains(records_[removed_at].record.members, member) &&
           !contains(records_[removed_at - 1].record.members, member))
    {
        --removed_at;
    }
    auto wait = with_margin(options_.outage) + with_margin(options_.loan_wait);
    return now >= records_[removed_at].read_at + wait;
}

bool share_membership::confirmed_by_witness(std::size_t index, const host_incarnation& member,
                                            instant now) const
{
    const auto& candidate = records_[index];
    auto wait = with_margin(options_.lease) + with_margin(options_.loan_wait);
    if (now < candidate.read_at + wait)
    {
        return false;
    }
    // The only host in its domain had no peer whose promise could extend its lease.
    bool was_only_member = candidate.record.former.size() == 1;
    auto refuses_promises = [&](const host_incarnation& witness)
    {
        auto it = peers_.find(witness);
        return witness == self_ ||
               (it != peers_.end() && it->second.progress.read >= after(candidate.offset) &&
                now >= it->second.read_known_since + wait);
    };
    auto others = candidate.record.witnesses;
    std::erase(others, member);
    return was_only_member || std::ranges::any_of(others, refuses_promises);
}

int share_membership::divisor(share_layer layer) const
{
    if (settled_[layer] == log_offset())
    {
        return 0;
    }
    std::size_t largest = 0;
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
        largest = std::max(largest, it.record.members.size());
    }
    return static_cast<int>(largest);
}

std::optional<instant> share_membership::earliest_promise() const
{
    std::optional<instant> earliest;
    for (const auto& member : members())
    {
        if (member == self_)
        {
            continue;
        }
        auto it = peers_.find(member);
        if (it == peers_.end() || !it->second.promised_at)
        {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*it->second.promised_at), *it->second.promised_at);
    }
    return earliest;
}

instant share_membership::usable_until(share_layer layer) const
{
    if (!last_log_read_)
    {
        return instant::min();
    }
    instant outage_end = *last_log_read_ + options_.outage;
    if (layer == share_layer::outage)
    {
        return outage_end;
    }
    instant until = *last_log_read_ + options_.lease;
    if (auto promised_at = earliest_promise())
    {
        until = std::max(until, std::min(outage_end, *promised_at + options_.lease));
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

std::vector<host_incarnation> share_membership::unresponsive_members(instant now) const
{
    std::vector<host_incarnation> unresponsive;
    for (const auto& member : members())
    {
        const peer_status& peer = peers_.at(member);
        // A member that rejoined after a removal is unreachable from this host only, so the timeout
        // doubles with each removal.
        constexpr int max_doublings = 10;
        auto timeout = options_.evict_after * (1 << std::min(peer.removals, max_doublings));
        if (member != self_ && now - peer.last_received >= timeout)
        {
            unresponsive.push_back(member);
        }
    }
    return unresponsive;
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
    for (const auto& member : newest.record.former)
    {
        if (!contains(next.former, member))
        {
            next.former.push_back(member);
        }
    }
    std::erase_if(next.witnesses,
                  [&](const auto& it) { return !contains(newest.record.witnesses, it); });
    return next;
}

std::optional<share_record> share_membership::propose(bool leaving, instant now) const
{
    auto proposed = members();
    if (leaving && !is_member())
    {
        return std::nullopt;
    }
    if (!is_member())
    {
        if (restarted_ && records_.empty())
        {
            return std::nullopt;
        }
        std::erase_if(proposed, [this](const auto& it) { return it.host == self_.host; });
        proposed.push_back(self_);
        return next_record(std::move(proposed));
    }
    if (leaving)
    {
        std::erase(proposed, self_);
        return next_record(std::move(proposed));
    }
    auto unresponsive = unresponsive_members(now);
    std::erase_if(proposed, [&](const auto& it) { return contains(unresponsive, it); });
    // Members wait longer by their rank, so that usually only the first one appends.
    auto rank = std::ranges::find(proposed, self_) - proposed.begin();
    nanoseconds age = now - records_.back().read_at;
    bool refresh = age >= options_.refresh + rank * options_.evict_after;
    bool remove = !unresponsive.empty() && age >= rank * options_.evict_after;
    if (!refresh && !remove)
    {
        return std::nullopt;
    }
    return next_record(std::move(proposed));
}

} // namespace banyanshunt
