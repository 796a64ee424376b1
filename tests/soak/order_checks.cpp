#include "soak/order_checks.hpp"

#include <algorithm>
#include <fstream>

#include <fmt/format.h>

namespace banyanshunt::soak
{

namespace
{

using steady_instant = std::chrono::steady_clock::time_point;

/// The platform's allowance for orders that arrive after their sender was resumed, or after the
/// link that held them up went on.
constexpr std::chrono::milliseconds arrival_slack{300};

/// The response to an order whose number of expected orders is out of date.
constexpr int refused_status = 409;

template <class Key>
bool follows_end(const std::map<Key, std::vector<steady_instant>>& ends, const Key& key,
                 steady_instant at)
{
    auto it = ends.find(key);
    return it != ends.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [&](auto end) { return end <= at && at - end <= arrival_slack; });
}

/// The holder of an order; machines are different holders, whatever their names.
std::string machine_of(const received_order& order, const order_disturbances& history)
{
    auto it = history.replaced.find(order.holder);
    auto before = it == history.replaced.end()
                      ? 0
                      : std::count_if(it->second.begin(), it->second.end(),
                                      [&](auto at) { return at <= order.at; });
    return before == 0 ? order.holder : fmt::format("{}, machine {}", order.holder, before + 1);
}

} // namespace

order_findings check_orders(const soak_fleet& fleet, const order_disturbances& history)
{
    order_findings findings;
    for (std::size_t n = 0; n < fleet.backends.size(); ++n)
    {
        auto orders = fleet.backends[n]->received_orders();
        for (auto& order : orders)
        {
            order.holder = machine_of(order, history);
        }
        auto is_excused = [&](const received_order& order)
        {
            return follows_end(history.resumed, order.holder, order.at) ||
                   follows_end(history.restored_links, n, order.at);
        };
        for (auto dating : {order_dating::arrival, order_dating::effect})
        {
            auto judgement = judge_orders(orders, dating, fleet.lease(), is_excused);
            const char* dated = dating == order_dating::arrival ? "arrival" : "effect";
            auto accepted = orders;
            std::erase_if(accepted, [](const auto& it) { return it.status == refused_status; });
            for (const auto& breach :
                 judge_orders(accepted, dating, fleet.lease(), is_excused).breaches)
            {
                ++findings.counts[fmt::format("{}, {}, without refused orders", dated,
                                              to_text(breach.kind))];
            }
            for (const auto& breach : judgement.breaches)
            {
                ++findings.counts[fmt::format("{}, {}", dated, to_text(breach.kind))];
                findings.violations.push_back(
                    fmt::format("orders: {} received {}", soak_fleet::server_name(n),
                                describe(breach, orders, dating, history.begun)));
                findings.breaches.push_back(
                    {.server = soak_fleet::server_name(n), .dating = dating, .breach = breach});
            }
            if (dating == order_dating::arrival)
            {
                findings.judged += judgement.judged;
                findings.excused += judgement.excused;
            }
        }
        for (const auto& it : orders)
        {
            findings.record.push_back(
                received_order_line(soak_fleet::server_name(n), it, history.unix_offset));
        }
        findings.refused += static_cast<std::size_t>(
            std::count_if(orders.begin(), orders.end(),
                          [](const auto& it) { return it.status == refused_status; }));
        findings.late += static_cast<std::size_t>(
            std::count_if(orders.begin(), orders.end(), [](const auto& it) { return it.is_late; }));
    }
    return findings;
}

std::vector<std::string> explain_orders(const soak_fleet& fleet, const order_findings& findings,
                                        const order_disturbances& history,
                                        const std::string& folder, std::size_t most)
{
    std::ofstream record(folder + "/engines.log");
    for (const auto& it : findings.record)
    {
        record << it << "\n";
    }
    order_logs logs;
    logs.add_record(findings.record);
    for (const auto& host : fleet.hosts)
    {
        std::ifstream in(fmt::format("{}/{}.log", folder, host.name));
        std::vector<std::string> lines;
        for (std::string line; std::getline(in, line);)
        {
            lines.push_back(line);
        }
        logs.add_host_log(lines, host.name);
    }
    auto begun = std::chrono::floor<std::chrono::milliseconds>(history.begun.time_since_epoch() +
                                                               history.unix_offset);
    return explain_breaches(logs, findings.breaches, most, unix_instant(begun));
}

} // namespace banyanshunt::soak
