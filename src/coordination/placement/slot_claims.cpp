#include "coordination/placement/slot_claims.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

bool is_decided(const fleet_state& state, const replica_slot& slot)
{
    const model_object* model = find_object(state.models, slot.model);
    return model && slot.index < model->max_replicas;
}

// A server with cached checkpoints may claim slots early up to this percentage of the mean decided
// memory per engine.
constexpr std::int64_t max_cached_percent = 150;
constexpr std::int64_t percent = 100;

// How long the slot must have been unowned before the server may claim it; nullopt if it never may.
std::optional<nanoseconds> claim_delay(const slot_claim_view& view,
                                       const std::vector<server_id>& preferred,
                                       const slot_claimant& claimant, const model_id& model,
                                       bool has_room)
{
    auto position = std::find(preferred.begin(), preferred.end(), claimant.server);
    if (position == preferred.end())
    {
        return std::nullopt;
    }
    if (claimant.can_start.contains(model))
    {
        constexpr milliseconds delay_per_position(20);
        return delay_per_position * (position - preferred.begin());
    }
    auto cached = claimant.cached.find(model);
    if (has_room && cached != claimant.cached.end())
    {
        return cached->second == checkpoint_tier::memory ? milliseconds(0) : view.cache_delay / 2;
    }
    return view.cache_delay + view.preference_delay * (position - preferred.begin());
}

mebibytes memory_of(const fleet_state& state, const slot_set& slots)
{
    mebibytes sum;
    for (const auto& slot : slots)
    {
        const model_object* model = find_object(state.models, slot.model);
        sum += model ? model->memory : mebibytes();
    }
    return sum;
}

// The mean decided memory per engine, over the engines that are not leaving.
mebibytes mean_memory(const slot_claim_view& view)
{
    std::int64_t engines = 0;
    for (const auto& [id, entry] : view.state.servers)
    {
        bool stays =
            entry->value && entry->value->kind == server_kind::engine && !entry->value->leaving;
        engines += stays ? 1 : 0;
    }
    mebibytes sum;
    for (const auto& [slot, servers] : view.preference)
    {
        sum += find_object(view.state.models, slot.model)->memory;
    }
    return mebibytes(engines == 0 ? 0 : sum.count() / engines);
}

// Adds the unowned slots that the server may claim now.
void claim_unowned(const slot_claim_view& view, const slot_claimant& claimant,
                   std::set<model_id> models, slot_set& wanted)
{
    mebibytes memory_limit(mean_memory(view).count() * max_cached_percent / percent);
    mebibytes owned = memory_of(view.state, wanted);
    for (const auto& [slot, since] : view.unowned)
    {
        auto preferred = view.preference.find(slot);
        if (preferred == view.preference.end() || models.contains(slot.model) ||
            claimant.yielded.contains(slot.model) || !is_decided(view.state, slot))
        {
            continue;
        }
        mebibytes memory = find_object(view.state.models, slot.model)->memory;
        auto wait = claim_delay(view, preferred->second, claimant, slot.model,
                                owned + memory <= memory_limit);
        if (wait && view.now - since >= *wait)
        {
            wanted.insert(slot);
            models.insert(slot.model);
            owned += memory;
            if (claimant.can_start.contains(slot.model))
            {
                return; // One at a time: another server may start the next load sooner.
            }
        }
    }
}

} // namespace

void overcommitted_models::record(const std::set<model_id>& overcommitted, instant now)
{
    for (const auto& model : overcommitted)
    {
        recorded_[model] = now;
    }
}

std::set<model_id> overcommitted_models::recent(instant now)
{
    constexpr milliseconds valid_for(3000);
    std::erase_if(recorded_, [&](const auto& it) { return now - it.second > valid_for; });
    std::set<model_id> models;
    for (const auto& [model, at] : recorded_)
    {
        models.insert(model);
    }
    return models;
}

void record_unowned(const slot_preference& preference, const slot_ledger& ledger, instant now,
                    unowned_since& unowned)
{
    std::erase_if(unowned, [&](const auto& seen)
                  { return ledger.owner(seen.first) || !preference.contains(seen.first); });
    for (const auto& [slot, servers] : preference)
    {
        if (!ledger.owner(slot))
        {
            unowned.try_emplace(slot, now);
        }
    }
}

slot_set wanted_slots(const slot_claim_view& view, const slot_claimant& claimant)
{
    slot_set wanted;
    std::set<model_id> models;
    for (const auto& slot : view.ledger.slots_of(claimant.server))
    {
        bool may_hold = claimant.held.contains(slot.model);
        bool useful = is_decided(view.state, slot) && !claimant.leaving &&
                      !claimant.yielded.contains(slot.model);
        // A server holds one replica of a model, so only the lowest of its slots for it is usable.
        if ((may_hold || useful) && !models.contains(slot.model))
        {
            wanted.insert(slot);
            models.insert(slot.model);
        }
    }
    if (claimant.leaving)
    {
        return wanted;
    }
    claim_unowned(view, claimant, std::move(models), wanted);
    return wanted;
}

} // namespace banyanshunt
