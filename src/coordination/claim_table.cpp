#include "coordination/claim_table.hpp"

namespace banyanshunt
{

void claim_table::apply(const claim_record& record, log_offset offset)
{
    next_offset_ = offset + log_offset(1);
    auto it = live_.find(record.key);
    if (record.kind == claim_record_kind::claim)
    {
        // A record that was appended twice counts once, wherever its second copy is in the stream.
        bool first_copy = read_.try_emplace(record.claim, offset).second;
        if (first_copy && it == live_.end() && !abandoned_.contains(record.claim))
        {
            live_[record.key] = {.claim = record.claim,
                                 .digest = record.digest,
                                 .offset = offset,
                                 .outcome = std::nullopt};
            by_offset_[offset] = record.key;
        }
        return;
    }
    bool is_live_claim = it != live_.end() && it->second.claim == record.claim;
    if (record.kind == claim_record_kind::abandon)
    {
        abandoned_.try_emplace(record.claim, offset);
        if (is_live_claim && !it->second.outcome)
        {
            by_offset_.erase(it->second.offset);
            live_.erase(it);
        }
        return;
    }
    if (is_live_claim && !it->second.outcome)
    {
        it->second.outcome = record.outcome;
        outcome_bytes_ += record.outcome.body.size();
        drop_oldest_bodies();
    }
}

void claim_table::drop_oldest_bodies()
{
    for (auto it = by_offset_.begin();
         it != by_offset_.end() && outcome_bytes_ > max_outcome_bytes_; ++it)
    {
        auto& outcome = live_.at(it->second).outcome;
        if (outcome && !outcome->body.empty())
        {
            outcome_bytes_ -= outcome->body.size();
            outcome->body.clear();
            outcome->body_dropped = true;
        }
    }
}

void claim_table::expire(log_offset first_kept)
{
    while (!by_offset_.empty() && by_offset_.begin()->first < first_kept)
    {
        auto it = live_.find(by_offset_.begin()->second);
        if (it->second.outcome)
        {
            outcome_bytes_ -= it->second.outcome->body.size();
        }
        live_.erase(it);
        by_offset_.erase(by_offset_.begin());
    }
    auto expired = [first_kept](const auto& entry) { return entry.second < first_kept; };
    std::erase_if(read_, expired);
    std::erase_if(abandoned_, expired);
}

void claim_table::restart(log_offset offset)
{
    expire(offset);
    next_offset_ = offset;
}

const live_claim* claim_table::find(const claim_key& key) const
{
    auto it = live_.find(key);
    return it == live_.end() ? nullptr : &it->second;
}

} // namespace banyanshunt
