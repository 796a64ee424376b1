#pragma once

/// \file
/// Whether a host knows enough of the newest configuration to decide by the one that it has.
///
/// Made for a load pattern in which the read that waits for the next configuration misses it, ends
/// late or gets no response, while requests arrive that the newer one treats otherwise: each
/// decision asks how old its ground is, whether it lets a request run or refuses it.

#include <algorithm>
#include <optional>

#include "coordination/server_list_age.hpp"
#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// What is decided about a request.
enum class config_decision
{
    run,
    refuse,
};

constexpr const char* to_text(config_decision it)
{
    return it == config_decision::run ? "run" : "refuse";
}

/// What to do before a decision.
enum class ground_verdict
{
    /// The configuration is recent enough.
    decide,
    /// It may have to be superseded, and the store can say so.
    confirm_first,
    /// It may have to be superseded, and the store does not answer: a request runs by what is
    /// known, but nothing is refused by it.
    unconfirmed,
};

struct config_ground_options
{
    /// How long after its acknowledgement a configuration has to be in force.
    milliseconds apply{2000};
    /// How long a peer may be ahead before this host counts as behind: records usually arrive by
    /// themselves within this time.
    milliseconds grace{100};
};

/// Keeps what the store's responses and the reports of peers say of one topic.
class config_ground
{
public:
    explicit config_ground(const config_ground_options& options) : options_(options) {}

    /// Age beyond which a decision needs a confirmation; the rest of the bound is left for the
    /// request's way to its server.
    milliseconds max_age() const { return fraction_of_bound(max_age_ratio); }
    /// Age at which the configuration is confirmed beside decisions that it still allows.
    milliseconds refresh_age() const { return fraction_of_bound(refresh_ratio); }
    /// How long a read may wait, so that two of them in a row are over before `refresh_age`.
    /// `call_time` is the most that a call to a sound store takes beyond its wait; usual ones take
    /// a small part of it.
    milliseconds max_wait(milliseconds call_time) const
    {
        return refresh_age() / 2 - call_time / 4;
    }

    /// Takes note of a response to a call sent at `sent_at`, by which the topic ended at `end`.
    /// Returns whether it confirms what was read: not if a peer had read further before the call
    /// was sent, as the response is older than the call then.
    bool record_response(log_offset end, instant sent_at)
    {
        if (heard_end_ > end && sent_at >= heard_end_at_)
        {
            return false;
        }
        age_.record_confirmed(sent_at);
        return true;
    }
    /// A call sent at `sent_at` got no usable response.
    void record_failed(instant sent_at) { age_.record_failed(sent_at); }
    /// A peer has read everything before `end`, and has `version` in force.
    void record_report(log_offset end, config_version version, instant now)
    {
        if (end > heard_end_)
        {
            heard_end_ = end;
            heard_end_at_ = now;
        }
        if (version > heard_version_)
        {
            heard_version_ = version;
            heard_version_at_ = now;
        }
    }
    /// Forgets what peers reported.
    void forget_reports()
    {
        heard_end_ = log_offset(0);
        heard_version_ = config_version(0);
    }

    std::optional<instant> confirmed_at() const { return age_.confirmed_at(); }
    /// Whether a peer has had a newer version than `own` for longer than the grace.
    bool is_behind(config_version own, instant now) const
    {
        return heard_version_ > own && now - heard_version_at_ >= options_.grace;
    }
    /// Whether the configuration should be confirmed beside a decision at `now`.
    bool needs_refresh(instant now) const
    {
        return !confirmed_at() || now - *confirmed_at() >= refresh_age();
    }
    /// Judges a decision by version `own` at `now`.
    ground_verdict judge(config_version own, instant now) const
    {
        auto verdict = age_.judge(max_age(), now);
        if (verdict == list_verdict::current)
        {
            return is_behind(own, now) ? ground_verdict::confirm_first : ground_verdict::decide;
        }
        return verdict == list_verdict::unconfirmed ? ground_verdict::unconfirmed
                                                    : ground_verdict::confirm_first;
    }

private:
    static constexpr double max_age_ratio = 0.88;
    static constexpr double refresh_ratio = 0.8;

    milliseconds fraction_of_bound(double ratio) const
    {
        return std::chrono::duration_cast<milliseconds>(options_.apply * ratio);
    }

    config_ground_options options_;
    server_list_age age_;
    log_offset heard_end_;
    instant heard_end_at_;
    config_version heard_version_;
    instant heard_version_at_;
};

} // namespace banyanshunt
