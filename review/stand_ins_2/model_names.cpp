/// \file
/// The run of review/8: callers that ask for a model that does not exist, with another name in
/// each request.
///
///     model_names RECORD TEMPORARY_FOLDER

#include "small_deployment.hpp"

namespace
{

using namespace review;

constexpr int memory_mb = 260;
constexpr int connections_per_host = 1;
/// Within `max_header_bytes`, 16,384.
constexpr std::size_t name_bytes = 15000;

/// Resident memory of a process in MB; 0 if it has ended.
int resident_mb(pid_t pid)
{
    std::ifstream from("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (from >> word)
    {
        if (word == "VmRSS:")
        {
            int kb = 0;
            from >> kb;
            return kb / 1024;
        }
    }
    return 0;
}

/// Sends one request after the other on one connection, each for another model.
void ask_for_unknown_models(const std::string& ip, const std::string& key, int caller,
                            const std::atomic<bool>& stopping, std::atomic<int>& sent)
{
    std::unique_ptr<connection> to;
    for (long n = 0; !stopping; ++n)
    {
        if (!to)
        {
            to = connection::open(ip, deployment::front_port);
        }
        std::string name = "m" + std::to_string(caller) + "-" + std::to_string(n) + "-";
        name.resize(name_bytes, 'x');
        call it{.path = "/draft/1",
                .method = "POST",
                .key = key,
                .id = "odd-" + std::to_string(caller) + "-" + std::to_string(n),
                .model = name,
                .token_count = "1,1",
                .deadline_ms = 1};
        std::optional<message> response;
        if (to && to->write(request_text(it)))
        {
            ++sent;
            response = to->read(steady::now() + milliseconds(3000));
        }
        if (!response)
        {
            to.reset();
            sleep_ms(100);
        }
    }
}

int run_unknown_models(record_file& record, const std::string& folder)
{
    constexpr int ends_allowed = 2;
    tenant it{.name = "showrooms", .key = "key-showrooms", .rate_per_s = 71473, .burst = 71473};
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
    std::atomic<bool> stopping = false;
    std::vector<std::atomic<int>> sent(2);
    std::vector<std::thread> odd;
    for (std::size_t n = 0; n < 2 && with_trouble(); ++n)
    {
        for (int k = 0; k < connections_per_host; ++k)
        {
            odd.emplace_back(
                [&, n, k, ip = hosts[2 * n].ip]
                { ask_for_unknown_models(ip, it.key, static_cast<int>(n) * 100 + k, stopping,
                                         sent[n]); });
        }
    }
    std::vector<int> most(hosts.size());
    std::vector<int> over(hosts.size());
    double end_s = now_s() + 100;
    double told_s = 0;
    auto done = [&] { return over[0] > ends_allowed && over[2] > ends_allowed; };
    std::vector<double> start_at(hosts.size());
    while (now_s() < end_s && !done())
    {
        if (!with_trouble() && now_s() > 40)
        {
            break;
        }
        sleep_ms(50);
        for (std::size_t n = 0; n < hosts.size(); ++n)
        {
            auto& host = hosts[n];
            if (host.pid == 0)
            {
                if (now_s() >= start_at[n])
                {
                    all.fleet.start(host);
                    record.line("process of %s started again", host.name.c_str());
                }
                continue;
            }
            int mb = resident_mb(host.pid);
            most[n] = std::max(most[n], mb);
            if (mb > memory_mb)
            {
                record.say(host.name + " holds " + std::to_string(mb) + " MB of " +
                           std::to_string(memory_mb) + "; the platform kills it");
                all.fleet.kill(host, SIGKILL);
                while (!all.fleet.reap(host))
                {
                    sleep_ms(5);
                }
                ++over[n];
                start_at[n] = now_s() + 0.5;
            }
            else if (all.fleet.reap(host))
            {
                record.say(host.name + " ended by itself, " + host.last_end);
                ++over[n];
                start_at[n] = now_s() + 0.5;
            }
        }
        if (now_s() - told_s > 1)
        {
            told_s = now_s();
            record.line("memory in MB: %d %d %d %d; odd requests sent: %d %d", resident_mb(hosts[0].pid),
                        resident_mb(hosts[1].pid), resident_mb(hosts[2].pid),
                        resident_mb(hosts[3].pid), sent[0].load(), sent[1].load());
        }
    }
    stopping = true;
    for (auto& one : odd)
    {
        one.join();
    }
    callers.stop();
    all.fleet.end();
    int machines = 0;
    for (std::size_t n = 0; n < hosts.size(); ++n)
    {
        record.say(hosts[n].name + ": over the limit or ended by itself " +
                   std::to_string(over[n]) + " times, most memory " + std::to_string(most[n]) +
                   " MB");
        machines += over[n] > ends_allowed ? 1 : 0;
    }
    record.say("odd requests: " + std::to_string(sent[0]) + " and " + std::to_string(sent[1]));
    record.say("ordinary requests: " + std::to_string(ordinary.sent) + " sent, " +
               std::to_string(ordinary.served) + " served, " + std::to_string(ordinary.refused) +
               " refused or failed, " + std::to_string(ordinary.lost) +
               " without an answer or a channel");
    bool broken = machines >= 2;
    record.say(broken ? "rule broken" : "rule held");
    return broken ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        return could_not_run;
    }
    record_file record(argv[1]);
    int result = run_unknown_models(record, argv[2]);
    std::fflush(nullptr);
    std::_Exit(result);
}
