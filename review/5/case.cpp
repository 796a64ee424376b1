// A manifest raises the longest body that callers may send. Channels that callers have kept open go
// on by the limit of the manifest that was in force when their last request ended.

#include <signal.h>

#include <iostream>

#include <fmt/format.h>

#include "../stand_ins/case_tools.hpp"

using namespace review;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t old_limit = 4096;
constexpr std::size_t new_limit = 65536;
constexpr std::size_t usual_body = 600;
constexpr std::size_t long_body = 20000;
constexpr int callers = 40;
/// `config_apply_ms` of the settings, and a second beyond it. Callers may reuse a channel that was
/// idle for four fifths of `idle_timeout_ms`, which is 12 s.
constexpr auto wait_after_ack = 2000ms + 1000ms;
/// DENIED: "more than 5 + one in 500 of all requests".
constexpr int denied_allowed = 5;

nlohmann::json manifest(int version, std::size_t max_body_bytes)
{
    return {{"version", version},
            {"routes", {route("desk.example", "/book/", "non_idempotent", "desk", 3000, 1)}},
            {"services", {plain_service("desk", 200)}},
            {"limits", limits(max_body_bytes)},
            {"tenants", {tenant("clinics", "key-1")}}};
}

std::string booking(const std::string& id, std::size_t bytes)
{
    return fmt::format("POST /book/order HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {}\r\n"
                       "X-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       id, bytes, std::string(bytes, 'p'));
}

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record log(argc > 1 ? argv[1] : ".");
    temporary_folder files;
    address_block net;
    banyanshunt::store_stand_in store(12);
    plain_server server("d0", net.ip(1, 1), 20ms, log);
    // Without the change, the limit is the higher one from the start.
    store.put("keyed.op", "config", manifest(1, with_trouble() ? old_limit : new_limit).dump());
    store.put("keyed.servers", "d0", server.entry("desk", "north", 64));
    entry_host host({.name = "h0",
                     .zone = "north",
                     .ip = net.ip(0, 1),
                     .store_address = fmt::format("127.0.0.1:{}", store.port()),
                     .folder = files.path});
    if (!host.await_ready(10s))
    {
        std::cout << "the host is not ready\n";
        return not_run;
    }
    // In touch from here on.
    std::this_thread::sleep_for(3s);
    std::vector<std::unique_ptr<connection>> kept;
    for (int n = 0; n < callers; ++n)
    {
        auto id = fmt::format("first-{}", n);
        kept.push_back(connection::open(host.ip(), host.port()));
        auto answer =
            kept.back() ? ask(*kept.back(), booking(id, usual_body), 3s) : caller_answer();
        log.line(fmt::format("answered request={} status={}", id, answer.status));
        if (answer.status != 200)
        {
            std::cout << "the first requests were not served\n";
            return not_run;
        }
    }
    if (with_trouble())
    {
        store.put("keyed.op", "config", manifest(2, new_limit).dump());
        log.line(fmt::format("manifest version=2 max_body_bytes={} acknowledged", new_limit));
    }
    std::this_thread::sleep_for(wait_after_ack);
    int denied = 0;
    int served = 0;
    for (int n = 0; n < callers; ++n)
    {
        auto id = fmt::format("second-{}", n);
        log.line(fmt::format("sent request={} channel=kept body_bytes={}", id, long_body));
        auto answer = ask(*kept[static_cast<std::size_t>(n)], booking(id, long_body), 3s);
        log.line(fmt::format("answered request={} status={}", id, answer.status));
        bool own_4xx = answer.status >= 400 && answer.status < 500 && answer.status != 408 &&
                       answer.status != 421 && answer.status != 429 &&
                       answer.head.field("x-server-stamp").empty();
        denied += own_4xx ? 1 : 0;
        served += answer.status == 200 ? 1 : 0;
    }
    // The same request on a new channel shows that the new limit is in force.
    auto fresh = connection::open(host.ip(), host.port());
    auto answer = fresh ? ask(*fresh, booking("fresh", long_body), 3s) : caller_answer();
    log.line(fmt::format("answered request=fresh channel=new status={}", answer.status));
    int allowed = denied_allowed + (2 * callers + 1) / 500;
    auto summary = fmt::format("kept channels: {} denied, {} served of {}; {} may be denied; a new "
                               "channel: status {}",
                               denied, served, callers, allowed, answer.status);
    log.line(summary);
    std::cout << summary << "\n";
    return denied > allowed ? rule_broken : rule_held;
}
