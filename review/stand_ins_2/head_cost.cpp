/// \file
/// The run of review/9: callers whose requests have a long Connection field and many fields.
///
///     head_cost RECORD TEMPORARY_FOLDER

#include "small_deployment.hpp"

namespace
{

using namespace review;

/// The route's `timeout_ms`, and the time after it that the rule allows.
constexpr double timeout_s = 1.0;
constexpr double after_s = 0.5;
/// As many requests have to be unanswered at the route's timeout for the rule to be judged; the
/// rule itself states no number.
constexpr int min_unanswered = 20;
constexpr int odd_connections = 128;
constexpr double trouble_s = 20;

struct waited_call
{
    std::string id;
    std::string host;
    double sent = 0;
    /// From its sending to its answer, or to the end of the caller's patience without one.
    double took = 0;
    int status = 0;
};

/// Under `max_header_bytes`, 16,384.
std::string odd_request(const std::string& key, const std::string& id)
{
    std::string names;
    for (int n = 0; n < 3900; ++n)
    {
        names += "a,";
    }
    std::string more = "Connection: " + names + "keep-alive\r\n";
    for (int n = 0; n < 1600; ++n)
    {
        more += "b:c\r\n";
    }
    return request_text(
        {.path = "/status/1", .key = key, .id = id, .deadline_ms = 1000, .more_fields = more});
}

int run_head_cost(record_file& record, const std::string& folder)
{
    tenant it{.name = "showrooms", .key = "key-showrooms", .rate_per_s = 71473, .burst = 71473};
    // Never destroyed, as threads of its servers still wait for callers at the end.
    auto& all = *new setting(folder, {it});
    if (all.failed)
    {
        all.fleet.end();
        return could_not_run;
    }
    auto& host = all.fleet.hosts[0];
    std::atomic<bool> stopping = false;
    std::atomic<int> odd_sent = 0;
    std::atomic<int> odd_answered = 0;
    std::vector<std::thread> odd;
    for (int n = 0; n < odd_connections && with_trouble(); ++n)
    {
        odd.emplace_back(
            [&, n]
            {
                // One request at a time.
                for (int k = 0; !stopping; ++k)
                {
                    auto to = connection::open(host.ip, deployment::front_port);
                    if (!to ||
                        !to->write(odd_request(it.key, "odd-" + std::to_string(n) + "-" +
                                                           std::to_string(k))))
                    {
                        sleep_ms(100);
                        continue;
                    }
                    ++odd_sent;
                    odd_answered += to->read(steady::now() + std::chrono::seconds(30)) ? 1 : 0;
                }
            });
    }
    record.line("%d connections send odd requests to %s, one at a time",
                with_trouble() ? odd_connections : 0, host.name.c_str());
    std::mutex mutex;
    std::vector<waited_call> calls;
    std::vector<std::thread> ordinary;
    for (int n = 0; n < 8; ++n)
    {
        ordinary.emplace_back(
            [&, n]
            {
                for (int k = 0; !stopping; ++k)
                {
                    waited_call one{.id = "o-" + std::to_string(n) + "-" + std::to_string(k),
                                    .host = host.name,
                                    .sent = now_s()};
                    // The consumer would wait for 3 s, three times the route's timeout.
                    one.status = send_call(host.ip, {.path = "/status/1",
                                                     .key = it.key,
                                                     .id = one.id,
                                                     .deadline_ms = 3000},
                                           0);
                    one.took = now_s() - one.sent;
                    {
                        std::lock_guard lock(mutex);
                        calls.push_back(one);
                    }
                    sleep_ms(200);
                }
            });
    }
    int not_ready = 0;
    int checks = 0;
    double end_s = now_s() + trouble_s;
    while (now_s() < end_s)
    {
        ++checks;
        not_ready += all.fleet.ready(host) ? 0 : 1;
        sleep_ms(1000);
    }
    stopping = true;
    for (auto& one : ordinary)
    {
        one.join();
    }
    bool ended = all.fleet.reap(host);
    all.fleet.end();
    int unanswered = 0;
    int late = 0;
    int served = 0;
    for (const auto& one : calls)
    {
        record.line("%s sent at %.3f to %s: %s after %.3f s, status %d", one.id.c_str(), one.sent,
                    one.host.c_str(), one.status > 0 ? "answered" : "no answer", one.took,
                    one.status);
        served += one.status == 200 ? 1 : 0;
        unanswered += one.took > timeout_s ? 1 : 0;
        late += one.took > timeout_s + after_s ? 1 : 0;
    }
    for (auto& one : odd)
    {
        one.join();
    }
    record.say("odd requests: " + std::to_string(odd_sent) + " sent, " +
               std::to_string(odd_answered) + " answered");
    record.say("ordinary requests: " + std::to_string(calls.size()) + " sent, " +
               std::to_string(served) + " served; unanswered at the timeout " +
               std::to_string(unanswered) + ", of these half a second later " +
               std::to_string(late));
    record.say("questions whether the host is ready: " + std::to_string(checks) +
               ", without a 200: " + std::to_string(not_ready) +
               (ended ? "; its process ended" : ""));
    if (served == 0 && !with_trouble())
    {
        return could_not_run;
    }
    bool broken = unanswered >= min_unanswered && 2 * late > unanswered;
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
    int result = run_head_cost(record, argv[2]);
    std::fflush(nullptr);
    std::_Exit(result);
}
