#pragma once

/// \file
/// Defines many `share_controller`s side by side under a test clock, joined by links and a log that
/// delay, lose and repeat, with everything that happens to hosts: the view from which a sum over
/// all hosts can be checked.

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "coordination/share_controller.hpp"
#include "stand_ins/grant_checker.hpp"

namespace banyanshunt
{

struct share_fleet_options
{
    std::vector<int> hosts_in_domain{2, 2, 2, 2};
    std::map<resource_id, share_size> limits;
    std::uint64_t seed = 1;
    milliseconds same_domain_delay{0};
    milliseconds cross_domain_delay{1};
    /// Up to this is added to each delay.
    milliseconds jitter{0};
    /// Out of a thousand messages.
    int lost_permille = 0;
    int duplicated_permille = 0;
    /// Host clocks run apart by up to this many parts of ten thousand.
    int clock_drift = 0;
    /// Plants a fault: a paused host's clock stands still.
    bool clock_stops_in_pause = false;
    /// How far one step moves the clock.
    milliseconds tick{1};
    share_controller_options host;
};

/// One grant or refund of one host.
struct granted_amount
{
    resource_id resource;
    millitokens amount;
    instant at;
    std::size_t host = 0;
};

class share_fleet
{
public:
    using outcome_sink = std::function<void(std::size_t host, const share_outcome&)>;

    explicit share_fleet(const share_fleet_options& options);

    instant now() const { return now_; }
    std::size_t hosts() const { return nodes_.size(); }
    std::size_t domain_of(std::size_t host) const { return nodes_[host].domain; }
    share_controller& host(std::size_t n) { return *nodes_[n].host; }
    /// The time on a host's own clock.
    instant local_time(std::size_t n) const;
    bool running(std::size_t n) const;

    /// Moves on by one tick.
    void step();
    void run(milliseconds length);

    bool acquire(std::size_t n, const resource_id& resource, millitokens amount);
    std::optional<share_number> wait(std::size_t n, const resource_id& resource, millitokens amount,
                                     milliseconds patience);
    void release(std::size_t n, const resource_id& resource, millitokens amount);

    void kill(std::size_t n);
    /// Starts a new life at the same name.
    void start(std::size_t n);
    void pause(std::size_t n, milliseconds length);
    void leave(std::size_t n) { nodes_[n].host->leave(local_time(n)); }
    void set_link_cut(std::size_t a, std::size_t b, bool is_cut);
    void set_log_cut(std::size_t n, bool is_cut) { nodes_[n].log_cut = is_cut; }
    /// Hosts read the new limits at various times within two seconds.
    void set_limits(const std::map<resource_id, share_size>& limits);

    void on_outcome(outcome_sink sink) { outcome_ = std::move(sink); }
    /// Every grant and refund, in order of time.
    const std::vector<granted_amount>& grants() const { return grants_; }
    /// Whether the bound held for each resource, changes of limits counted.
    bool bound_held() const;
    std::int64_t messages() const { return messages_; }
    /// Encoded bytes of all messages.
    std::size_t bytes() const { return bytes_; }

private:
    struct node
    {
        std::size_t domain = 0;
        host_id name;
        std::unique_ptr<share_controller> host;
        std::int64_t life = 0;
        double clock_rate = 1;
        nanoseconds clock_lost{0};
        instant paused_until;
        bool log_cut = false;
        instant next_read;
        instant next_proposal;
        std::map<resource_id, share_size> limits;
        std::map<share_number, std::pair<resource_id, millitokens>> waits;
    };
    struct event
    {
        /// Nothing when it happens whether its cause lives on or not.
        std::optional<std::size_t> to;
        std::int64_t life = 0;
        std::function<void()> act;
    };

    milliseconds delay(std::size_t a, std::size_t b);
    bool chance(int per_thousand);
    void post(milliseconds after, std::size_t to, std::function<void()> act);
    void deliver();
    share_response deliver_call(std::size_t to, share_call call);
    void act(std::size_t n);
    void read_log(std::size_t n);
    void take_page(std::size_t n, instant began, std::size_t from,
                   const std::vector<share_record>& page);
    void append(std::size_t n);
    void send(std::size_t n, const outgoing_share_call& errand);
    void note(std::size_t n, const resource_id& resource, millitokens amount);
    void judge_limits();
    share_size in_force(const resource_id& resource) const;

    share_fleet_options options_;
    std::mt19937_64 random_;
    instant now_{std::chrono::hours(1)};
    std::vector<node> nodes_;
    std::multimap<instant, event> events_;
    std::vector<std::vector<share_record>> logs_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::map<resource_id, share_size> limits_;
    std::map<resource_id, grant_checker> checkers_;
    std::vector<granted_amount> grants_;
    outcome_sink outcome_;
    std::int64_t messages_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace banyanshunt
