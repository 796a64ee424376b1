/// \file
/// Measures the overhead of an entry host over calling an engine directly, on loopback: latency
/// under an open-loop load, CPU time per request, and memory per waiting request and per stream.
/// Engine, platform, placer and callers are threads of the same process, so CPU time and memory
/// include theirs.

#include <algorithm>
#include <atomic>
#include <fstream>
#include <thread>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sys/resource.h>

#include "entry/entry_host.hpp"
#include "placer/placer_host.hpp"
#include "protocol/platform_codec.hpp"
#include "stand_ins/engine_stand_in.hpp"
#include "stand_ins/loopback_settings.hpp"
#include "stand_ins/platform_stand_in.hpp"
#include "stand_ins/ticket_text.hpp"
#include "transport/http_client.hpp"

DEFINE_int32(rate, 200, "requests a second, open loop");
DEFINE_int32(seconds, 10, "length of each open loop");
DEFINE_int32(
    threads, 16,
    "senders; latency counts from the scheduled send time, so a delayed sender adds to it");
DEFINE_int32(tokens, 4, "tokens of each response");
DEFINE_int32(token_ms, 1, "the engine's time for a token");
DEFINE_int32(held, 200, "waiting requests, and then streams, for the measure of memory");

using namespace banyanshunt;

namespace
{

struct bench_fleet
{
    platform_stand_in platform{{.limits = {}, .load_time = milliseconds(20)}};
    engine_stand_in engine{
        {.weight_store = platform.address(), .time_per_token = milliseconds(FLAGS_token_ms)}};
    placer_host placer{loopback_placer(self())};
    entry_host entry{entry_options()};
    http_client http;

    bench_fleet()
    {
        placer.start();
        std::vector<listed_host> hosts = {{.name = "n1",
                                           .role = "placer",
                                           .domain = domain_id("north"),
                                           .address = placer.peer_address()}};
        (void)http.send({.address = platform.address(),
                         .method = "PUT",
                         .path = "/hosts",
                         .headers = {},
                         .body = encode_hosts(hosts)});
        entry.start();
        std::string ticket = ticket_text(
            1, {{"models",
                 R"({"m":{"version":"v1","memory_mib":14000,"replicas":1,"max_tokens":100000},
                     "huge":{"version":"v1","memory_mib":900000,"replicas":1}})"},
                {"workspaces", R"({"w":{"tokens_per_second":100000000,"burst_tokens":100000000}})"},
                {"keys", key_text("k1", "w", "secret")},
                {"servers", server_text("e1", "engine", engine.address())}});
        log_entry it{.id = record_id("t1"), .data = ticket};
        (void)platform.log().append(tickets_stream, std::span(&it, 1));
    }

    loopback_host self() const
    {
        return {.name = "n1", .domain = "north", .platform = platform.address()};
    }

    entry_settings entry_options() const
    {
        entry_settings it = loopback_entry(self());
        it.threads = 3 * static_cast<std::size_t>(FLAGS_held);
        it.max_waiting = 3 * static_cast<std::size_t>(FLAGS_held);
        it.requests.slots_per_replica = 2 * FLAGS_held;
        return it;
    }

    http_call through_host(const std::string& model, int max_tokens, bool stream) const
    {
        return {.address = entry.caller_address(),
                .method = "POST",
                .path = "/v1/completions",
                .headers = {{"Authorization", "Bearer k1.secret"}, {"Accept-Encoding", "identity"}},
                .body =
                    fmt::format(R"({{"model":"{}","prompt":"swap","max_tokens":{},"stream":{}}})",
                                model, max_tokens, stream),
                .read_timeout = milliseconds(60000),
                .keeps_connection = true};
    }

    http_call direct(int n) const
    {
        return {.address = engine.address(),
                .method = "POST",
                .path = "/engine/completions",
                .headers = {},
                .body = encode_engine_request({.id = request_id(fmt::format("direct-{}", n)),
                                               .model = model_id("m"),
                                               .adapter = {},
                                               .prompt = "swap",
                                               .max_tokens = FLAGS_tokens}),
                .read_timeout = milliseconds(60000),
                .keeps_connection = true};
    }
};

double milliseconds_of(nanoseconds it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

double cpu_seconds()
{
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    auto seconds_of = [](const timeval& it)
    { return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6; };
    return seconds_of(use.ru_utime) + seconds_of(use.ru_stime);
}

double resident_kib()
{
    constexpr double page_kib = 4;
    std::ifstream in("/proc/self/statm");
    double all = 0;
    double resident = 0;
    in >> all >> resident;
    return resident * page_kib;
}

struct loop_result
{
    std::vector<double> latencies;
    int failures = 0;
    double cpu_us = 0;
};

// Sends at fixed times. Latency counts from the scheduled send time.
template <class Send>
loop_result open_loop(const Send& send)
{
    int total = FLAGS_rate * FLAGS_seconds;
    std::vector<double> latencies(static_cast<std::size_t>(total));
    std::atomic<int> next = 0;
    std::atomic<int> failures = 0;
    double before = cpu_seconds();
    instant begin = boot_clock().now() + milliseconds(50);
    auto send_requests = [&]
    {
        for (int n = next++; n < total; n = next++)
        {
            instant due = begin + nanoseconds(std::int64_t{1'000'000'000} * n / FLAGS_rate);
            std::this_thread::sleep_for(due - boot_clock().now());
            failures += send(n) ? 0 : 1;
            latencies[static_cast<std::size_t>(n)] = milliseconds_of(boot_clock().now() - due);
        }
    };
    std::vector<std::thread> senders(static_cast<std::size_t>(FLAGS_threads));
    for (auto& it : senders)
    {
        it = std::thread(send_requests);
    }
    for (auto& it : senders)
    {
        it.join();
    }
    std::sort(latencies.begin(), latencies.end());
    return {.latencies = std::move(latencies),
            .failures = failures,
            .cpu_us = 1e6 * (cpu_seconds() - before) / total};
}

double quantile(const loop_result& it, double q)
{
    return it.latencies[static_cast<std::size_t>(static_cast<double>(it.latencies.size() - 1) * q)];
}

void print_row(const char* name, const loop_result& it)
{
    fmt::print("| {} | {:.3f} | {:.3f} | {:.3f} | {} | {:.0f} |\n", name, quantile(it, 0.5),
               quantile(it, 0.99), quantile(it, 0.999), it.failures, it.cpu_us);
}

void print_added(const char* name, const loop_result& it, const loop_result& direct)
{
    auto added = [&](double q) { return quantile(it, q) - quantile(direct, q); };
    fmt::print("| {} | {:.3f} | {:.3f} | {:.3f} | | {:.0f} |\n", name, added(0.5), added(0.99),
               added(0.999), it.cpu_us - direct.cpu_us);
}

// Holds requests open and returns the memory per request, in KiB.
double memory_per_request(const http_call& call)
{
    double before = resident_kib();
    std::atomic<bool> released = false;
    std::vector<std::thread> callers(static_cast<std::size_t>(FLAGS_held));
    for (auto& it : callers)
    {
        it = std::thread(
            [&]
            {
                http_client http;
                (void)http.stream(call, [&](std::string_view) { return !released; });
            });
    }
    std::this_thread::sleep_for(seconds(2));
    double after = resident_kib();
    released = true;
    for (auto& it : callers)
    {
        it.join();
    }
    return (after - before) / FLAGS_held;
}

bool succeeds(http_client& http, const http_call& call)
{
    auto it = http.send(call);
    return it && it->status == 200;
}

void measure_latency(bench_fleet& fleet)
{
    loop_result direct = open_loop([&](int n) { return succeeds(fleet.http, fleet.direct(n)); });
    auto through = [&](bool stream)
    {
        return open_loop(
            [&](int)
            { return succeeds(fleet.http, fleet.through_host("m", FLAGS_tokens, stream)); });
    };
    loop_result complete = through(false);
    loop_result streamed = through(true);
    fmt::print(
        "| {} requests/s | median ms | p99 ms | p99.9 ms | failures | processor us a request "
        "|\n|---|---|---|---|---|---|\n",
        FLAGS_rate);
    print_row("engine directly", direct);
    print_row("through an entry host, whole", complete);
    print_row("through an entry host, streamed", streamed);
    print_added("added, whole", complete, direct);
    print_added("added, streamed", streamed, direct);
}

void measure_memory(const bench_fleet& fleet)
{
    http_call waiting_call = fleet.through_host("huge", 4, false);
    waiting_call.headers.push_back({"X-Deadline-Ms", "4000"});
    double waiting = memory_per_request(waiting_call);
    double stream = memory_per_request(fleet.through_host("m", 90000, true));
    fmt::print("\n| held at once | KiB each, caller and stand-ins included |\n|---|---|\n"
               "| {} waiting requests | {:.0f} |\n| {} streams | {:.0f} |\n",
               FLAGS_held, waiting, FLAGS_held, stream);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bench_fleet fleet;
    while (!succeeds(fleet.http, fleet.through_host("m", 1, false)))
    {
        std::this_thread::sleep_for(milliseconds(50));
    }
    measure_latency(fleet);
    measure_memory(fleet);
    fleet.entry.stop();
    fleet.placer.stop();
    return 0;
}
