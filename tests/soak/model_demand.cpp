#include "soak/model_demand.hpp"

#include <chrono>

#include <fmt/format.h>
#include <httplib.h>

namespace banyanshunt::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t callers_per_host = 2;
/// Short, so that a caller soon asks for the next model.
constexpr std::chrono::milliseconds time_budget{400};
constexpr std::chrono::milliseconds pause{20};

} // namespace

model_demand::model_demand(std::vector<std::string> ips, int port, int adapters)
    : ips_(std::move(ips)), port_(port), targets_{"rare-1", "rare-2", "rare-3"}
{
    for (int n = 1; n <= adapters; ++n)
    {
        targets_.push_back("busy/a" + std::to_string(n));
    }
    for (std::size_t n = 0; n < callers_per_host * ips_.size(); ++n)
    {
        threads_.emplace_back([this, n](const std::stop_token& stop) { run_caller(n, stop); });
    }
}

void model_demand::run_caller(std::size_t caller, const std::stop_token& stop) const
{
    httplib::Client client(ips_[caller % ips_.size()], port_);
    client.set_keep_alive(true);
    client.set_connection_timeout(time_budget);
    client.set_read_timeout(time_budget);
    for (std::size_t n = caller; !stop.stop_requested(); ++n)
    {
        client.Post("/guide/1",
                    {{"Host", "desk.example"},
                     {"X-Request-Id", fmt::format("demand-{}-{}", caller, n)},
                     {"X-Deadline-Ms", std::to_string(time_budget.count())},
                     {"Authorization", "Bearer key-1"},
                     {"X-Model", targets_[n % targets_.size()]}},
                    "a body", "text/plain");
        std::this_thread::sleep_for(pause);
    }
}

} // namespace banyanshunt::soak
