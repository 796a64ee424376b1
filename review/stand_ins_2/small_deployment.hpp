#pragma once

/// \file
/// The small deployment of this review's scripts, and ordinary callers of it.

#include "review_kit.hpp"

namespace review
{

inline const std::string model = "quotes-1";
/// A model that the manifest does not name, so that no server can be chosen and the request is
/// refused: it never reaches a server.
inline const std::string unknown_model = "quotes-0";

struct answer_counts
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> lost = 0;

    void add(int status)
    {
        ++sent;
        ++(status == 200 ? served : status > 0 ? refused : lost);
    }
};

struct setting
{
    setting(const std::string& folder, const std::vector<tenant>& tenants) : fleet(folder, 260)
    {
        for (int n = 0; n < 2; ++n)
        {
            std::string zone = n == 0 ? "kathmandu-a" : "kathmandu-b";
            servers.push_back(std::make_unique<page_server>(
                "i-writer-" + std::to_string(n), "quote-writer", zone,
                std::vector<std::string>{model}, 20,
                std::map<std::string, engine_model>{{model, {.load_ms = 6000}}}));
            servers.push_back(std::make_unique<page_server>("i-desk-" + std::to_string(n),
                                                            "booking-desk", zone,
                                                            std::vector<std::string>(), 15));
        }
        fleet.store.put("keyed.op", "config", manifest(7, tenants, {model}));
        announce();
        // Every `heartbeat_ms`, until the program ends: a setting is never destroyed.
        std::thread(
            [this]
            {
                while (true)
                {
                    sleep_ms(1200);
                    announce();
                }
            })
            .detach();
        for (const char* name : {"front-kathmandu-a-1", "front-kathmandu-a-2",
                                 "front-kathmandu-b-1", "front-kathmandu-b-2"})
        {
            fleet.add(name, std::string(name).substr(6, 11));
        }
        for (auto& host : fleet.hosts)
        {
            fleet.start(host);
        }
        for (auto& host : fleet.hosts)
        {
            if (!fleet.await_ready(host, 10000))
            {
                std::fprintf(stderr, "%s does not get ready\n", host.name.c_str());
                failed = true;
            }
        }
        // Traffic starts 10 s after the machines do.
        while (now_s() < 10)
        {
            sleep_ms(50);
        }
    }

    void announce()
    {
        for (const auto& server : servers)
        {
            fleet.store.put("keyed.servers", server->id(), server->entry());
        }
    }

    deployment fleet;
    std::vector<std::unique_ptr<page_server>> servers;
    bool failed = false;
};

/// Ordinary callers: each sends one request after the other, at its own pace.
class ordinary_callers
{
public:
    ordinary_callers(const deployment& fleet, std::string key, int callers, int gap_ms,
                     std::string token_count, answer_counts& counts)
    {
        for (int n = 0; n < callers; ++n)
        {
            const auto& host = fleet.hosts[static_cast<std::size_t>(n) % fleet.hosts.size()];
            threads_.emplace_back(
                [this, ip = host.ip, key, n, gap_ms, token_count, &counts]
                {
                    for (int k = 0; !stopping_; ++k)
                    {
                        int status = send_call(ip, {.path = "/draft/1",
                                                    .method = "POST",
                                                    .key = key,
                                                    .id = "o-" + std::to_string(n) + "-" +
                                                          std::to_string(k),
                                                    .model = model,
                                                    .token_count = token_count,
                                                    .deadline_ms = 12000});
                        counts.add(status);
                        // As long as a refusal asks for, at the least.
                        sleep_ms(status == 200 ? gap_ms : std::max(gap_ms, 300));
                    }
                });
        }
    }
    void stop()
    {
        stopping_ = true;
        for (auto& it : threads_)
        {
            it.join();
        }
        threads_.clear();
    }

private:
    std::atomic<bool> stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace review
