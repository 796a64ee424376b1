#pragma once

/// \file
/// Simulates many `share_controller`s under a test clock. Links and log delay, lose and duplicate
/// messages, and hosts crash, pause and restart. Tests can check sums over all hosts.

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
    /// The maximum random addition to each delay.
    milliseconds jitter{0};
    /// The number of lost messages per thousand.
    int lost_permille = 0;
    int duplicated_permille = 0;
    /// The maximum deviation of a host clock's rate, in units of 1/10,000.
    int clock_drift = 0;
    /// Injects a fault: the clock of a paused host stops.
    bool clock_stops_in_pause = false;
    /// The time by which one step advances the clock.
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

    /// Advances the simulation by one tick.
    void step();
    void run(milliseconds length);

    bool acquire(std::size_t n, const resource_id& resource, millitokens amount);
    std::optional<share_number> wait(std::size_t n, const resource_id& resource, millitokens amount,
                                     milliseconds timeout);
    void release(std::size_t n, const resource_id& resource, millitokens amount);

    void kill(std::size_t n);
    /// Starts a new incarnation with the same name.
    void start(std::size_t n);
    void pause(std::size_t n, milliseconds length);
    void leave(std::size_t n) { nodes_[n].host->leave(local_time(n)); }
    void set_link_cut(std::size_t a, std::size_t b, bool is_cut);
    void set_log_cut(std::size_t n, bool is_cut) { nodes_[n].log_cut = is_cut; }
    /// Hosts apply the new limits at random times within two seconds.
    void set_limits(const std::map<resource_id, share_size>& limits);

    void on_outcome(outcome_sink sink) { outcome_sink_ = std::move(sink); }
    /// Every grant and refund, in order of time.
    const std::vector<granted_amount>& grants() const { return grants_; }
    /// Whether the bound held for each resource, also across changes of limits.
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
        std::int64_t incarnation = 0;
        double clock_rate = 1;
        nanoseconds clock_lag{0};
        instant paused_until;
        bool log_cut = false;
        instant next_read;
        instant next_proposal;
        std::map<resource_id, share_size> limits;
        std::map<share_number, std::pair<resource_id, millitokens>> waits;
    };
    struct event
    {
        /// The receiving host; nothing if the event takes effect even if its sender has stopped.
        std::optional<std::size_t> to;
        std::int64_t incarnation = 0;
        std::function<void()> action;
    };

    milliseconds delay(std::size_t a, std::size_t b);
    bool chance(int per_thousand);
    void post(milliseconds after, std::size_t to, std::function<void()> action);
    void deliver();
    share_response deliver_call(std::size_t to, share_call call);
    void run_host(std::size_t n);
    void read_log(std::size_t n);
    void handle_page(std::size_t n, instant read_start, std::size_t from,
                     const std::vector<share_record>& page);
    void append(std::size_t n);
    void send(std::size_t n, const outgoing_share_call& outgoing);
    void record_grant(std::size_t n, const resource_id& resource, millitokens amount);
    void update_checkers();
    share_size max_applied_limit(const resource_id& resource) const;

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
    outcome_sink outcome_sink_;
    std::int64_t messages_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace banyanshunt
