#pragma once

/// \file
/// Parts of prompts that crash the servers which answer on them, as far as this host knows.
///
/// Made for a load pattern in which requests that share one part of their prompts come at any host
/// while each ends the server that begins to answer it, so that blaming servers, or trying the same
/// request elsewhere, hands the crash round. A part is banned by crashes alone that it was in each
/// time, and never against a sound response: shared parts that sound requests use too, and crashes
/// of many servers for a reason of their own, must not ban what callers need. Parts that were in
/// the same crashes are banned together: a request with only some of them may be sound, and shows
/// which of them is not.
///
/// Pure: the time is an argument.

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct prompt_quarantine_options
{
    /// Crashes that ban a part of which no sound response is known.
    std::size_t crashes_to_ban = 3;
    /// Crashes closer together than this count as one: what ends several servers at once is seldom
    /// a request.
    milliseconds min_crash_gap{200};
    /// Crashes that are kept of one part, to tell it apart from parts that were in some of them.
    std::size_t max_crashes = 8;
    /// How long a crash, a ban and a sound response count.
    seconds retention{600};
    /// Bounds on the parts kept. Of suspects the one with the fewest and oldest crashes yields, of
    /// parts with a sound response the one that was used longest ago.
    std::size_t max_suspects = 512;
    std::size_t max_sound = 8192;
};

/// What is known of a part, from harmless to harmful.
enum class part_state
{
    /// No crash is known, or a sound response is.
    free,
    /// It was in a request under which a server ended. One request with it at a time is sent.
    suspected,
    /// Requests with it are refused.
    banned,
};

constexpr const char* to_text(part_state it)
{
    switch (it)
    {
    case part_state::free:
        return "free";
    case part_state::suspected:
        return "suspected";
    default:
        return "banned";
    }
}

/// The end of a server's incarnation under a request that it had not begun to answer.
struct server_crash
{
    server_id server;
    std::int64_t start_time_ms = 0;
    instant at;
};

class prompt_quarantine
{
public:
    explicit prompt_quarantine(const prompt_quarantine_options& options = {}) : options_(options) {}
    prompt_quarantine(const prompt_quarantine&) = delete;
    prompt_quarantine& operator=(const prompt_quarantine&) = delete;

    /// Whether a request whose prompt has these parts is sent.
    part_state judge(const std::vector<prompt_part>& parts) const;
    /// Whether requests with the part are refused, all or some of them.
    bool is_banned(prompt_part part) const;
    /// Those of the parts of which no sound response is known.
    std::vector<prompt_part> unproven(const std::vector<prompt_part>& parts) const;
    bool is_sound(prompt_part part) const
    {
        return allowed_.contains(part) || sound_by_part_.contains(part);
    }

    /// What a crash changed.
    struct crash_effect
    {
        /// Parts that the crash counts against.
        std::vector<prompt_part> counted;
        /// Parts that are banned by that.
        std::vector<prompt_part> banned;
    };
    /// Records that a server ended under requests with these parts.
    crash_effect record_crash(const std::vector<prompt_part>& parts, const server_crash& crash);
    /// Records that a response to a request with these parts began at `at` and its server went on;
    /// returns those of them that were suspected or banned.
    std::vector<prompt_part> record_sound(const std::vector<prompt_part>& parts, instant at);
    /// Records that operators know parts to be sound, whatever happens to servers.
    void record_allowed(const std::vector<prompt_part>& parts);
    struct ban
    {
        prompt_part part;
        instant at;
        /// The parts that were in all of its crashes, this one included: a request is refused if it
        /// has all of them.
        std::vector<prompt_part> with;
    };
    /// Records a ban that another host decided on; returns whether it is new. Not taken against a
    /// sound response, or if it is old.
    bool record_ban(const ban& decided, instant now);
    /// Forgets what is older than `retention`.
    void expire(instant now);

    /// Reserves the suspected parts among these for one request and returns them; nothing if one of
    /// them is reserved already, so that the request may not be sent yet.
    std::optional<std::vector<prompt_part>> begin_trial(const std::vector<prompt_part>& parts);
    void end_trial(const std::vector<prompt_part>& reserved);

    /// The bans, the newest first.
    std::vector<ban> bans() const;
    /// Parts with crashes, banned or not.
    std::size_t suspects() const { return suspects_.size(); }
    milliseconds retention() const { return options_.retention; }
    std::size_t sound_parts() const { return sound_.size(); }
    /// The crashes that count against a part.
    std::vector<server_crash> crashes(prompt_part part) const;

private:
    using part_set = std::set<prompt_part>;
    struct counted_crash
    {
        server_crash crash;
        /// For each server that ended in it, the parts of all requests that it had not begun to
        /// answer. Suspects share them: hosts had different requests at a server, so that the part
        /// that ended it may be told by another host than a part that was beside it.
        std::vector<std::shared_ptr<part_set>> parts;

        bool has(prompt_part part) const;
    };
    struct suspect
    {
        std::vector<counted_crash> crashes;
        /// When it was banned, if it is.
        std::optional<instant> banned_at;
    };
    struct sound_part
    {
        prompt_part part;
        instant at;
    };

    /// Whether the crash counts as one more, or as part of one that is known.
    bool add_crash(suspect& to, const std::shared_ptr<part_set>& parts,
                   const server_crash& crash) const;
    /// The parts that hosts told of the end of a server, with these added.
    std::shared_ptr<part_set> join_reports(const std::vector<prompt_part>& parts,
                                           const server_crash& crash);
    /// The parts that were in all crashes of a suspect, without sound ones.
    std::vector<prompt_part> common_parts(const suspect& it) const;
    void make_room(prompt_part newest);
    static instant last_mentioned(const suspect& it);

    prompt_quarantine_options options_;
    std::map<prompt_part, suspect> suspects_;
    /// By server and start time, as long as a suspect refers to them.
    std::map<std::pair<server_id, std::int64_t>, std::shared_ptr<part_set>> parts_by_end_;
    std::set<prompt_part> on_trial_;
    std::set<prompt_part> allowed_;
    /// The part that was used last comes first.
    std::list<sound_part> sound_;
    std::map<prompt_part, std::list<sound_part>::iterator> sound_by_part_;
};

} // namespace banyanshunt
