#include "serve/domain_reports.hpp"

#include "coordination/domain_reporters.hpp"

namespace banyanshunt
{

namespace
{

/// Size at which a datagram with bundled messages is complete: the loss of one of its packets loses
/// all of it.
constexpr std::size_t bundle_bytes = 4096;

/// The part of a message that concerns hosts of other domains.
peers::peer_message header_of(const peers::peer_message& from, const std::string& address)
{
    peers::peer_message to;
    to.set_host(from.host());
    to.set_domain(from.domain());
    to.set_life(from.life());
    to.set_relayed(peers::passed_on);
    to.set_address(address);
    return to;
}

} // namespace

void domain_reports::keep(const peers::peer_message& message, const std::string& address)
{
    instant now = context_.now();
    if (message.has_report())
    {
        auto kept = header_of(message, address);
        *kept.mutable_report() = message.report();
        kept.mutable_report()->set_complete(true);
        for (auto& server : *kept.mutable_report()->mutable_servers())
        {
            server.clear_units();
        }
        *kept.mutable_limits() = message.limits();
        *kept.mutable_leaving() = message.leaving();
        *kept.mutable_prompt_crashes() = message.prompt_crashes();
        *kept.mutable_sound_parts() = message.sound_parts();
        reports_[host_id(message.host())] = {.message = std::move(kept), .at = now};
    }
    for (const auto& placement : message.placements())
    {
        auto kept = header_of(message, address);
        *kept.add_placements() = placement;
        placements_[server_id(placement.server())] = {.message = std::move(kept), .at = now};
    }
}

void domain_reports::expire(milliseconds reports, milliseconds placements)
{
    instant now = context_.now();
    std::erase_if(reports_, [&](const auto& it) { return now - it.second.at > reports; });
    std::erase_if(placements_, [&](const auto& it) { return now - it.second.at > placements; });
}

std::vector<peers::peer_message> domain_reports::take_due(const peers::peer_message& own_report,
                                                          const peer_list& peers)
{
    std::vector<host_id> live;
    for (const auto& [host, it] : reports_)
    {
        if (host != context_.settings.name)
        {
            live.push_back(host);
        }
    }
    switch (choose_reporter_role(context_.settings.domain, context_.settings.name, live))
    {
    case reporter_role::self:
        return {own_report};
    case reporter_role::none:
        return {};
    case reporter_role::domain:
        break;
    }
    keep(own_report, peers.own_address());
    // All hosts of the domain know the same bans.
    *reports_.at(context_.settings.name).message.mutable_banned_parts() = own_report.banned_parts();
    bool its_turn = ++periods_ % static_cast<int>(reporters_per_domain) == 0;
    return its_turn ? bundle(peers) : std::vector<peers::peer_message>();
}

std::vector<peers::peer_message> domain_reports::bundle(const peer_list& peers) const
{
    instant now = context_.now();
    std::vector<peers::peer_message> bundles;
    std::size_t bytes = bundle_bytes;
    auto add = [&](const kept_message& kept)
    {
        if (bytes >= bundle_bytes)
        {
            bundles.push_back(peers.new_message());
            bytes = 0;
        }
        auto& to = *bundles.back().add_bundled();
        to = kept.message;
        auto age = std::chrono::floor<milliseconds>(now - kept.at);
        to.set_age_ms(static_cast<std::uint32_t>(age.count()));
        bytes += to.ByteSizeLong();
    };
    for (const auto& [host, kept] : reports_)
    {
        add(kept);
    }
    for (const auto& [server, kept] : placements_)
    {
        add(kept);
    }
    return bundles;
}

} // namespace banyanshunt
