#include "soak/soak_callers.hpp"

#include <random>

#include <fmt/format.h>
#include <httplib.h>

namespace banyanshunt::soak
{

namespace
{

constexpr int callers = 12;
constexpr std::chrono::milliseconds max_pause{60};
/// How much longer than its time budget a caller waits for a response.
constexpr std::chrono::milliseconds caller_margin{2000};
/// The mean number of requests after which a caller opens a new connection.
constexpr int requests_per_connection = 12;

} // namespace

soak_callers::soak_callers(std::vector<std::string> ips, int port, std::uint64_t seed,
                           std::chrono::milliseconds long_time_budget)
    : ips_(std::move(ips)), port_(port), long_time_budget_(long_time_budget)
{
    for (int n = 0; n < callers; ++n)
    {
        threads_.emplace_back([this, n, seed] { run_caller(n, seed); });
    }
}

void soak_callers::stop()
{
    stopping_ = true;
    for (auto& it : threads_)
    {
        it.join();
    }
    threads_.clear();
}

void soak_callers::run_caller(int caller, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + static_cast<std::uint64_t>(caller));
    auto draw = [&](int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random); };
    std::unique_ptr<httplib::Client> client;
    std::size_t host = 0;
    for (int n = 0; !stopping_; ++n)
    {
        if (!client || draw(requests_per_connection) == 0)
        {
            host = static_cast<std::size_t>(draw(static_cast<int>(ips_.size())));
            client = std::make_unique<httplib::Client>(ips_[host], port_);
            client->set_keep_alive(true);
            client->set_connection_timeout(1);
        }
        auto budget = n % 2 == 0 ? time_budget : long_time_budget_;
        client->set_read_timeout(budget + caller_margin);
        call_record record;
        record.id = fmt::format("{:x}-{}-{}", seed, caller, n);
        record.kind = static_cast<call_kind>(draw(3));
        const char* keys[] = {"key-1", "key-2", "small-key", "small-key"};
        record.key = keys[draw(4)];
        record.host = host;
        httplib::Headers headers = {{"Host", "desk.example"},
                                    {"X-Request-Id", record.id},
                                    {"X-Deadline-Ms", std::to_string(budget.count())},
                                    {"Authorization", "Bearer " + record.key}};
        const char* path = record.kind == call_kind::book   ? "/book/1"
                           : record.kind == call_kind::read ? "/read/1"
                                                            : "/guide/1";
        if (record.kind == call_kind::guide)
        {
            const char* models[] = {"busy", "busy", "rare-1", "rare-2", "rare-3"};
            record.model = models[draw(5)];
            headers.emplace("X-Model", record.model);
        }
        httplib::Request request;
        request.method = record.kind == call_kind::read ? "GET" : "POST";
        request.path = path;
        request.headers = std::move(headers);
        if (record.kind != call_kind::read)
        {
            request.body = "a body";
            request.set_header("Content-Type", "text/plain");
        }
        request.response_handler = [&](const httplib::Response& response)
        {
            record.begun_status = response.status;
            return true;
        };
        request.content_receiver =
            [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
        {
            record.body.append(data, size);
            return true;
        };
        record.sent = std::chrono::steady_clock::now();
        auto response = client->send(request);
        record.ended = std::chrono::steady_clock::now();
        record.status = response ? response->status : 0;
        if (!response)
        {
            client.reset();
        }
        {
            std::lock_guard lock(mutex_);
            records_.push_back(std::move(record));
        }
        std::this_thread::sleep_for(
            std::chrono::milliseconds(draw(static_cast<int>(max_pause.count()))));
    }
}

} // namespace banyanshunt::soak
