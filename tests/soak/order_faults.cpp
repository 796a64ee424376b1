#include "soak/order_faults.hpp"

#include <signal.h>

#include <algorithm>

#include <fmt/format.h>

namespace banyanshunt::soak
{

namespace
{

using namespace std::chrono_literals;

/// The platform's allowance for orders that arrive after their sender was resumed.
constexpr std::chrono::milliseconds thaw_slack{300};
constexpr std::chrono::milliseconds lease{1000};

} // namespace

order_faults::order_faults(soak_fleet& fleet, std::uint64_t seed,
                           std::function<void(const std::string&)> log)
    : fleet_(fleet), log_(std::move(log)), random_(seed), call_random_(seed)
{
    fleet_.store.set_call_faults([this](const std::string& path, const std::string& body)
                                 { return decide(path, body); });
}

order_faults::~order_faults()
{
    fleet_.store.set_call_faults(nullptr);
    thaws_.clear();
}

int order_faults::draw(int bound)
{
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
}

call_fault order_faults::decide(const std::string& path, const std::string& body)
{
    std::string caller;
    for (const auto& it : fleet_.hosts)
    {
        // Keyed records of other duties name hosts too, and are made by them.
        if (body.find(it.name) != std::string::npos)
        {
            caller = it.name;
        }
    }
    std::unique_lock lock(mutex_);
    if (caller.empty())
    {
        return {};
    }
    bool freezes = !freeze_at_.empty() && path == freeze_at_;
    if (freezes)
    {
        freeze_at_.clear();
        auto length = freeze_length_;
        lock.unlock();
        freeze(caller, length);
        return {};
    }
    if (!faulty_host_.empty() && faulty_host_ != caller)
    {
        return {};
    }
    auto chance = [&](int percent)
    { return std::uniform_int_distribution<int>(0, 99)(call_random_) < percent; };
    auto length = [&](int ms)
    { return std::chrono::milliseconds(std::uniform_int_distribution<int>(50, ms)(call_random_)); };
    call_fault fault;
    if (chance(refused_))
    {
        fault.refused_with = 429;
    }
    if (chance(late_))
    {
        fault.carry_out_delay = length(4000);
    }
    if (chance(slow_))
    {
        fault.response_delay = length(950);
    }
    return fault;
}

void order_faults::freeze(const std::string& host, std::chrono::milliseconds length)
{
    for (auto& it : fleet_.hosts)
    {
        if (it.name == host && !it.paused && it.pid != 0)
        {
            log_(fmt::format("freeze {} for {} ms", host, length.count()));
            it.paused = true;
            fleet_.signal(it, SIGSTOP);
            std::lock_guard lock(mutex_);
            thaws_.emplace_back(
                [this, host, length]
                {
                    std::this_thread::sleep_for(length);
                    resume(host);
                });
        }
    }
}

void order_faults::resume(const std::string& host)
{
    for (auto& it : fleet_.hosts)
    {
        if (it.name == host && it.paused)
        {
            {
                std::lock_guard lock(mutex_);
                resumed_[host].push_back(std::chrono::steady_clock::now());
            }
            it.paused = false;
            fleet_.signal(it, SIGCONT);
            log_("resumed " + host);
        }
    }
}

void order_faults::inject()
{
    auto& it = fleet_.hosts[static_cast<std::size_t>(draw(static_cast<int>(fleet_.hosts.size())))];
    switch (draw(13))
    {
    case 0:
        log_("rebalance");
        fleet_.store.group().rebalance();
        break;
    case 1:
    {
        log_("rebalance twice");
        fleet_.store.group().rebalance();
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(500)));
        fleet_.store.group().rebalance();
        break;
    }
    case 2:
        log_("memberships lapse");
        fleet_.store.group().lapse();
        break;
    case 3:
        freeze(it.name, std::chrono::milliseconds(200 + draw(4000)));
        break;
    case 4:
    case 5:
    {
        std::lock_guard lock(mutex_);
        freeze_at_ = draw(2) == 0 ? "/api/log-append" : "/api/log-join";
        freeze_length_ = std::chrono::milliseconds(200 + draw(4000));
        break;
    }
    case 6:
    case 7:
    {
        std::lock_guard lock(mutex_);
        faulty_host_ = draw(2) == 0 ? it.name : "";
        refused_ = draw(3) == 0 ? 70 : 0;
        late_ = draw(2) == 0 ? 30 : 0;
        slow_ = draw(2) == 0 ? 60 : 0;
        log_(fmt::format("store for {}: {} % refused, {} % late, {} % slow",
                         faulty_host_.empty() ? "all" : faulty_host_, refused_, late_, slow_));
        break;
    }
    case 10:
    case 11:
    case 12:
    {
        auto n = soak_fleet::first_engine + static_cast<std::size_t>(draw(3));
        auto length = std::chrono::milliseconds(300 + draw(6000));
        log_(fmt::format("freeze {} for {} ms", soak_fleet::server_name(n), length.count()));
        fleet_.backend_proxies[n]->freeze(length);
        break;
    }
    case 8:
        log_("kill " + it.name);
        fleet_.signal(it, SIGKILL);
        break;
    default:
        log_("stop " + it.name);
        fleet_.signal(it, SIGTERM);
    }
}

void order_faults::heal()
{
    {
        std::lock_guard lock(mutex_);
        refused_ = late_ = slow_ = 0;
        freeze_at_.clear();
    }
    for (const auto& it : fleet_.hosts)
    {
        resume(it.name);
    }
}

std::vector<std::string> order_faults::find_violations() const
{
    std::lock_guard lock(mutex_);
    auto excused = [&](const received_order& order)
    {
        auto it = resumed_.find(order.holder);
        return it != resumed_.end() &&
               std::any_of(it->second.begin(), it->second.end(),
                           [&](steady_instant at)
                           { return at <= order.at && order.at - at <= thaw_slack; });
    };
    std::vector<std::string> violations;
    for (std::size_t n = 0; n < fleet_.backends.size(); ++n)
    {
        auto orders = fleet_.backends[n]->received_orders();
        std::stable_sort(orders.begin(), orders.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        const received_order* highest = nullptr;
        const received_order* last = nullptr;
        for (const auto& order : orders)
        {
            if (excused(order))
            {
                continue;
            }
            auto describe = [&](const char* what, const received_order& before)
            {
                std::chrono::duration<double> since = order.at - before.at;
                violations.push_back(fmt::format(
                    "{}: order of {} with fence {} (status {}), {:.3f} s after {} with fence {} "
                    "(status {})",
                    what, order.holder, order.fence, order.status, since.count(), before.holder,
                    before.fence, before.status));
            };
            if (highest && order.fence < highest->fence)
            {
                describe("a lower fence after a higher one", *highest);
            }
            if (highest && order.fence == highest->fence && order.holder != highest->holder)
            {
                describe("one fence of two hosts", *highest);
            }
            if (last && last->holder != order.holder && order.at - last->at < lease)
            {
                describe("two hosts in turn within the lease", *last);
            }
            highest = !highest || order.fence > highest->fence ? &order : highest;
            last = &order;
        }
    }
    return violations;
}

} // namespace banyanshunt::soak
