#include "tools/load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <random>

#include <fmt/format.h>

namespace banyanshunt
{
namespace
{

// A burst takes the first tenth of its period.
constexpr double burst_fraction = 0.1;
// Admission charges one token per four bytes of a prompt.
constexpr std::int64_t bytes_per_token = 4;
constexpr std::uint64_t distinct_prompts = 1000;

class stream_planner
{
public:
    stream_planner(const workload& load, std::size_t stream)
        : load_(load), it_(load.streams[stream]), stream_(stream),
          random_(static_cast<std::uint64_t>(load.seed) * 1000003U + stream)
    {
    }

    void plan_into(std::vector<planned_request>& out)
    {
        double end = static_cast<double>(load_.duration.count());
        double at = 0;
        // Thinning: arrivals generated at the highest rate and kept with probability
        // rate_at(t) / highest form an exact Poisson process of that rate.
        double highest = rate_at(0);
        while ((at += exponential(highest)) < end)
        {
            if (uniform() * highest <= rate_at(at))
            {
                out.push_back(request_at(at));
            }
        }
    }

private:
    double uniform() { return std::generate_canonical<double, 53>(random_); }
    double exponential(double rate) { return -std::log(1 - uniform()) / rate; }

    // The rate at time `s` in requests per second. Its mean over a burst period is the stream's
    // mean.
    double rate_at(double s) const
    {
        double mean = static_cast<double>(it_.millirequests_per_second) / 1000;
        double period = static_cast<double>(it_.burst_every.count());
        if (period == 0)
        {
            return mean;
        }
        auto factor = static_cast<double>(it_.burst_factor);
        double base_rate = mean / (burst_fraction * factor + (1 - burst_fraction));
        bool in_burst = std::fmod(s, period) < burst_fraction * period;
        return in_burst ? base_rate * factor : base_rate;
    }

    // Squaring a uniform draw skews popularity: a few names get most requests.
    std::string draw_name()
    {
        if (!it_.path.empty())
        {
            return {};
        }
        double u = uniform();
        auto index = static_cast<std::int64_t>(u * u * static_cast<double>(it_.names));
        return fmt::format("{}{:02}", it_.name_prefix, index + 1);
    }

    planned_request request_at(double s)
    {
        planned_request request;
        request.at = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(s));
        request.stream = stream_;
        request.name = draw_name();
        request.prompt = fmt::format("{} {}", it_.name, random_() % distinct_prompts);
        request.prompt.resize(static_cast<std::size_t>(it_.prompt_tokens * bytes_per_token), '.');
        return request;
    }

    const workload& load_;
    const load_stream& it_;
    std::size_t stream_;
    std::mt19937_64 random_;
};

} // namespace

std::vector<planned_request> plan_load(const workload& load)
{
    std::vector<planned_request> all;
    for (std::size_t i = 0; i < load.streams.size(); ++i)
    {
        stream_planner(load, i).plan_into(all);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        all[i].number = static_cast<std::int64_t>(i);
    }
    return all;
}

} // namespace banyanshunt
