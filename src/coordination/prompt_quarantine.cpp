#include "coordination/prompt_quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace banyanshunt
{

bool prompt_quarantine::is_banned(prompt_part part) const
{
    auto it = suspects_.find(part);
    return it != suspects_.end() && it->second.banned_at;
}

part_state prompt_quarantine::judge(const std::vector<prompt_part>& parts) const
{
    auto state = part_state::free;
    for (auto part : parts)
    {
        auto it = suspects_.find(part);
        if (it == suspects_.end())
        {
            continue;
        }
        state = part_state::suspected;
        auto common = it->second.banned_at ? common_parts(it->second) : std::vector<prompt_part>();
        auto in_request = [&](prompt_part other)
        { return std::find(parts.begin(), parts.end(), other) != parts.end(); };
        if (it->second.banned_at && std::all_of(common.begin(), common.end(), in_request))
        {
            return part_state::banned;
        }
    }
    return state;
}

std::vector<prompt_part> prompt_quarantine::common_parts(const suspect& it) const
{
    std::vector<prompt_part> common;
    part_set first;
    for (const auto& parts : it.crashes.front().parts)
    {
        first.insert(parts->begin(), parts->end());
    }
    std::copy_if(first.begin(), first.end(), std::back_inserter(common),
                 [&](prompt_part part)
                 {
                     return !is_sound(part) && std::all_of(it.crashes.begin(), it.crashes.end(),
                                                           [&](const counted_crash& crash)
                                                           { return crash.has(part); });
                 });
    return common;
}

std::vector<prompt_part> prompt_quarantine::unproven(const std::vector<prompt_part>& parts) const
{
    std::vector<prompt_part> found;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(found),
                 [&](prompt_part part) { return !is_sound(part); });
    return found;
}

bool prompt_quarantine::counted_crash::has(prompt_part part) const
{
    return std::any_of(parts.begin(), parts.end(),
                       [&](const auto& of_server) { return of_server->contains(part); });
}

std::shared_ptr<prompt_quarantine::part_set>
prompt_quarantine::join_reports(const std::vector<prompt_part>& parts, const server_crash& crash)
{
    std::erase_if(parts_by_end_, [](const auto& it) { return it.second.use_count() == 1; });
    auto& joined = parts_by_end_[{crash.server, crash.start_time_ms}];
    if (!joined)
    {
        joined = std::make_shared<part_set>();
    }
    joined->insert(parts.begin(), parts.end());
    return joined;
}

bool prompt_quarantine::add_crash(suspect& to, const std::shared_ptr<part_set>& parts,
                                  const server_crash& crash) const
{
    auto known = std::find_if(to.crashes.begin(), to.crashes.end(),
                              [&](const counted_crash& it)
                              {
                                  bool same = it.crash.server == crash.server &&
                                              it.crash.start_time_ms == crash.start_time_ms;
                                  auto gap =
                                      std::max(it.crash.at - crash.at, crash.at - it.crash.at);
                                  return same || gap < options_.min_crash_gap;
                              });
    if (known != to.crashes.end())
    {
        auto& all = known->parts;
        if (std::find(all.begin(), all.end(), parts) == all.end())
        {
            all.push_back(parts);
        }
        return false;
    }
    if (to.crashes.size() >= options_.max_crashes)
    {
        return false;
    }
    to.crashes.push_back({.crash = crash, .parts = {parts}});
    return true;
}

prompt_quarantine::crash_effect
prompt_quarantine::record_crash(const std::vector<prompt_part>& parts, const server_crash& crash)
{
    crash_effect effect;
    auto counted = unproven(parts);
    auto joined = join_reports(counted, crash);
    for (auto part : counted)
    {
        suspect& it = suspects_[part];
        if (add_crash(it, joined, crash))
        {
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

void prompt_quarantine::record_allowed(const std::vector<prompt_part>& parts)
{
    for (auto part : parts)
    {
        allowed_.insert(part);
        suspects_.erase(part);
    }
}

bool prompt_quarantine::record_ban(const ban& decided, instant now)
{
    if (is_sound(decided.part) || now - decided.at > options_.retention)
    {
        return false;
    }
    suspect& it = suspects_[decided.part];
    bool is_new = !it.banned_at;
    if (is_new)
    {
        auto with = std::make_shared<part_set>(decided.with.begin(), decided.with.end());
        with->insert(decided.part);
        // Stands for the crashes that the other host knows.
        add_crash(it, with, {.server = {}, .start_time_ms = 0, .at = decided.at});
        it.banned_at = decided.at;
    }
    make_room(decided.part);
    return is_new;
}

instant prompt_quarantine::last_mentioned(const suspect& it)
{
    instant last = it.banned_at.value_or(instant::min());
    for (const auto& crash : it.crashes)
    {
        last = std::max(last, crash.crash.at);
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
    std::erase_if(parts_by_end_, [](const auto& it) { return it.second.use_count() == 1; });
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
                 [&](prompt_part part) { return suspects_.contains(part); });
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
            found.push_back({.part = part, .at = *it.banned_at, .with = common_parts(it)});
        }
    }
    std::sort(found.begin(), found.end(), [](const ban& a, const ban& b) { return a.at > b.at; });
    return found;
}

std::vector<server_crash> prompt_quarantine::crashes(prompt_part part) const
{
    std::vector<server_crash> found;
    auto it = suspects_.find(part);
    if (it != suspects_.end())
    {
        std::transform(it->second.crashes.begin(), it->second.crashes.end(),
                       std::back_inserter(found),
                       [](const counted_crash& counted) { return counted.crash; });
    }
    return found;
}

} // namespace banyanshunt
