#pragma once

/// \file
/// A host that receives the real datagrams of hosts of another failure domain, which the test
/// writes.

#include <string>

#include "peers.pb.h"
#include "serve/peer_service.hpp"
#include "stand_ins/loopback_block.hpp"

namespace banyanshunt
{

inline const server_id server("s1");
inline constexpr std::int64_t start_time = 1;
inline constexpr int peer_port = 17600;

/// The address of a host.
inline std::string address_of(int host)
{
    static const loopback_block addresses;
    return addresses.address(host);
}
/// One host, without callers and without a store, that receives datagrams of other hosts.
class receiving_host
{
public:
    receiving_host()
        : context(settings(), loop_.get_executor()), watcher_(context), service_(context, watcher_),
          north_(loop_, {asio::ip::make_address_v4(address_of(2)), peer_port})
    {
        backend_entry entry;
        entry.id = server;
        entry.start_time_ms = start_time;
        context.servers.apply_entry(entry, context.now());
        context.resources = &service_;
        service_.start();
    }

    static host_settings settings()
    {
        host_settings to;
        to.name = host_id("south-1");
        to.domain = domain_id("south");
        to.ip = address_of(1);
        to.first_peer_port = peer_port;
        // No store listens there.
        to.log.address = endpoint_text(address_of(1) + ":1");
        return to;
    }
    static peers::peer_message message_of(const char* host)
    {
        peers::peer_message message;
        message.set_host(host);
        message.set_domain("north");
        message.set_life(7);
        return message;
    }
    /// Puts a message of "north-1" into a datagram of "north-2", which kept it for `age`.
    static peers::peer_message forwarded(const peers::peer_message& message, milliseconds age)
    {
        auto bundle = message_of("north-2");
        auto& to = *bundle.add_bundled();
        to = message;
        to.set_relayed(peers::passed_on);
        to.set_address(address_of(3) + ":" + std::to_string(peer_port));
        to.set_age_ms(static_cast<std::uint32_t>(age.count()));
        return bundle;
    }
    /// Returns whether the datagram has been handled.
    bool receive(peers::peer_message message)
    {
        // Its last part is a host that was not heard before.
        auto marker = "marker-" + std::to_string(++markers_);
        *message.add_bundled() = forwarded(message_of(marker.c_str()), milliseconds(0)).bundled(0);
        auto bytes = message.SerializeAsString();
        north_.send_to(asio::buffer(bytes), {asio::ip::make_address_v4(address_of(1)), peer_port});
        auto hosts = context.host_count;
        run_until([&] { return context.host_count != hosts; });
        return context.host_count > hosts;
    }

    /// Runs the host until `done` returns true, or for two seconds.
    template <class Predicate>
    void run_until(const Predicate& done)
    {
        for (int n = 0; n < 200 && !done(); ++n)
        {
            loop_.run_for(std::chrono::milliseconds(10));
        }
    }
    /// The socket of "north-2", on the host's loop.
    asio::ip::udp::socket& north() { return north_; }

private:
    asio::io_context loop_{1};

public:
    host_context context;

private:
    state_watcher watcher_;
    peer_service service_;
    asio::ip::udp::socket north_;
    int markers_ = 0;
};

} // namespace banyanshunt
