/// \file
/// The runs of review/6 and review/7: callers that state a token count which is no count.
///
///     token_count crash|allotment RECORD TEMPORARY_FOLDER

#include "small_deployment.hpp"

namespace
{

using namespace review;

/// Fault: two machines or more, and a tenth of those in use, end by themselves three times.
int run_crash(record_file& record, const std::string& folder)
{
    constexpr int ends_allowed = 2;
    tenant it{.name = "showrooms", .key = "key-showrooms", .rate_per_s = 20000, .burst = 40000};
    // Never destroyed, as threads of its servers still wait for callers at the end.
    auto& all = *new setting(folder, {it});
    if (all.failed)
    {
        all.fleet.end();
        return could_not_run;
    }
    answer_counts ordinary;
    ordinary_callers callers(all.fleet, it.key, 8, 150, "315,45", ordinary);
    auto& hosts = all.fleet.hosts;
    auto until = [&](double end_s, const std::function<bool()>& done)
    {
        while (now_s() < end_s && !done())
        {
            sleep_ms(20);
        }
    };
    for (int round = 1; round <= 3; ++round)
    {
        for (std::size_t n = 0; n < 2; ++n)
        {
            auto& host = hosts[2 * n];
            if (with_trouble())
            {
                auto id = "odd-" + std::to_string(round) + "-" + std::to_string(n);
                record.line("%s sent to %s: X-Token-Count 9223372036854775807,0", id.c_str(),
                            host.name.c_str());
                int status = send_call(host.ip, {.path = "/draft/1",
                                                 .method = "POST",
                                                 .key = it.key,
                                                 .id = id,
                                                 .model = unknown_model,
                                                 .token_count = "9223372036854775807,0",
                                                 .deadline_ms = 2000});
                record.line("%s answered %d", id.c_str(), status);
            }
            bool ended = false;
            until(now_s() + 1.0, [&] { return ended = all.fleet.reap(host); });
            if (ended)
            {
                record.say("process of " + host.name + " ended by itself, " + host.last_end);
                // The platform restarts a process that ended after a short delay.
                sleep_ms(1000);
                all.fleet.start(host);
                record.line("process of %s started again", host.name.c_str());
            }
            all.fleet.await_ready(host, 5000);
            sleep_ms(1500);
        }
    }
    callers.stop();
    all.fleet.end();
    int machines = 0;
    for (const auto& host : hosts)
    {
        record.say(host.name + ": " + std::to_string(host.own_ends) + " ends by itself");
        machines += host.own_ends > ends_allowed ? 1 : 0;
    }
    record.say("ordinary requests: " + std::to_string(ordinary.sent) + " sent, " +
               std::to_string(ordinary.served) + " served, " + std::to_string(ordinary.refused) +
               " refused or failed, " + std::to_string(ordinary.lost) +
               " without an answer or a channel");
    bool broken = machines >= 2 && machines * 10 >= static_cast<int>(hosts.size());
    record.say(broken ? "rule broken" : "rule held");
    return broken ? rule_broken : rule_held;
}

/// QUOTA: in some window, more tokens of a tenant are both sent and arrive at servers that run
/// them than (rate x window + burst) x (1 + quota_over) + quota_slack.
int run_allotment(record_file& record, const std::string& folder)
{
    constexpr double window_s = 8;
    constexpr double over = 0.1;
    constexpr double slack = 7400;
    constexpr int tokens_in = 315;
    constexpr int tokens_out = 45;
    tenant it{.name = "showrooms", .key = "key-showrooms", .rate_per_s = 2500, .burst = 5000};
    // Never destroyed, as threads of its servers still wait for callers at the end.
    auto& all = *new setting(folder, {it});
    if (all.failed)
    {
        all.fleet.end();
        return could_not_run;
    }
    answer_counts ordinary;
    // Some 3.4 times the tenant's rate.
    ordinary_callers callers(all.fleet, it.key, 4, 60,
                             std::to_string(tokens_in) + "," + std::to_string(tokens_out),
                             ordinary);
    sleep_ms(6000);
    if (with_trouble())
    {
        int n = 0;
        for (const auto& host : all.fleet.hosts)
        {
            auto id = "odd-" + std::to_string(n++);
            record.line("%s sent to %s: X-Token-Count -1000000,0", id.c_str(), host.name.c_str());
            int status = send_call(host.ip, {.path = "/draft/1",
                                             .method = "POST",
                                             .key = it.key,
                                             .id = id,
                                             .model = unknown_model,
                                             .token_count = "-1000000,0",
                                             .deadline_ms = 1000});
            record.line("%s answered %d", id.c_str(), status);
        }
    }
    sleep_ms(14000);
    callers.stop();
    all.fleet.end();
    // Requests last well under a second, so one that arrived in a window was sent in it or less
    // than that before; the windows are shortened by it.
    constexpr double sent_before_s = 0.5;
    std::vector<double> arrivals;
    for (const auto& server : all.servers)
    {
        for (const auto& one : server->runs())
        {
            if (one.tenant == it.name)
            {
                arrivals.push_back(one.at);
                record.line("%s ran %s at %.3f, tokens %s", server->id().c_str(), one.id.c_str(),
                            one.at, one.token_count.c_str());
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    double most = 0;
    double most_at = 0;
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last)
    {
        while (arrivals[last] - arrivals[first] > window_s - sent_before_s)
        {
            ++first;
        }
        double sum = static_cast<double>(last - first + 1) * (tokens_in + tokens_out);
        if (sum > most)
        {
            most = sum;
            most_at = arrivals[first];
        }
    }
    double bound = (it.rate_per_s * window_s + it.burst) * (1 + over) + slack;
    char text[200];
    std::snprintf(text, sizeof text,
                  "most tokens that ran in a window: %.0f, from %.3f s on; allowed: %.0f", most,
                  most_at, bound);
    record.say(text);
    record.say("requests of the tenant: " + std::to_string(ordinary.sent) + " sent, " +
               std::to_string(ordinary.served) + " served, " + std::to_string(ordinary.refused) +
               " refused, " + std::to_string(ordinary.lost) + " without an answer");
    if (ordinary.served == 0)
    {
        return could_not_run;
    }
    record.say(most > bound ? "rule broken" : "rule held");
    return most > bound ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        return could_not_run;
    }
    std::string which = argv[1];
    record_file record(argv[2]);
    int result = could_not_run;
    if (which == "crash")
    {
        result = run_crash(record, argv[3]);
    }
    else if (which == "allotment")
    {
        result = run_allotment(record, argv[3]);
    }
    std::fflush(nullptr);
    std::_Exit(result);
}
