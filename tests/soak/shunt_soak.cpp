// Runs entry hosts as separate processes on loopback, injects faults from outside, and checks the
// guarantees against the records of callers and backend servers. The same seed gives the same
// sequence of faults.

#include <signal.h>

#include <filesystem>
#include <iostream>
#include <map>
#include <random>
#include <thread>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "soak/assignment_scenario.hpp"
#include "soak/config_changes.hpp"
#include "soak/config_faults.hpp"
#include "soak/model_demand.hpp"
#include "soak/odd_writers.hpp"
#include "soak/order_faults.hpp"
#include "soak/prompt_crashes.hpp"
#include "soak/server_silences.hpp"
#include "soak/soak_checks.hpp"

DEFINE_string(program, "build/shunt-serve", "the program of an entry host");
DEFINE_uint64(seed, 1, "the first seed");
DEFINE_int32(seeds, 1, "how many seeds to run, one after the other");
DEFINE_int32(hosts, 4, "entry hosts in a run");
DEFINE_int32(fault_seconds, 12, "how long faults are injected");
DEFINE_int32(block, 30, "addresses are 127.BLOCK.x.y, so that runs can execute in parallel");
DEFINE_string(odd, "entries,configurations,copies,streams",
              "what writers that break the protocol write; copies and streams only in seeds that "
              "have more than planned work");
DEFINE_string(faults, "all",
              "orders: only faults around the assignment of engines to hosts, and only the checks "
              "of orders and of hosts that end unasked; store: of these, only the store's faults; "
              "configurations: faults around the hosts' reads of the configuration, and only the "
              "checks of which version handles a request");
DEFINE_int32(late_order_percent, 33,
             "with --faults=orders or store: the share of orders that get no response and are "
             "carried out later");
DEFINE_int32(lease_ms, 1000,
             "the lease of an engine by its host; the platform's is 3000, and runs with "
             "--faults=orders or store scale its other times by it");
DEFINE_bool(expiry, true, "with --faults=orders or store: whether the store's records expire");
DEFINE_string(
    scenario, "",
    "with --faults=orders: instead of random faults, one that is directed at the "
    "assignment of engines: away_and_back, other_parts, new_topic, older_copy, other_machine, "
    "absent_engines, second_machine, stale_reads, one_way_store or held_orders; or changes of "
    "owner in series: killed, restarted, frozen, cut_off, store_troubled, dealt_anew, starved, "
    "killed_at_order, or all_series for these in turn. With --faults=configurations: sound, "
    "unnoticed, compacted, cut, unanswered, reset, refused, slow, frozen, killed, stopped, "
    "starved, "
    "late_waits, stale, stale_items or older_copy");
DEFINE_int32(copy_age_ms, 8000, "in the scenario older_copy: how much older the store returns");
DEFINE_string(
    killed, "none",
    "in the scenario older_copy: the hosts that are killed while the store is away: none, "
    "one or half");
DEFINE_string(host_flags, "", "further command-line flags of the hosts, separated by blanks");
DEFINE_string(folder, "", "folder for settings and logs; each seed gets a new folder in it");

namespace
{

using namespace banyanshunt;
using namespace banyanshunt::soak;
using namespace std::chrono_literals;

/// Starting hosts acquire shares after 1.5 s, and callers need a ready host.
constexpr auto start_length = 3s;
/// The required bound on recovery time.
constexpr auto recovery_length = 12s;
constexpr auto observation_length = 3s;
/// The limit that servers in need state, in requests a second: less than half of what they get.
constexpr double limit_per_second = 20;
/// Every fourth seed has planned work only; no request may be interrupted then.
constexpr std::uint64_t planned_interval = 4;
/// The grace period of hosts. Where all work is planned it is so long that a request begun right
/// after SIGTERM ends in it, however long its server is silent.
constexpr int grace_s = 4;
constexpr int planned_grace_s = 8;
/// The time budget of every second request where all work is planned: it outlasts a stop, which the
/// others' budgets do not.
constexpr std::chrono::milliseconds planned_time_budget{12000};
/// The most configurations that are published right after one another, and the pause between two.
constexpr int max_configurations = 4;
constexpr int max_configuration_pause_ms = 120;

/// In runs with only faults around the assignment of engines: enough failure domains that most
/// hosts own engines, and more adapters than fit.
constexpr int order_domains = 3;
constexpr int order_engines = 14;
constexpr int demanded_adapters = 32;
/// In runs with only faults around the configuration: domains so small that hosts read alone.
constexpr int configuration_domains = 4;
constexpr int probed_run_ms = 2;
/// Requests in a second and host, on average, below which a run has shown nothing.
constexpr double min_probes_per_second = 2;
/// What two hosts take for the number of the store's partitions in the scenario `other_parts`.
constexpr int scenario_parts = 4;
/// By the platform documentation, for its lease: how long the store retains records, and how much
/// later orders that get no response are carried out.
constexpr int platform_lease_ms = 3000;
constexpr int record_keep_ms = 20000;
constexpr int min_order_delay_ms = 2000;
constexpr int max_order_delay_ms = 12000;
/// The most faults in a series, the longest pause between two of them, and how long hosts have for
/// their takeovers after the series.
constexpr int max_faults_in_series = 4;
constexpr int max_fault_pause_ms = 700;
constexpr int min_takeover_time_ms = 21000;
constexpr int max_takeover_time_ms = 33000;
/// Orders in a second, on average, below which a run has shown nothing.
constexpr double min_orders_per_second = 4;

/// The most broken promises of a run that are printed.
constexpr std::size_t max_printed = 100;
/// The most pairs of orders whose timeline is printed.
constexpr std::size_t max_timelines = 3;

killed_hosts killed_of(const std::string& text)
{
    if (text != "none" && text != "one" && text != "half")
    {
        throw std::invalid_argument("--killed is none, one or half");
    }
    return text == "half"  ? killed_hosts::half
           : text == "one" ? killed_hosts::one
                           : killed_hosts::none;
}

/// One soak run: injects faults or planned work, restarts ended hosts, and checks the outcome.
class soak_run
{
public:
    explicit soak_run(std::uint64_t seed, const std::string& folder)
        : folder_(folder), random_(seed), notice_random_(seed), planned_random_(seed),
          fleet_({.program = FLAGS_program,
                  .program_flags = FLAGS_host_flags,
                  .directory = folder,
                  .address_block = FLAGS_block,
                  .hosts = FLAGS_hosts,
                  .grace_s = planned_only(seed) ? planned_grace_s : grace_s,
                  .time_budget = long_time_budget(seed),
                  .engine_mb = only_orders() ? 50 : 100,
                  .engines = only_orders() ? order_engines : 3,
                  .adapters = only_orders() ? demanded_adapters : 0,
                  .domains = only_orders()           ? order_domains
                             : only_configurations() ? configuration_domains
                                                     : 1,
                  .other_parts = FLAGS_scenario == "other_parts" ? scenario_parts : 0,
                  .lease = std::chrono::milliseconds(FLAGS_lease_ms),
                  .has_annex = only_configurations()})
    {
        for (auto kind : odd_kinds(seed))
        {
            odd_writers_.emplace_back(fleet_, seed, kind,
                                      [this](const std::string& what) { log_fault(what); });
        }
        history_.planned_only = planned_only(seed);
        history_.begun = std::chrono::steady_clock::now();
        unix_offset_ =
            std::chrono::system_clock::now().time_since_epoch() - history_.begun.time_since_epoch();
    }

    std::vector<std::string> run(std::uint64_t seed)
    {
        std::this_thread::sleep_for(start_length);
        std::vector<std::string> ips;
        for (const auto& it : fleet_.hosts)
        {
            ips.push_back(it.ip);
        }
        prompt_crashes crashes(fleet_, seed);
        soak_callers callers(ips, soak_fleet::caller_port, seed, long_time_budget(seed));
        std::jthread silences(
            [this, seed](const std::stop_token& stop) {
                silence_servers(fleet_, seed, stop,
                                [this](const std::string& what) { log_fault(what); });
            });
        std::vector<std::jthread> writing;
        for (auto& it : odd_writers_)
        {
            writing.emplace_back([&it](const std::stop_token& stop) { it.write(stop); });
        }
        auto until = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_fault_seconds);
        while (std::chrono::steady_clock::now() < until)
        {
            restart_ended();
            history_.planned_only ? run_planned_work() : inject_fault();
            if (!history_.planned_only && notice_random_() % 2 == 0)
            {
                change_notice();
            }
            auto next = std::chrono::steady_clock::now() + std::chrono::milliseconds(draw(900));
            if (history_.planned_only && planned_random_() % 2 == 0)
            {
                publish_configurations(next);
            }
            else if (history_.planned_only && planned_random_() % 2 == 0)
            {
                stop_another();
            }
            std::this_thread::sleep_until(next);
        }
        silences.request_stop();
        silences.join();
        for (auto& it : writing)
        {
            it.request_stop();
        }
        writing.clear();
        heal();
        for (auto& it : odd_writers_)
        {
            it.write_last_records();
        }
        fleet_.add_late_server();
        history_.late_server_made = std::chrono::steady_clock::now();
        withdraw_key_now();
        auto recovered = std::chrono::steady_clock::now() + recovery_length;
        history_.recovered = recovered;
        while (std::chrono::steady_clock::now() < recovered + observation_length)
        {
            restart_ended();
            std::this_thread::sleep_for(50ms);
        }
        callers.stop();
        restart_ended();
        calls_ = callers.records().size();
        auto violations = find_violations(callers.records(), fleet_, history_);
        std::ranges::move(crashes.find_violations(recovered), std::back_inserter(violations));
        return violations;
    }

    /// Faults around the assignment of engines only, and the checks of what engines received and of
    /// hosts that ended unasked.
    std::vector<std::string> run_order_faults(std::uint64_t seed)
    {
        order_faults faults(fleet_, seed,
                            FLAGS_faults == "store" ? order_fault_scope::store
                                                    : order_fault_scope::all,
                            [this](const std::string& what) { log_fault(what); });
        fleet_.store.keep_ms = FLAGS_expiry ? scaled_ms(record_keep_ms) : 0;
        std::this_thread::sleep_for(start_length);
        std::vector<std::string> ips;
        for (const auto& it : fleet_.hosts)
        {
            ips.push_back(it.ip);
        }
        soak_callers callers(ips, soak_fleet::caller_port, seed, long_time_budget(seed));
        model_demand demand(ips, soak_fleet::caller_port, demanded_adapters);
        for (std::size_t n = soak_fleet::first_engine; n < fleet_.backends.size(); ++n)
        {
            fleet_.backends[n]->min_order_delay_ms = scaled_ms(min_order_delay_ms);
            fleet_.backends[n]->max_order_delay_ms = scaled_ms(max_order_delay_ms);
            fleet_.backends[n]->late_order_percent = FLAGS_late_order_percent;
        }
        auto until = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_fault_seconds);
        std::optional<assignment_scenario> scenario;
        if (!FLAGS_scenario.empty())
        {
            scenario.emplace(fleet_, FLAGS_scenario,
                             assignment_scenario_options{
                                 .copy_age = std::chrono::milliseconds(FLAGS_copy_age_ms),
                                 .killed = killed_of(FLAGS_killed)},
                             [this](const std::string& what) { log_fault(what); });
        }
        while (scenario && std::chrono::steady_clock::now() < until)
        {
            restart_ended();
            scenario->step();
        }
        while (std::chrono::steady_clock::now() < until)
        {
            for (int n = draw(max_faults_in_series); n >= 0; --n)
            {
                restart_ended();
                faults.inject();
                std::this_thread::sleep_for(std::chrono::milliseconds(draw(max_fault_pause_ms)));
            }
            faults.restore_store();
            auto next = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(
                            scaled_ms(min_takeover_time_ms) +
                            draw(scaled_ms(max_takeover_time_ms - min_takeover_time_ms)));
            while (std::chrono::steady_clock::now() < next)
            {
                restart_ended();
                std::this_thread::sleep_for(100ms);
            }
        }
        faults.heal();
        // Until orders that were given last are carried out.
        std::this_thread::sleep_for(observation_length +
                                    std::chrono::milliseconds(scaled_ms(max_order_delay_ms)));
        callers.stop();
        restart_ended();
        calls_ = callers.records().size();
        auto orders = faults.history();
        orders.begun = history_.begun;
        orders.unix_offset = unix_offset_;
        if (scenario)
        {
            orders.replaced = scenario->replaced();
            for (const auto& [host, at] : scenario->resumed())
            {
                std::ranges::copy(at, std::back_inserter(orders.resumed[host]));
            }
        }
        auto findings = check_orders(fleet_, orders);
        std::cout << fmt::format("  {} orders judged, {} excused, {} without a response, {} "
                                 "refused\n",
                                 findings.judged, findings.excused, findings.late,
                                 findings.refused);
        for (const auto& [kind, n] : findings.counts)
        {
            std::cout << fmt::format("  {} by {}\n", n, kind);
        }
        for (const auto& it : explain_orders(fleet_, findings, orders, folder_, max_timelines))
        {
            // Indented further than the lines of violations.
            std::cout << "    " << it << "\n";
        }
        auto least = static_cast<std::size_t>(min_orders_per_second * FLAGS_fault_seconds);
        if (findings.judged < least)
        {
            findings.violations.push_back(
                fmt::format("orders: {} were judged, which shows nothing; at least {} are expected",
                            findings.judged, least));
        }
        std::ranges::copy(fleet_.unasked_ends, std::back_inserter(findings.violations));
        return findings.violations;
    }

    /// Faults around the hosts' reads of the configuration only, and the checks of which version
    /// handled a request and of hosts that ended unasked.
    std::vector<std::string> run_config_faults(std::uint64_t seed)
    {
        for (auto& it : fleet_.backends)
        {
            it->run_ms = probed_run_ms;
        }
        config_changes changes(fleet_, seed);
        config_faults faults(fleet_, seed, FLAGS_scenario,
                             [this](const std::string& what) { log_fault(what); });
        for (std::size_t host = 0; host < fleet_.hosts.size(); ++host)
        {
            faults.record_restart(host);
        }
        std::this_thread::sleep_for(start_length);
        changes.start({.misses_second = FLAGS_scenario != "sound",
                       .probes_refused = FLAGS_scenario != "late_waits"});
        auto until = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_fault_seconds);
        while (std::chrono::steady_clock::now() < until)
        {
            faults.step();
            for (std::size_t host = 0; host < fleet_.hosts.size(); ++host)
            {
                if (fleet_.reap(fleet_.hosts[host]))
                {
                    faults.record_restart(host);
                    fleet_.start(fleet_.hosts[host]);
                }
            }
        }
        std::this_thread::sleep_for(observation_length);
        changes.stop();
        calls_ = changes.probes().size();
        auto findings =
            check_configurations(changes.versions(), changes.probes(), faults.disturbances());
        std::cout << fmt::format("  {} versions, {} of {} requests judged, the longest time to "
                                 "force {} ms\n",
                                 changes.versions().size(), findings.judged, calls_,
                                 findings.longest.count());
        auto least =
            static_cast<std::size_t>(min_probes_per_second * FLAGS_fault_seconds * FLAGS_hosts);
        if (findings.judged < least)
        {
            findings.violations.push_back(
                fmt::format("configuration: {} requests were judged, which shows nothing; at least "
                            "{} are expected",
                            findings.judged, least));
        }
        std::ranges::copy(fleet_.unasked_ends, std::back_inserter(findings.violations));
        return findings.violations;
    }

    std::size_t calls() const { return calls_; }
    static bool only_configurations() { return FLAGS_faults == "configurations"; }
    static bool only_orders() { return FLAGS_faults == "orders" || FLAGS_faults == "store"; }

private:
    /// A time at the platform's lease, at the lease of this run.
    static int scaled_ms(int ms) { return ms * FLAGS_lease_ms / platform_lease_ms; }
    static bool planned_only(std::uint64_t seed) { return seed % planned_interval == 0; }
    static std::chrono::milliseconds long_time_budget(std::uint64_t seed)
    {
        return planned_only(seed) ? planned_time_budget : time_budget;
    }
    static std::set<odd_kind> odd_kinds(std::uint64_t seed)
    {
        auto kinds = parse_odd_kinds(FLAGS_odd);
        if (planned_only(seed))
        {
            kinds.erase(odd_kind::copies);
            kinds.erase(odd_kind::streams);
        }
        return kinds;
    }
    int draw(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }
    soak_fleet::host& any_host()
    {
        return fleet_.hosts[static_cast<std::size_t>(draw(FLAGS_hosts))];
    }
    std::size_t index_of(const soak_fleet::host& it) const
    {
        return static_cast<std::size_t>(&it - fleet_.hosts.data());
    }
    std::size_t any_backend()
    {
        return static_cast<std::size_t>(draw(static_cast<int>(fleet_.backends.size())));
    }

    void log_fault(const std::string& what) const
    {
        std::chrono::duration<double> at = std::chrono::steady_clock::now() - history_.begun;
        std::cout << fmt::format("  fault at {:.3f} s: {}\n", at.count(), what);
    }

    void restart_ended()
    {
        for (auto& it : fleet_.hosts)
        {
            if (fleet_.reap(it))
            {
                record_disturbance(it);
                fleet_.start(it);
            }
        }
    }

    void record_disturbance(const soak_fleet::host& it)
    {
        history_.host_disturbances.push_back(
            {.host = index_of(it), .at = std::chrono::steady_clock::now()});
    }

    /// Returns whether the host was paused.
    bool resume(soak_fleet::host& it)
    {
        auto at = fleet_.resume(it);
        if (at)
        {
            history_.host_disturbances.push_back(
                {.host = index_of(it), .at = *at, .resumed = true});
        }
        return at.has_value();
    }

    void record_link(std::size_t backend, bool faulty)
    {
        history_.link_changes.push_back(
            {.backend = backend, .at = std::chrono::steady_clock::now(), .faulty = faulty});
    }

    void set_link_fault(std::size_t backend, loopback_proxy::fault now)
    {
        using fault = loopback_proxy::fault;
        record_link(backend, now != fault::none);
        auto before = fleet_.backend_proxies[backend]->set_fault(now);
        history_.link_changes.back().ended_delay = before == fault::delay && now != fault::delay;
    }

    void signal(soak_fleet::host& it, int number)
    {
        record_disturbance(it);
        fleet_.signal(it, number);
    }

    void state_limit(std::size_t backend, double per_second)
    {
        fleet_.backends[backend]->stated_limit = per_second;
        history_.limits.push_back(
            {.backend = backend, .at = std::chrono::steady_clock::now(), .per_second = per_second});
    }

    /// A server begins to say in its responses that it leaves or that it wants no requests, or
    /// ends that: the one by a restart under its id and address. At most one plain server and one
    /// engine leave at a time, so that requests can be served.
    void change_notice()
    {
        auto n = static_cast<std::size_t>(notice_random_() % fleet_.backends.size());
        auto& backend = *fleet_.backends[n];
        if (notice_random_() % 2 == 0)
        {
            bool paused = backend.stated_retry_after != nullptr;
            log_fault(paused ? "a server wants requests" : "a server wants no requests");
            const char* lengths[] = {"0.2", "1.5", "3"};
            backend.stated_retry_after = paused ? nullptr : lengths[notice_random_() % 3];
            backend.active_fault =
                paused ? backend_stand_in::fault::none : backend_stand_in::fault::full;
            return;
        }
        if (backend.stated_leaving != nullptr)
        {
            restart_backend(n);
            return;
        }
        bool engine = n >= 2;
        bool another_leaves = false;
        for (std::size_t other = engine ? 2 : 0; other < (engine ? fleet_.backends.size() : 2);
             ++other)
        {
            another_leaves = another_leaves || fleet_.backends[other]->stated_leaving != nullptr;
        }
        if (!another_leaves)
        {
            log_fault("a server leaves, by its responses alone");
            backend.stated_leaving = "1";
        }
    }

    void restart_backend(std::size_t n)
    {
        log_fault("a server that left is back under its id");
        fleet_.restart(n);
    }

    /// Publishes the same content as several new versions.
    void publish_configurations(std::chrono::steady_clock::time_point until)
    {
        auto left = 1 + planned_random_() % max_configurations;
        for (; left > 0 && std::chrono::steady_clock::now() < until; --left)
        {
            log_fault("configuration published again");
            fleet_.configure(keys_);
            std::this_thread::sleep_for(
                std::chrono::milliseconds(planned_random_() % max_configuration_pause_ms));
        }
    }

    /// Stops a host while others may be stopping, as long as ready ones remain.
    void stop_another()
    {
        auto& it = fleet_.hosts[planned_random_() % fleet_.hosts.size()];
        bool others =
            std::any_of(fleet_.hosts.begin(), fleet_.hosts.end(),
                        [&](const auto& other) { return &other != &it && fleet_.ready(other); });
        if (others && fleet_.ready(it))
        {
            log_fault("stop " + it.name);
            signal(it, SIGTERM);
        }
    }

    void run_planned_work()
    {
        switch (draw(3))
        {
        case 0:
        {
            auto& it = any_host();
            // The load balancer needs other ready hosts to take over.
            bool others = std::all_of(fleet_.hosts.begin(), fleet_.hosts.end(),
                                      [&](const auto& other) { return fleet_.ready(other); });
            if (others)
            {
                log_fault("stop " + it.name);
                signal(it, SIGTERM);
            }
            break;
        }
        case 1:
            log_fault("reload");
            fleet_.signal(any_host(), SIGHUP);
            break;
        default:
            withdraw_key();
        }
    }

    void withdraw_key()
    {
        if (history_.withdrawn.empty() && draw(4) == 0)
        {
            withdraw_key_now();
        }
    }

    void withdraw_key_now()
    {
        if (!history_.withdrawn.empty())
        {
            return;
        }
        log_fault("key-2 withdrawn");
        keys_ = {"key-1"};
        fleet_.configure(keys_);
        history_.withdrawn["key-2"] = std::chrono::steady_clock::now();
    }

    void inject_fault()
    {
        auto& it = any_host();
        auto linked = any_backend();
        auto& backend_proxy = *fleet_.backend_proxies[linked];
        auto& backend = *fleet_.backends[any_backend()];
        using fault = loopback_proxy::fault;
        switch (draw(13))
        {
        case 0:
            log_fault("kill " + it.name);
            signal(it, SIGKILL);
            break;
        case 1:
            log_fault((it.paused ? "resume " : "pause ") + it.name);
            if (!resume(it))
            {
                record_disturbance(it);
                fleet_.pause(it);
            }
            break;
        case 2:
            log_fault("stop " + it.name);
            signal(it, SIGTERM);
            break;
        case 3:
            run_planned_work();
            break;
        case 4:
        {
            const fault faults[] = {fault::none, fault::delay, fault::drop_requests,
                                    fault::drop_responses};
            log_fault("link of " + it.name + " to the store");
            it.store_proxy->set_fault(faults[draw(4)]);
            break;
        }
        case 5:
            log_fault("connections of " + it.name + " to the store blackholed");
            it.store_proxy->blackhole_all();
            break;
        case 6:
        {
            const fault faults[] = {fault::none, fault::none, fault::delay, fault::drop_requests,
                                    fault::drop_responses};
            log_fault("link to a server");
            set_link_fault(linked, faults[draw(5)]);
            break;
        }
        case 7:
            log_fault("connections to a server reset");
            record_link(linked, false);
            backend_proxy.reset_all();
            break;
        case 8:
            log_fault("connections to a server blackholed");
            // New connections work.
            record_link(linked, false);
            backend_proxy.blackhole_all();
            break;
        case 9:
        {
            using server_fault = backend_stand_in::fault;
            const server_fault kinds[] = {server_fault::none, server_fault::full,
                                          server_fault::lose_response, server_fault::break_stream};
            log_fault("a server fails");
            backend.active_fault = kinds[draw(4)];
            break;
        }
        case 10:
        {
            auto n = any_backend();
            bool limited = fleet_.backends[n]->stated_limit >= 0;
            log_fault(limited ? "a server's limit ends" : "a server states a limit");
            state_limit(n, limited ? -1 : limit_per_second);
            break;
        }
        case 11:
            log_fault("store refuses or serves again");
            fleet_.store.forced_status = fleet_.store.forced_status == 0 ? 503 : 0;
            break;
        default:
            log_fault("all hosts killed");
            for (auto& each : fleet_.hosts)
            {
                signal(each, draw(2) == 0 ? SIGKILL : 0);
            }
        }
    }

    void heal()
    {
        log_fault("all faults removed");
        fleet_.store.forced_status = 0;
        for (auto& it : fleet_.hosts)
        {
            it.store_proxy->set_fault(loopback_proxy::fault::none);
            if (!resume(it))
            {
                record_disturbance(it);
            }
        }
        for (std::size_t n = 0; n < fleet_.backends.size(); ++n)
        {
            set_link_fault(n, loopback_proxy::fault::none);
            fleet_.backends[n]->stated_retry_after = nullptr;
            if (fleet_.backends[n]->stated_leaving != nullptr)
            {
                restart_backend(n);
            }
            fleet_.backends[n]->active_fault = backend_stand_in::fault::none;
            if (fleet_.backends[n]->stated_limit >= 0)
            {
                state_limit(n, -1);
            }
        }
        // One of the two plain servers stays in need while the hosts recover.
        state_limit(0, limit_per_second);
    }

    const std::string folder_;
    std::mt19937_64 random_;
    /// Of their own, so that a seed gives the same sequence of the other faults as before.
    std::mt19937_64 notice_random_;
    std::mt19937_64 planned_random_;
    std::vector<std::string> keys_ = {"key-1", "key-2"};
    soak_fleet fleet_;
    soak_history history_;
    /// The time of day when the steady clock was at zero.
    std::chrono::nanoseconds unix_offset_{0};
    std::vector<odd_writer> odd_writers_;
    std::size_t calls_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "runs entry hosts under random faults; the same seed gives the same faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    ::signal(SIGPIPE, SIG_IGN);
    int passed = 0;
    int failed = 0;
    for (std::uint64_t seed = FLAGS_seed;
         seed < FLAGS_seed + static_cast<std::uint64_t>(FLAGS_seeds); ++seed)
    {
        auto base =
            FLAGS_folder.empty() ? std::filesystem::temp_directory_path().string() : FLAGS_folder;
        auto folder = fmt::format("{}/shunt-soak-{}-{}", base, FLAGS_block, seed);
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        std::cout << "seed " << seed << ", logs in " << folder << std::endl;
        soak_run run(seed, folder);
        auto violations = soak_run::only_orders()           ? run.run_order_faults(seed)
                          : soak_run::only_configurations() ? run.run_config_faults(seed)
                                                            : run.run(seed);
        for (std::size_t n = 0; n < std::min<std::size_t>(violations.size(), max_printed); ++n)
        {
            std::cout << "  broken: " << violations[n] << "\n";
        }
        std::cout << "seed " << seed << ": " << run.calls() << " calls, "
                  << (violations.empty() ? "passed" : "FAILED") << std::endl;
        ++(violations.empty() ? passed : failed);
    }
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
