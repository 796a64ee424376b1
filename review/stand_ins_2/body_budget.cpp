/// \file
/// The run of review/10: callers that announce large bodies and send one byte of each.
///
///     body_budget RECORD TEMPORARY_FOLDER

#include "small_deployment.hpp"

namespace
{

using namespace review;

/// `max_body_bytes` of the manifest.
constexpr std::size_t max_body_bytes = 4194304;
constexpr std::size_t min_body_bytes = 256;
constexpr double trouble_s = 40;
/// Odd connections to one host at most, of those with a key and of those without.
constexpr std::size_t max_held = 40;

/// Announces bodies to one host, from the largest that is allowed to small ones, as long as the
/// host takes them, and sends one byte of each. With an empty key it has none.
void announce_bodies(const std::string& ip, const std::string& key, std::atomic<bool>& stopping,
                     std::atomic<int>& opened, std::atomic<int>& refused)
{
    std::vector<std::unique_ptr<connection>> held;
    std::size_t bytes = max_body_bytes;
    auto has_ended = [](const std::unique_ptr<connection>& it, int wait_ms)
    {
        pollfd wait{.fd = it->socket(), .events = POLLIN, .revents = 0};
        return ::poll(&wait, 1, wait_ms) > 0;
    };
    while (!stopping)
    {
        if (std::erase_if(held, [&](const auto& it) { return has_ended(it, 0); }) > 0)
        {
            bytes = max_body_bytes;
        }
        if (held.size() >= max_held || bytes < min_body_bytes)
        {
            sleep_ms(100);
            bytes = max_body_bytes;
            continue;
        }
        auto to = connection::open(ip, deployment::front_port);
        std::string text = "POST /deposit/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: odd-" +
                           std::to_string(opened++) + "\r\nX-Deadline-Ms: 1000\r\n" +
                           (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") +
                           "Content-Length: " + std::to_string(bytes) + "\r\n\r\nx";
        if (!to || !to->write(text))
        {
            sleep_ms(20);
        }
        else if (has_ended(to, 20))
        {
            ++refused;
            bytes /= 2;
            sleep_ms(100);
        }
        else
        {
            held.push_back(std::move(to));
        }
    }
}

struct kind_of_request
{
    std::string name;
    call it;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
};

int run_body_budget(record_file& record, const std::string& folder)
{
    tenant showrooms{.name = "showrooms", .key = "key-showrooms", .rate_per_s = 71473, .burst = 71473};
    tenant visitors{.name = "visitors", .key = "key-visitors", .rate_per_s = 21914, .burst = 21914};
    // Never destroyed, as threads of its servers still wait for callers at the end.
    auto& all = *new setting(folder, {showrooms, visitors});
    if (all.failed)
    {
        all.fleet.end();
        return could_not_run;
    }
    std::vector<kind_of_request> kinds(3);
    kinds[0].name = "status";
    kinds[0].it = {.path = "/status/1", .method = "GET", .key = showrooms.key, .id = {}};
    kinds[1].name = "deposit";
    kinds[1].it = {.path = "/deposit/1",
                   .method = "POST",
                   .key = showrooms.key,
                   .id = {},
                   .body_bytes = 600};
    kinds[2].name = "draft";
    kinds[2].it = {.path = "/draft/1",
                   .method = "POST",
                   .key = showrooms.key,
                   .id = {},
                   .model = model,
                   .token_count = "715,280",
                   .deadline_ms = 12000,
                   .body_bytes = 1400};
    std::atomic<bool> counting = false;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> ordinary;
    for (std::size_t n = 0; n < 4 * kinds.size(); ++n)
    {
        ordinary.emplace_back(
            [&, n]
            {
                auto& kind = kinds[n % kinds.size()];
                for (int k = 0; !stopping; ++k)
                {
                    const auto& host = all.fleet.hosts[n / kinds.size()];
                    call one = kind.it;
                    one.id = kind.name + "-" + std::to_string(n) + "-" + std::to_string(k);
                    bool counts = counting;
                    int status = send_call(host.ip, one);
                    if (counts)
                    {
                        record.line("%s sent to %s answered %d", one.id.c_str(), host.name.c_str(),
                                    status);
                        ++kind.sent;
                        kind.served += status == 200 ? 1 : 0;
                        kind.refused += status == 503 ? 1 : 0;
                    }
                    sleep_ms(200);
                }
            });
    }
    sleep_ms(1000);
    std::vector<std::thread> odd;
    std::atomic<int> opened = 0;
    std::atomic<int> refused = 0;
    for (std::size_t n = 0; n < all.fleet.hosts.size() && with_trouble(); ++n)
    {
        for (const auto& key : {visitors.key, std::string()})
        {
            odd.emplace_back([&, key, ip = all.fleet.hosts[n].ip]
                             { announce_bodies(ip, key, stopping, opened, refused); });
        }
    }
    sleep_ms(2000);
    counting = true;
    sleep_ms(static_cast<int>(1000 * trouble_s));
    stopping = true;
    for (auto& one : ordinary)
    {
        one.join();
    }
    for (auto& one : odd)
    {
        one.join();
    }
    all.fleet.end();
    double sent = 0;
    double served = 0;
    for (const auto& kind : kinds)
    {
        record.say("requests of kind " + kind.name + ": " + std::to_string(kind.sent) + " sent, " +
                   std::to_string(kind.served) + " served, " + std::to_string(kind.refused) +
                   " refused with 503");
        sent += kind.sent;
        served += kind.served;
    }
    record.say("odd connections: " + std::to_string(opened) + " opened, " +
               std::to_string(refused) + " of them refused");
    if (served == 0)
    {
        return could_not_run;
    }
    bool broken = false;
    for (const auto& kind : kinds)
    {
        // Less than a quarter as often as all requests.
        broken = broken || kind.sent == 0 || kind.served / double(kind.sent) < 0.25 * served / sent;
    }
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
    int result = run_body_budget(record, argv[2]);
    std::fflush(nullptr);
    std::_Exit(result);
}
