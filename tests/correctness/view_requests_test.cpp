// The hosts of failure domains on virtual time, each domain with one host that reads the
// configuration for the others, which stops, is killed, frozen or cut off around a change.

#include <deque>
#include <random>

#include <catch2/catch.hpp>

#include "coordination/catch_up.hpp"
#include "coordination/view_requests.hpp"
#include "coordination/view_source.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

enum class reader_fault
{
    /// Says so in its reports, and exits later.
    planned_stop,
    killed,
    /// Neither runs nor loses what arrives, for a while.
    frozen,
    cut_from_store,
    cut_from_domain,
};

/// Periods and times of the path, as docs/CONFIGURATION-AGE.md has them.
constexpr milliseconds step{5};
constexpr milliseconds report_period{250};
constexpr milliseconds report_ttl{1500};
constexpr milliseconds request_period{500};
constexpr milliseconds transit{5};
constexpr milliseconds store_time{15};
constexpr milliseconds response_timeout{300};
constexpr milliseconds reader_wait{500};
constexpr milliseconds reader_role_duration{3000};
constexpr milliseconds min_retry_delay{50};
constexpr milliseconds max_retry_delay{400};
constexpr milliseconds freeze_time{2500};
constexpr milliseconds stop_time{2600};
constexpr milliseconds fault_length{10000};
/// Before the change; all hosts follow a reader by then.
constexpr milliseconds settling_time{16000};

/// One failure domain, whose hosts are stepped together.
class played_domain
{
public:
    played_domain(int hosts, milliseconds apply, std::uint64_t seed)
        : bounds_(bound_shared_view(apply, response_timeout)),
          longest_wait_(std::min(milliseconds(2200), apply - 100ms)), random_(seed)
    {
        for (int n = 0; n < hosts; ++n)
        {
            auto& it = hosts_.emplace_back();
            it.name = host_id("host-" + std::to_string(n));
            it.next_request = start_ + random_delay(request_period);
            it.next_report = start_ + random_delay(report_period);
            it.confirmed_at = start_;
            it.next_call = start_ + random_delay(request_period);
            for (int other = 0; other < hosts; ++other)
            {
                it.heard[other] = start_;
            }
        }
    }

    /// Plays a change and a fault of the reader, which begins `fault_at` after the acknowledgement
    /// of the change. Returns the longest time until the change is in force on a host that runs and
    /// reaches the store or its domain.
    milliseconds play(reader_fault fault, milliseconds fault_at)
    {
        ack_at_ = start_ + settling_time;
        fault_ = fault;
        for (now_ = start_; now_ < ack_at_ + 6s; now_ += step)
        {
            if (now_ == ack_at_ + fault_at)
            {
                faulty_ = reader();
                fault_begin_ = now_;
            }
            deliver();
            for (int n = 0; n < static_cast<int>(hosts_.size()); ++n)
            {
                if (runs(n))
                {
                    run(n);
                }
            }
        }
        milliseconds longest{0};
        for (int n = 0; n < static_cast<int>(hosts_.size()); ++n)
        {
            if (n == faulty_ && fault != reader_fault::cut_from_store &&
                fault != reader_fault::cut_from_domain)
            {
                continue;
            }
            auto took = hosts_.at(n).in_force_at ? *hosts_.at(n).in_force_at - ack_at_
                                                 : nanoseconds(fault_length);
            longest = std::max(longest, std::chrono::ceil<milliseconds>(took));
        }
        return longest;
    }

private:
    struct datagram
    {
        instant at{};
        int from = 0;
        int to = 0;
        enum
        {
            report,
            request,
            response
        } kind = report;
        std::int64_t number = 0;
        bool changed = false;
        milliseconds age{0};
        bool stopping = false;
    };
    struct call
    {
        instant sent_at;
        milliseconds wait{0};
    };
    struct played_host
    {
        host_id name;
        view_requests requests;
        std::map<int, instant> heard;
        std::map<int, bool> stopping;
        instant next_request;
        instant next_report;
        bool read_by_other = false;
        std::optional<instant> asked_at;
        bool has_change = false;
        std::optional<instant> in_force_at;
        instant confirmed_at;
        std::optional<call> in_flight;
        /// When a call was sent that does not wait, beside the one in flight.
        std::optional<instant> read_now_at;
        instant next_call;
        milliseconds retry_delay = min_retry_delay;
        bool store_reachable = true;
        catch_up<> config_catch_up;
        std::deque<datagram> arrived;
    };

    nanoseconds random_delay(milliseconds period)
    {
        return std::uniform_int_distribution<std::int64_t>(0, period / step)(random_) * step;
    }
    /// The host that reads for the others while all are in touch.
    int reader() const
    {
        std::vector<host_id> names;
        for (const auto& it : hosts_)
        {
            names.push_back(it.name);
        }
        auto name = view_source(domain_, host_id("none"), names, store_contact::lost);
        return index_of(*name);
    }
    static int index_of(const host_id& name) { return std::stoi(name.str().substr(5)); }
    bool is_faulty(int n) const { return n == faulty_; }
    bool runs(int n) const
    {
        if (!is_faulty(n))
        {
            return true;
        }
        auto since = now_ - fault_begin_;
        return !((fault_ == reader_fault::planned_stop && since >= stop_time) ||
                 fault_ == reader_fault::killed ||
                 (fault_ == reader_fault::frozen && since < freeze_time));
    }
    bool reaches_store(int n) const
    {
        return !(is_faulty(n) && fault_ == reader_fault::cut_from_store);
    }
    bool reaches_domain(int n) const
    {
        return !(is_faulty(n) && fault_ == reader_fault::cut_from_domain);
    }

    void send(datagram it)
    {
        it.at = now_ + transit;
        if (reaches_domain(it.from) && reaches_domain(it.to))
        {
            in_transit_.push_back(it);
        }
    }
    void deliver()
    {
        while (!in_transit_.empty() && in_transit_.front().at <= now_)
        {
            auto& to = hosts_.at(in_transit_.front().to);
            to.arrived.push_back(in_transit_.front());
            in_transit_.pop_front();
        }
    }

    void run(int n)
    {
        auto& it = hosts_.at(n);
        for (; !it.arrived.empty(); it.arrived.pop_front())
        {
            receive(n, it.arrived.front());
        }
        if (now_ >= it.next_report)
        {
            it.next_report = now_ + report_period;
            for (int to = 0; to < static_cast<int>(hosts_.size()); ++to)
            {
                if (to != n)
                {
                    send({.from = n,
                          .to = to,
                          .changed = it.has_change,
                          .stopping = is_faulty(n) && fault_ == reader_fault::planned_stop});
                }
            }
        }
        if (now_ >= it.next_request)
        {
            it.next_request = now_ + request_period;
            request_view(n);
        }
        read_topic(n);
    }

    void request_view(int n)
    {
        auto& it = hosts_.at(n);
        auto contact = it.store_reachable ? store_contact::kept : store_contact::lost;
        it.requests.pass_over_unresponsive(now_);
        std::vector<host_id> candidates;
        for (auto [other, heard_at] : it.heard)
        {
            const auto& name = hosts_.at(other).name;
            if (other != n && now_ - heard_at < report_ttl && !it.stopping[other] &&
                !it.requests.is_skipped(name, contact, now_))
            {
                candidates.push_back(name);
            }
        }
        auto from = view_source(domain_, it.name, candidates, contact);
        it.read_by_other = from.has_value();
        if (!from)
        {
            it.requests.end();
            return;
        }
        send({.from = n,
              .to = index_of(*from),
              .kind = datagram::request,
              .number = it.requests.request(*from, now_)});
    }

    void receive(int n, const datagram& message)
    {
        auto& it = hosts_.at(n);
        it.heard[message.from] = now_;
        if (message.kind == datagram::report)
        {
            it.stopping[message.from] = message.stopping;
            if (!it.read_by_other &&
                it.config_catch_up.reads_now(log_offset(message.changed ? 1 : 0),
                                             log_offset(it.has_change ? 1 : 0), now_))
            {
                read_now(it);
            }
        }
        if (message.kind == datagram::request)
        {
            it.asked_at = now_;
            if (it.requests.asked_by_reader(hosts_.at(message.from).name, now_))
            {
                read_now(it);
            }
            send({.from = n,
                  .to = message.from,
                  .kind = datagram::response,
                  .number = message.number,
                  .changed = it.has_change,
                  .age = std::chrono::ceil<milliseconds>(now_ - it.confirmed_at)});
        }
        if (message.kind == datagram::response &&
            it.requests.judge(hosts_.at(message.from).name, message.number, message.age, bounds_,
                              now_) != view_requests::response::ignored &&
            (message.changed || !it.has_change))
        {
            confirm(it, message.changed, it.requests.requested_at() - message.age);
        }
    }

    void confirm(played_host& it, bool changed, instant confirmed_at)
    {
        it.confirmed_at = std::max(it.confirmed_at, confirmed_at);
        it.has_change = it.has_change || changed;
        if (it.has_change && !it.in_force_at)
        {
            it.in_force_at = now_;
        }
    }

    void read_topic(int n)
    {
        auto& it = hosts_.at(n);
        if (it.read_now_at)
        {
            end_read_now(n);
        }
        if (it.in_flight)
        {
            end_call(n);
            return;
        }
        bool view_is_fresh =
            it.store_reachable && it.read_by_other && now_ - it.confirmed_at < bounds_.own_read;
        if (now_ < it.next_call || view_is_fresh)
        {
            return;
        }
        bool reads_for_others = it.asked_at && now_ - *it.asked_at < reader_role_duration;
        auto wait = it.read_by_other || !it.store_reachable ? 0ms
                    : reads_for_others                      ? reader_wait
                                                            : longest_wait_;
        it.in_flight = call{.sent_at = now_, .wait = wait};
    }

    void read_now(played_host& it) const { it.read_now_at = it.read_now_at.value_or(now_); }
    void end_read_now(int n)
    {
        auto& it = hosts_.at(n);
        instant sent_at = *it.read_now_at;
        if (reaches_store(n) && now_ >= sent_at + store_time)
        {
            it.read_now_at.reset();
            confirm(it, ack_at_ <= sent_at, sent_at);
        }
        else if (now_ >= sent_at + response_timeout)
        {
            it.read_now_at.reset();
            it.store_reachable = false;
        }
    }

    void end_call(int n)
    {
        auto& it = hosts_.at(n);
        const auto& sent = *it.in_flight;
        if (!reaches_store(n))
        {
            if (now_ >= sent.sent_at + sent.wait + response_timeout)
            {
                it.in_flight.reset();
                it.store_reachable = false;
                it.next_call = now_ + it.retry_delay;
                it.retry_delay = std::min(2 * it.retry_delay, max_retry_delay);
            }
            return;
        }
        instant seen_at = std::max(sent.sent_at, ack_at_) + store_time;
        bool changed = !it.has_change && now_ >= seen_at;
        if (changed || now_ >= sent.sent_at + sent.wait + store_time)
        {
            auto sent_at = sent.sent_at;
            it.in_flight.reset();
            it.store_reachable = true;
            it.retry_delay = min_retry_delay;
            confirm(it, changed, sent_at);
        }
    }

    const domain_id domain_ = domain_id("north");
    shared_view_bounds bounds_;
    milliseconds longest_wait_;
    std::mt19937_64 random_;
    instant start_ = instant(std::chrono::hours(1));
    instant now_;
    instant ack_at_;
    instant fault_begin_;
    reader_fault fault_ = reader_fault::killed;
    int faulty_ = -1;
    std::deque<datagram> in_transit_;
    std::vector<played_host> hosts_;
};

/// A deployment: the hosts of each domain, and how soon a configuration has to be in force.
struct played_site
{
    std::vector<int> domains;
    milliseconds apply;
    std::size_t seeds;
};

const played_site six_hosts{.domains = {6}, .apply = 2000ms, .seeds = 20};
const played_site many_hosts{.domains = {21, 20, 20, 20}, .apply = 3000ms, .seeds = 2};

} // namespace

TEST_CASE("A configuration is in force in time whatever becomes of its reader around the change")
{
    auto fault = GENERATE(reader_fault::planned_stop, reader_fault::killed, reader_fault::frozen,
                          reader_fault::cut_from_store, reader_fault::cut_from_domain);
    auto check = [&](const played_site& site)
    {
        for (auto fault_at = -3000ms; fault_at <= 2000ms; fault_at += 100ms)
        {
            for (std::size_t n = 0; n < site.domains.size() * site.seeds; ++n)
            {
                int hosts = site.domains.at(n % site.domains.size());
                auto seed = n + 1000 * static_cast<std::uint64_t>(fault_at / 100ms + 100);
                auto took = played_domain(hosts, site.apply, seed).play(fault, fault_at);
                INFO("fault " << static_cast<int>(fault) << " at " << fault_at.count()
                              << " ms of the acknowledgement, domain of " << hosts
                              << " hosts, seed " << seed << ": " << took.count() << " ms");
                CHECK(took <= site.apply);
            }
        }
    };

    SECTION("six hosts in one domain")
    {
        check(six_hosts);
    }
    SECTION("81 hosts in four domains")
    {
        check(many_hosts);
    }
}
