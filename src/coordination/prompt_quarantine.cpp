#include "coordination/prompt_quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace banyanshunt
{

part_state prompt_quarantine::judge(prompt_part part) const
{
    auto it = suspects_.find(part);
    if (it == suspects_.end())
    {
        return part_state::free;
    }
    return it->second.banned_at ? part_state::banned : part_state::suspected;
}

part_state prompt_quarantine::judge(const std::vector<prompt_part>& parts) const
{
    auto worst = part_state::free;
    for (auto part : parts)
    {
        worst = std::max(worst, judge(part));
    }
    return worst;
}

std::vector<prompt_part> prompt_quarantine::unproven(const std::vector<prompt_part>& parts) const
{
    std::vector<prompt_part> found;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(found),
                 [&](prompt_part part) { return !is_sound(part); });
    return found;
}

prompt_quarantine::crash_effect
prompt_quarantine::record_crash(const std::vector<prompt_part>& parts, const server_crash& crash)
{
    crash_effect effect;
    for (auto part : unproven(parts))
    {
        suspect& it = suspects_[part];
        bool counted = std::any_of(it.crashes.begin(), it.crashes.end(),
                                   [&](const server_crash& known)
                                   {
                                       bool same = known.server == crash.server &&
                                                   known.start_time_ms == crash.start_time_ms;
                                       auto gap =
                                           std::max(known.at - crash.at, crash.at - known.at);
                                       return same || gap < options_.min_crash_gap;
                                   });
        if (!counted && it.crashes.size() < options_.crashes_to_ban)
        {
            it.crashes.push_back(crash);
            effect.counted.push_back(part);
        }
        if (!it.banned_at && it.crashes.size() >= options_.crashes_to_ban)
        {
            it.banned_at = crash.at;
            effect.banned.push_back(part);
        }
        make_room(part);
    }
    return effect;
}

std::vector<prompt_part> prompt_quarantine::record_sound(const std::vector<prompt_part>& parts,
                                                         instant at)
{
    std::vector<prompt_part> cleared;
    for (auto part : parts)
    {
        if (suspects_.erase(part) > 0)
        {
            cleared.push_back(part);
        }
        auto known = sound_by_part_.find(part);
        if (known == sound_by_part_.end())
        {
            sound_.push_front({.part = part, .at = at});
            sound_by_part_.emplace(part, sound_.begin());
        }
        else
        {
            known->second->at = std::max(known->second->at, at);
            sound_.splice(sound_.begin(), sound_, known->second);
        }
    }
    while (sound_.size() > options_.max_sound)
    {
        sound_by_part_.erase(sound_.back().part);
        sound_.pop_back();
    }
    return cleared;
}

bool prompt_quarantine::record_ban(prompt_part part, instant at, instant now)
{
    if (is_sound(part) || now - at > options_.retention)
    {
        return false;
    }
    suspect& it = suspects_[part];
    if (it.banned_at)
    {
        return false;
    }
    it.banned_at = at;
    make_room(part);
    return true;
}

instant prompt_quarantine::last_mentioned(const suspect& it)
{
    instant last = it.banned_at.value_or(instant::min());
    for (const auto& crash : it.crashes)
    {
        last = std::max(last, crash.at);
    }
    return last;
}

void prompt_quarantine::make_room(prompt_part newest)
{
    if (suspects_.size() <= options_.max_suspects)
    {
        return;
    }
    auto rank = [&](const auto& it)
    {
        return std::tuple(it.first == newest, it.second.banned_at.has_value(),
                          it.second.crashes.size(), last_mentioned(it.second));
    };
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
                                     [&](const auto& a, const auto& b)
                                     { return rank(a) < rank(b); }));
}

void prompt_quarantine::expire(instant now)
{
    std::erase_if(suspects_, [&](const auto& it)
                  { return now - last_mentioned(it.second) > options_.retention; });
    std::erase_if(sound_,
                  [&](const sound_part& it)
                  {
                      bool old = now - it.at > options_.retention;
                      if (old)
                      {
                          sound_by_part_.erase(it.part);
                      }
                      return old;
                  });
}

std::optional<std::vector<prompt_part>>
prompt_quarantine::begin_trial(const std::vector<prompt_part>& parts)
{
    std::vector<prompt_part> reserved;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(reserved),
                 [&](prompt_part part) { return judge(part) == part_state::suspected; });
    if (std::any_of(reserved.begin(), reserved.end(),
                    [&](prompt_part part) { return on_trial_.contains(part); }))
    {
        return std::nullopt;
    }
    on_trial_.insert(reserved.begin(), reserved.end());
    return reserved;
}

void prompt_quarantine::end_trial(const std::vector<prompt_part>& reserved)
{
    for (auto part : reserved)
    {
        on_trial_.erase(part);
    }
}

std::vector<prompt_quarantine::ban> prompt_quarantine::bans() const
{
    std::vector<ban> found;
    for (const auto& [part, it] : suspects_)
    {
        if (it.banned_at)
        {
            found.push_back({.part = part, .at = *it.banned_at});
        }
    }
    std::sort(found.begin(), found.end(), [](const ban& a, const ban& b) { return a.at > b.at; });
    return found;
}

std::vector<server_crash> prompt_quarantine::crashes(prompt_part part) const
{
    auto it = suspects_.find(part);
    return it == suspects_.end() ? std::vector<server_crash>() : it->second.crashes;
}

} // namespace banyanshunt
