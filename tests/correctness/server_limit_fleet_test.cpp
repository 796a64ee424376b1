// Many hosts that share the limit of one server by the real datagrams, with the server and its
// responses played in the process.

#include <catch2/catch.hpp>

#include <set>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "peers.pb.h"
#include "serve/limit_manager.hpp"
#include "stand_ins/limit_rule.hpp"
#include "stand_ins/loopback_block.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const server_id server("s1");
constexpr int peer_port = 17600;
constexpr milliseconds response_time{20};
constexpr milliseconds report_period{500};

backend_entry entry_of(std::int64_t start_time_ms)
{
    backend_entry entry;
    entry.id = server;
    entry.start_time_ms = start_time_ms;
    return entry;
}

class limit_fleet
{
public:
    explicit limit_fleet(int count)
    {
        for (int n = 0; n < count; ++n)
        {
            host_settings settings;
            settings.name = host_id("host-" + std::to_string(n));
            settings.domain = domain_id("zone-" + std::to_string(n % 4));
            settings.ip = addresses_.address(n + 1);
            settings.first_peer_port = peer_port;
            hosts_.push_back(std::make_unique<host>(*this, settings, loop_.get_executor()));
        }
        for (auto& it : hosts_)
        {
            it->context.servers.apply_entry(entry_of(1), it->context.now());
            it->peers.open();
            for (auto& other : hosts_)
            {
                if (other != it)
                {
                    auto& known = it->peers.all[other->context.settings.name];
                    known.address = {asio::ip::make_address_v4(other->context.settings.ip),
                                     peer_port};
                    known.listed_at = it->context.now();
                }
            }
            asio::co_spawn(loop_, receive(*it), asio::detached);
            asio::co_spawn(loop_, report(*it), asio::detached);
        }
    }

    std::size_t size() const { return hosts_.size(); }
    instant now() const { return hosts_.front()->context.now(); }
    void run_for(milliseconds length) { loop_.run_for(length); }

    /// A caller's request at one host; it waits at most half a second for a permit.
    void request(std::size_t n) { asio::co_spawn(loop_, serve(*hosts_.at(n)), asio::detached); }
    void request_at_all()
    {
        for (std::size_t n = 0; n < hosts_.size(); ++n)
        {
            request(n);
        }
    }
    /// Requests at hosts in turn, evenly over the time.
    void request_in_turn(milliseconds length, double per_second)
    {
        auto period = nanoseconds(static_cast<std::int64_t>(1e9 / per_second));
        for (instant until = now() + length; now() < until;)
        {
            request(next_++ % hosts_.size());
            loop_.run_for(std::chrono::duration_cast<milliseconds>(period));
        }
    }

    std::vector<instant> arrivals;
    std::optional<millirequests_per_second> stated;
    std::int64_t start_time_ms = 1;
    int refused = 0;
    int expired = 0;
    /// Hosts that neither send nor receive datagrams.
    std::set<std::size_t> dead;
    /// Hosts below this index and the others do not reach each other.
    std::size_t cut_at = 0;
    /// One datagram in this many is lost; 0 for none.
    std::uint64_t loss_divisor = 0;

    std::size_t index_of(const host_id& name) const
    {
        return std::stoul(name.str().substr(name.str().find('-') + 1));
    }
    host_context& context(std::size_t n) { return hosts_.at(n)->context; }

private:
    struct host
    {
        host(limit_fleet& fleet, const host_settings& settings, const asio::any_io_executor& loop)
            : context(settings, loop), peers(context),
              limits(context, peers,
                     [&fleet, this](const peers::peer_message& message)
                     { fleet.send_to_all(*this, message); })
        {
            context.on_limit_change = [this](const server_id& id, limit_change change)
            { limits.announce(id, change); };
        }

        host_context context;
        peer_list peers;
        limit_manager limits;
    };

    void send_to_all(host& from, const peers::peer_message& message)
    {
        for (const auto& [name, it] : from.peers.all)
        {
            from.peers.send(it, message);
        }
    }

    bool arrives(std::size_t from, std::size_t to)
    {
        bool lost = loss_divisor > 0 && hosts_.front()->context.random() % loss_divisor == 0;
        bool cut = (from < cut_at) != (to < cut_at);
        return !lost && !cut && !dead.contains(from) && !dead.contains(to);
    }

    task<void> receive(host& it)
    {
        std::vector<char> buf(65536);
        auto index = index_of(it.context.settings.name);
        while (true)
        {
            asio::ip::udp::endpoint from;
            auto [ec, n] =
                co_await it.peers.socket.async_receive_from(asio::buffer(buf), from, as_result);
            peers::peer_message message;
            if (ec || !message.ParseFromArray(buf.data(), static_cast<int>(n)))
            {
                continue;
            }
            host_id name(message.host());
            if (arrives(index_of(name), index))
            {
                auto& sender = it.peers.all.at(name);
                sender.received_at = it.context.now();
                it.limits.handle_message(sender, message, it.context.now());
            }
        }
    }

    task<void> report(host& it)
    {
        while (true)
        {
            it.limits.update_granted();
            auto message = it.peers.new_message();
            it.limits.fill_report(message);
            send_to_all(it, message);
            co_await pause(report_period);
        }
    }

    task<void> serve(host& it)
    {
        auto& limits = it.context.servers.limits();
        if (limits.in_force(server))
        {
            auto permit = co_await it.limits.acquire(server, 500ms);
            if (!permit.granted)
            {
                ++refused;
                co_return;
            }
            co_await pause(permit.valid_from - it.context.now());
            if (it.context.now() >= permit.valid_until)
            {
                ++expired;
                co_return;
            }
        }
        instant sent_at = it.context.now();
        it.context.record_send(server);
        arrivals.push_back(sent_at);
        co_await pause(response_time);
        auto change = limits.record_response(server, start_time_ms, stated, response_match::exact,
                                             sent_at, it.context.now());
        if (change != limit_change::none)
        {
            it.context.on_limit_change(server, change);
        }
    }

    loopback_block addresses_;
    asio::io_context loop_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::size_t next_ = 0;
};

constexpr double limit = 2.3;
constexpr millirequests_per_second limit_rate(2300);

/// All hosts get a request at the same moment, once a second.
void demand_from_all(limit_fleet& fleet, int times)
{
    for (int n = 0; n < times; ++n)
    {
        fleet.request_at_all();
        fleet.run_for(1s);
    }
}

double peak(const limit_fleet& fleet, instant stated_at, double per_second)
{
    return static_cast<double>(peak_arrivals(fleet.arrivals, stated_at, instant::max())) /
           allowed_arrivals(per_second);
}

std::ptrdiff_t arrivals_after(const limit_fleet& fleet, instant from)
{
    return std::count_if(fleet.arrivals.begin(), fleet.arrivals.end(),
                         [&](instant at) { return at >= from; });
}

} // namespace

TEST_CASE("81 hosts together keep to the limit that a server states")
{
    limit_fleet fleet(81);
    fleet.run_for(1500ms);
    fleet.request_in_turn(1s, 7);
    instant stated_at = fleet.now();
    fleet.stated = limit_rate;
    fleet.request_in_turn(300ms, 7);

    SECTION("one request of each at the same moment, again and again")
    {
        demand_from_all(fleet, 7);
        CHECK(peak(fleet, stated_at, limit) <= 1);
        CHECK(fleet.refused > 400);
        CHECK(fleet.expired == 0);
        // What the server takes is used.
        CHECK(static_cast<double>(arrivals_after(fleet, stated_at + 4s)) > 0.7 * limit * 3);
    }
    SECTION("with one datagram in twenty lost")
    {
        fleet.loss_divisor = 20;
        demand_from_all(fleet, 7);
        CHECK(peak(fleet, stated_at, limit) <= 1);
    }
}

TEST_CASE("81 hosts keep to a limit through cuts and the loss of the host that grants permits")
{
    limit_fleet fleet(81);
    fleet.run_for(1500ms);
    fleet.request_in_turn(1s, 7);
    instant stated_at = fleet.now();
    fleet.stated = limit_rate;
    fleet.request_in_turn(300ms, 7);
    demand_from_all(fleet, 3);

    SECTION("halves that are cut off from each other")
    {
        fleet.cut_at = 40;
        demand_from_all(fleet, 6);
        CHECK(peak(fleet, stated_at, limit) <= 1);
    }
    SECTION("the granter dies")
    {
        std::vector<host_id> hosts;
        for (std::size_t n = 0; n < fleet.size(); ++n)
        {
            hosts.push_back(fleet.context(n).settings.name);
        }
        fleet.dead.insert(fleet.index_of(permit_granter(server, hosts)));
        instant died_at = fleet.now();
        demand_from_all(fleet, 6);
        CHECK(peak(fleet, stated_at, limit) <= 1);
        CHECK(arrivals_after(fleet, died_at + 3s) > 3);
    }
}

TEST_CASE("A permit that ran out while its host was paused is not used")
{
    limit_fleet fleet(3);
    fleet.run_for(1500ms);
    fleet.stated = limit_rate;
    fleet.request_in_turn(1s, 5);
    fleet.run_for(3s);
    auto refused_before = fleet.refused;
    // The first permit is used at once, the second one is due after the pause has begun.
    fleet.request_at_all();
    fleet.run_for(100ms);
    auto before = fleet.arrivals.size();
    std::this_thread::sleep_for(2s);
    fleet.run_for(1s);
    CHECK(fleet.arrivals.size() == before);
    CHECK(fleet.expired == 1);
    CHECK(fleet.refused == refused_before + 1);
}

TEST_CASE("81 hosts follow a limit that falls, rises, ends, and a server reborn without one")
{
    limit_fleet fleet(81);
    fleet.run_for(1500ms);
    fleet.stated = millirequests_per_second(20000);
    fleet.request_in_turn(1s, 20);
    instant stated_at = fleet.now();
    demand_from_all(fleet, 3);

    SECTION("it falls")
    {
        fleet.stated = limit_rate;
        instant fell_at = fleet.now();
        demand_from_all(fleet, 8);
        CHECK(peak(fleet, stated_at, 20) <= 1);
        CHECK(peak(fleet, fell_at + 1s, limit) <= 1);
    }
    SECTION("it ends")
    {
        fleet.stated = std::nullopt;
        fleet.request_in_turn(1s, 20);
        instant ended_at = fleet.now();
        fleet.request_in_turn(2s, 60);
        CHECK(arrivals_after(fleet, ended_at) > 100);
    }
    SECTION("the server is reborn under its id")
    {
        fleet.stated = std::nullopt;
        fleet.start_time_ms = 2;
        for (std::size_t n = 0; n < fleet.size(); ++n)
        {
            fleet.context(n).servers.apply_entry(entry_of(2), fleet.now());
        }
        instant reborn_at = fleet.now();
        fleet.request_in_turn(2s, 60);
        CHECK(arrivals_after(fleet, reborn_at) > 100);
    }
}
