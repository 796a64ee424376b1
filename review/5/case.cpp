// A machine is replaced in order: the new one comes first, then the old one is stopped for good.
// The tenants whose allotment it held are refused by all hosts from then on.

#include <signal.h>

#include <cstdlib>
#include <iostream>

#include <fmt/format.h>

#include "../stand_ins/case_tools.hpp"

using namespace review;
using namespace std::chrono_literals;

namespace
{

constexpr int hosts = 4;
constexpr int tenants = 8;
/// What each tenant may send over all hosts, in tokens a second. A request without a stated number
/// of tokens counts as 200, as in the site file, so that it may send 20 requests a second; it
/// sends 4.
constexpr int plain_tokens = 200;
constexpr int rate_per_s = 20 * plain_tokens;
constexpr auto request_gap = 250ms;
constexpr auto time_before = 6s;
/// How long callers go on after it; a run by hand may set another length.
constexpr int usual_seconds_after = 45;
constexpr const char* seconds_after_variable = "SECONDS_AFTER";
/// What is sent in the first 20 s after the replacement is shown apart: the bounds of the settings
/// for a host that comes back are far shorter.
constexpr auto settling_time = 20s;
/// Gate, Starved: "served less than a quarter as often as all".
constexpr double starved_ratio = 0.25;

struct tally
{
    int sent = 0;
    int served = 0;
    int sent_settled = 0;
    int served_settled = 0;
    int over_rate_settled = 0;
};

std::string reading(const std::string& id, int tenant)
{
    return fmt::format("GET /read/unit HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {}\r\n"
                       "X-Deadline-Ms: 1000\r\nAuthorization: Bearer key-{}\r\n\r\n",
                       id, tenant);
}

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record log(argc > 1 ? argv[1] : ".");
    temporary_folder files;
    address_block net;
    banyanshunt::store_stand_in store(12);
    plain_server server("d0", net.ip(1, 1), 5ms, log);
    nlohmann::json manifest = {
        {"version", 1},
        {"routes", {route("desk.example", "/read/", "idempotent", "desk", 1000, 2)}},
        {"services", {plain_service("desk", 200)}},
        {"limits", limits(4194304)},
        {"tenants", nlohmann::json::array()}};
    for (int n = 0; n < tenants; ++n)
    {
        auto it = tenant(fmt::format("tenant-{}", n), fmt::format("key-{}", n));
        it["unit"] = "tokens";
        it["plain_tokens"] = plain_tokens;
        it["rate_per_s"] = rate_per_s;
        it["burst"] = rate_per_s;
        manifest["tenants"].push_back(it);
    }
    store.put("keyed.op", "config", manifest.dump());
    store.put("keyed.servers", "d0", server.entry("desk", "zone-0", 64));
    std::mutex mutex;
    std::vector<std::unique_ptr<entry_host>> fleet;
    auto add_host = [&](int n, int zone)
    {
        auto it = std::make_unique<entry_host>(
            entry_host::options{.name = fmt::format("front-{}", n),
                                .zone = fmt::format("zone-{}", zone),
                                .ip = net.ip(0, n + 1),
                                .store_address = fmt::format("127.0.0.1:{}", store.port()),
                                .folder = files.path});
        std::lock_guard lock(mutex);
        fleet.push_back(std::move(it));
    };
    for (int n = 0; n < hosts; ++n)
    {
        add_host(n, n);
    }
    for (auto& it : fleet)
    {
        if (!it->await_ready(10s))
        {
            std::cout << "a host is not ready\n";
            return not_run;
        }
    }
    // Traffic starts some seconds after the machines do.
    std::this_thread::sleep_for(6s);
    std::vector<tally> tallies(tenants);
    std::atomic<bool> replaced = false;
    std::atomic<bool> ending = false;
    steady::time_point replaced_at;
    auto host_for = [&](int number) -> const entry_host&
    {
        std::lock_guard lock(mutex);
        auto n = static_cast<std::size_t>(number) % hosts;
        return n == 0 && replaced ? *fleet.back() : *fleet[n];
    };
    std::vector<std::thread> callers;
    for (int n = 0; n < tenants; ++n)
    {
        callers.emplace_back(
            [&, n]
            {
                for (int number = 0; !ending; ++number)
                {
                    // Each request goes to the next host, as the platform spreads callers.
                    const auto& host = host_for(number + n);
                    auto id = fmt::format("tenant-{}-{}", n, number);
                    auto it = connection::open(host.ip(), host.port(), 300ms);
                    log.line(fmt::format("sent request={} host={}", id, host.settings().name));
                    auto answer = it ? ask(*it, reading(id, n), 1500ms) : caller_answer();
                    log.line(fmt::format("answered request={} status={} body={}", id, answer.status,
                                         answer.body));
                    {
                        std::lock_guard lock(mutex);
                        auto& to = tallies[n];
                        int ok = answer.status == 200 ? 1 : 0;
                        ++to.sent;
                        to.served += ok;
                        if (replaced && steady::now() - replaced_at > settling_time)
                        {
                            ++to.sent_settled;
                            to.served_settled += ok;
                            to.over_rate_settled += answer.status == 429 ? 1 : 0;
                        }
                    }
                    std::this_thread::sleep_for(request_gap);
                }
            });
    }
    std::this_thread::sleep_for(time_before);
    if (with_trouble())
    {
        add_host(hosts, 0);
        fleet.back()->await_ready(10s);
        log.line("front-4 is ready at a new address; front-0 gets SIGTERM and stays away");
        {
            std::lock_guard lock(mutex);
            replaced = true;
            replaced_at = steady::now();
        }
        fleet.front()->signal(SIGTERM);
    }
    const char* seconds_after = std::getenv(seconds_after_variable);
    std::this_thread::sleep_for(
        std::chrono::seconds(seconds_after ? std::atoi(seconds_after) : usual_seconds_after));
    ending = true;
    for (auto& it : callers)
    {
        it.join();
    }
    if (with_trouble() && !fleet.front()->ended())
    {
        std::cout << "front-0 has not ended\n";
        return not_run;
    }
    tally all;
    for (const auto& it : tallies)
    {
        all.sent += it.sent;
        all.served += it.served;
    }
    double all_ratio = static_cast<double>(all.served) / all.sent;
    bool starved = false;
    for (int n = 0; n < tenants; ++n)
    {
        const auto& it = tallies[n];
        bool this_one = static_cast<double>(it.served) / it.sent < starved_ratio * all_ratio;
        starved = starved || this_one;
        auto line = fmt::format("tenant-{}: {} of {} served{}; from 20 s after the replacement on "
                                "{} of {}, refused with "
                                "429: {}",
                                n, it.served, it.sent, this_one ? " (starved)" : "",
                                it.served_settled, it.sent_settled, it.over_rate_settled);
        log.line(line);
        std::cout << line << "\n";
    }
    return starved ? rule_broken : rule_held;
}
