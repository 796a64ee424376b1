#include "serve/peer_list.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "peers.pb.h"
#include "state/elapsed_time.hpp"

namespace banyanshunt
{

using asio::ip::udp;

namespace
{

/// A host registers every 30 s; one that missed three registrations counts as gone.
constexpr milliseconds listing_ttl{100000};

bool is_known(const peer& it, instant now)
{
    return now - it.listed_at < listing_ttl || now - it.received_at < listing_ttl;
}

} // namespace

void peer_list::open()
{
    boost::system::error_code ec;
    auto address = asio::ip::make_address_v4(context_.settings.ip, ec);
    socket.open(udp::v4(), ec);
    socket.bind({address, static_cast<std::uint16_t>(context_.settings.first_peer_port)}, ec);
    if (ec)
    {
        context_.log.write("listen_failed", "address={}:{} detail=\"{}\"", context_.settings.ip,
                           context_.settings.first_peer_port, ec.message());
    }
}

std::string peer_list::own_address() const
{
    return fmt::format("{}:{}", context_.settings.ip, context_.settings.first_peer_port);
}

peers::peer_message peer_list::new_message() const
{
    peers::peer_message message;
    message.set_host(context_.settings.name.str());
    message.set_domain(context_.settings.domain.str());
    message.set_life(static_cast<std::uint64_t>(context_.incarnation.count()));
    message.set_stopping(context_.stop.has_value());
    if (context_.last_late_order)
    {
        auto age = std::max(milliseconds(1), elapsed_ms(*context_.last_late_order, context_.now()));
        // Older ones concern no claim.
        if (age < 2 * context_.settings.bounds.order_delay)
        {
            message.set_late_order_age_ms(static_cast<std::uint32_t>(age.count()));
        }
    }
    return message;
}

void peer_list::send(const peer& to, const peers::peer_message& message)
{
    std::string bytes = message.SerializeAsString();
    boost::system::error_code ec;
    socket.send_to(asio::buffer(bytes), to.address, 0, ec);
}

std::size_t peer_list::count_hosts(instant now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
                                                      [&](const auto& it)
                                                      { return is_known(it.second, now); }));
}

std::vector<known_host> peer_list::known_hosts(instant now) const
{
    std::vector<known_host> hosts{
        {.it = {.host = context_.settings.name, .domain = context_.settings.domain}, .live = true}};
    for (const auto& [host, it] : all)
    {
        if (is_known(it, now))
        {
            bool just_listed = now - it.listed_at < context_.servers.options().owner_ttl;
            hosts.push_back({.it = {.host = host, .domain = it.domain},
                             .live = just_listed || in_touch(it, now),
                             .stopping = it.stopping});
        }
    }
    return hosts;
}

bool peer_list::in_touch(const peer& it, instant now) const
{
    return now - it.received_at < context_.servers.options().owner_ttl;
}

std::size_t peer_list::count_in_touch(instant now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
                                                      [&](const auto& it)
                                                      { return in_touch(it.second, now); }));
}

} // namespace banyanshunt
