#include "stand_ins/share_trial.hpp"

#include <algorithm>

#include "stand_ins/share_fleet.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::int64_t rate_tokens = 1000;
constexpr std::int64_t burst_tokens = 4000;
/// The duration of a response, at whose end the unused half of its reservation is released.
constexpr milliseconds response_time(400);
constexpr milliseconds wait_timeout(1000);
constexpr milliseconds warmup(20'000);
constexpr milliseconds cross_domain_link_delay(1);
/// The mean number of tokens that requests use; they reserve twice as many as they use.
constexpr std::int64_t mean_cost = 50;
constexpr double milliseconds_in_second = 1000;

struct arrival
{
    int workspace = 0;
    std::size_t host = 0;
    millitokens reserved;
    instant at;
    share_number wait;
};

// The state of one running trial.
class trial
{
public:
    explicit trial(const trial_options& options)
        : options_(options), random_(options.seed), fleet_(fleet_options(options))
    {
        result_.requests_of.resize(options.workspaces);
        result_.within_rate_of.resize(options.workspaces);
        result_.granted_of.resize(options.workspaces);
        for (int n = 0; n < options.workspaces; ++n)
        {
            references_.emplace_back(limit().rate, limit().depth, fleet_.now());
            central_buckets_.emplace_back(limit().rate, limit().depth, fleet_.now());
        }
        fleet_.on_outcome([this](std::size_t host, const share_outcome& it)
                          { finish_wait(host, it); });
    }

    trial_result run()
    {
        fleet_.run(warmup);
        auto messages = fleet_.messages();
        auto bytes = fleet_.bytes();
        instant start_time = fleet_.now();
        instant cut_at = start_time + options_.length / 3;
        bool is_cut = false;
        while (fleet_.now() < start_time + options_.length)
        {
            if (options_.cut_domain && !is_cut && fleet_.now() >= cut_at)
            {
                is_cut = true;
                cut_last_domain();
            }
            release_unused();
            arrive();
            serve_central_queues();
            fleet_.step();
        }
        auto host_seconds = static_cast<double>(options_.length.count() * fleet_.hosts());
        result_.messages_per_host_second =
            static_cast<double>(fleet_.messages() - messages) / host_seconds;
        result_.bytes_per_host_second = static_cast<double>(fleet_.bytes() - bytes) / host_seconds;
        result_.over_grants = fleet_.bound_held() ? 0 : 1;
        return result_;
    }

private:
    static share_size limit()
    {
        return {.rate = millitokens_per_second(tokens(rate_tokens).count()),
                .depth = tokens(burst_tokens)};
    }

    static resource_id name(int workspace) { return resource_id("w" + std::to_string(workspace)); }

    static share_fleet_options fleet_options(const trial_options& options)
    {
        share_fleet_options it;
        it.hosts_in_domain = options.hosts_in_domain;
        it.seed = options.seed;
        it.cross_domain_delay = cross_domain_link_delay;
        it.lost_permille = options.lost_permille;
        for (int n = 0; n < options.workspaces; ++n)
        {
            it.limits[name(n)] = limit();
        }
        if (options.policy == share_policy::fixed)
        {
            it.host.may_borrow = false;
        }
        return it;
    }

    bool is_cut_off(std::size_t a, std::size_t b) const
    {
        return is_domain_cut_ &&
               (fleet_.domain_of(a) == last_domain()) != (fleet_.domain_of(b) == last_domain());
    }

    std::size_t last_domain() const { return options_.hosts_in_domain.size() - 1; }

    void cut_last_domain()
    {
        is_domain_cut_ = true;
        for (std::size_t a = 0; a < fleet_.hosts(); ++a)
        {
            fleet_.set_log_cut(a, fleet_.domain_of(a) == last_domain());
            for (std::size_t b = 0; b < a; ++b)
            {
                if (is_cut_off(a, b))
                {
                    fleet_.set_link_cut(a, b, true);
                }
            }
        }
    }

    // Poisson arrivals, at most one of each workspace in this millisecond.
    void arrive()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        for (int n = 0; n < options_.workspaces; ++n)
        {
            double per_second = options_.load * rate_tokens / mean_cost;
            per_second *= n == 0 ? options_.greedy_factor : 1;
            if (uniform(random_) >= per_second / milliseconds_in_second)
            {
                continue;
            }
            bool skewed = static_cast<int>(random_() % 100) < options_.skew_percent;
            std::size_t hot_host = static_cast<std::size_t>(n) % fleet_.hosts();
            std::size_t host = skewed ? hot_host : random_() % fleet_.hosts();
            auto used = 1 + static_cast<std::int64_t>(random_() % (2 * mean_cost));
            start_request({.workspace = n,
                           .host = host,
                           .reserved = tokens(2 * used),
                           .at = fleet_.now(),
                           .wait = {}});
        }
    }

    void start_request(arrival it)
    {
        ++result_.requests;
        ++result_.requests_of[it.workspace];
        if (options_.policy == share_policy::centralized)
        {
            std::size_t central_host = static_cast<std::size_t>(it.workspace + 3) % fleet_.hosts();
            if (is_cut_off(it.host, central_host))
            {
                record_refusal(it);
                return;
            }
            central_queues_[it.workspace].push_back(it);
            return;
        }
        if (fleet_.acquire(it.host, name(it.workspace), it.reserved))
        {
            record_grant(it);
            return;
        }
        auto id = fleet_.wait(it.host, name(it.workspace), it.reserved, wait_timeout);
        if (!id)
        {
            record_refusal(it);
            return;
        }
        it.wait = *id;
        waiting_.push_back(it);
    }

    // The central host serves requests in order, and refuses those that it cannot serve within the
    // timeout.
    void serve_central_queues()
    {
        for (auto& [workspace, queue] : central_queues_)
        {
            while (!queue.empty() &&
                   central_buckets_[workspace].acquire(queue.front().reserved, fleet_.now()))
            {
                record_grant(queue.front());
                queue.pop_front();
            }
            while (!queue.empty() && fleet_.now() >= queue.front().at + wait_timeout)
            {
                record_refusal(queue.front());
                queue.pop_front();
            }
        }
    }

    void finish_wait(std::size_t host, const share_outcome& outcome)
    {
        auto same = [&](const auto& it) { return it.host == host && it.wait == outcome.id; };
        auto found = std::find_if(waiting_.begin(), waiting_.end(), same);
        arrival it = *found;
        waiting_.erase(found);
        if (!outcome.granted)
        {
            record_refusal(it);
            return;
        }
        record_grant(it);
    }

    void record_grant(const arrival& it)
    {
        auto waited = std::chrono::duration<double, std::milli>(fleet_.now() - it.at);
        result_.longest_wait_ms = std::max(result_.longest_wait_ms, waited.count());
        ++result_.granted_of[it.workspace];
        references_[it.workspace].acquire(it.reserved, fleet_.now());
        running_.emplace(fleet_.now() + response_time, it);
    }

    void record_refusal(const arrival& it)
    {
        ++result_.refused;
        bool within_rate = references_[it.workspace].level(fleet_.now()) >= it.reserved;
        result_.refused_within_rate += within_rate ? 1 : 0;
        result_.within_rate_of[it.workspace] += within_rate ? 1 : 0;
    }

    void release_unused()
    {
        while (!running_.empty() && running_.begin()->first <= fleet_.now())
        {
            arrival it = running_.begin()->second;
            running_.erase(running_.begin());
            millitokens unused(it.reserved.count() / 2);
            references_[it.workspace].release(unused, fleet_.now());
            if (options_.policy == share_policy::centralized)
            {
                central_buckets_[it.workspace].release(unused, fleet_.now());
            }
            else
            {
                fleet_.release(it.host, name(it.workspace), unused);
            }
        }
    }

    trial_options options_;
    std::mt19937_64 random_;
    share_fleet fleet_;
    std::vector<token_bucket> references_;
    std::vector<token_bucket> central_buckets_;
    std::vector<arrival> waiting_;
    std::map<int, std::deque<arrival>> central_queues_;
    std::multimap<instant, arrival> running_;
    trial_result result_;
    bool is_domain_cut_ = false;
};

} // namespace

const char* to_string(share_policy policy)
{
    switch (policy)
    {
    case share_policy::owned:
        return "owned";
    case share_policy::fixed:
        return "fixed";
    case share_policy::centralized:
        return "home";
    }
    return "unknown";
}

double trial_result::refused_within_rate_ratio() const
{
    return requests == 0 ? 0
                         : static_cast<double>(refused_within_rate) / static_cast<double>(requests);
}

double trial_result::worst_within_rate_ratio() const
{
    double worst = 0;
    for (std::size_t n = 0; n < requests_of.size(); ++n)
    {
        auto total = std::max<std::int64_t>(requests_of[n], 1);
        worst =
            std::max(worst, static_cast<double>(within_rate_of[n]) / static_cast<double>(total));
    }
    return worst;
}

double trial_result::worst_served_ratio() const
{
    double worst = 1;
    for (std::size_t n = 0; n < requests_of.size(); ++n)
    {
        auto total = std::max<std::int64_t>(requests_of[n], 1);
        worst = std::min(worst, static_cast<double>(granted_of[n]) / static_cast<double>(total));
    }
    return worst;
}

trial_result run_trial(const trial_options& options)
{
    return trial(options).run();
}

} // namespace banyanshunt
