#include "transport/placement_rpc.hpp"

#include <algorithm>

#include <grpcpp/grpcpp.h>

#include "placement.grpc.pb.h"

namespace banyanshunt
{
namespace
{

std::int64_t remaining_ms(instant until, instant now)
{
    return std::max<std::int64_t>(std::chrono::duration_cast<milliseconds>(until - now).count(), 0);
}

wire::demand_request to_wire(const demand& it, instant now)
{
    wire::demand_request out;
    out.set_reach(static_cast<wire::demand_reach>(it.hop));
    out.set_known(it.known_version);
    out.set_host(it.host.str());
    out.set_domain(it.domain.str());
    for (const auto& need : it.needs)
    {
        wire::need* to = out.add_needs();
        to->set_model(need.model.str());
        to->set_adapter(need.adapter.str());
        to->set_waiting(need.waiting);
        to->set_patience_ms(remaining_ms(need.deadline, now));
        to->set_last_patience_ms(remaining_ms(need.last_deadline, now));
        to->set_workspace(need.workspace.str());
    }
    return out;
}

// An unknown value, as from a newer version, maps to the last hop, so that the demand is not
// forwarded.
demand_hop hop_of(wire::demand_reach in)
{
    switch (in)
    {
    case wire::DEMAND_FROM_ENTRY:
        return demand_hop::from_entry;
    case wire::DEMAND_IN_DOMAIN:
        return demand_hop::in_domain;
    default:
        return demand_hop::from_domain;
    }
}

demand from_wire(const wire::demand_request& in, instant now)
{
    demand out{.host = host_id(in.host()),
               .domain = domain_id(in.domain()),
               .needs = {},
               .hop = hop_of(in.reach()),
               .known_version = in.known()};
    for (const auto& need : in.needs())
    {
        out.needs.push_back({.model = model_id(need.model()),
                             .adapter = adapter_id(need.adapter()),
                             .waiting = need.waiting(),
                             .deadline = now + milliseconds(need.patience_ms()),
                             .workspace = workspace_id(need.workspace()),
                             .last_deadline = now + milliseconds(need.last_patience_ms())});
    }
    return out;
}

void write_server(wire::placed_server& to, const placed_server& from)
{
    to.set_server(from.server.str());
    to.set_address(from.address);
    to.set_domain(from.domain.str());
    to.set_fencing(from.fencing.count());
    to.set_leaving(from.leaving);
    for (const auto& replica : from.replicas)
    {
        wire::replica* it = to.add_replicas();
        it->set_model(replica.model.str());
        it->set_version(replica.version.str());
        it->set_ready(replica.phase == replica_phase::ready);
        it->set_running(replica.running);
        for (const auto& adapter : replica.adapters)
        {
            it->add_adapters(adapter.str());
        }
    }
}

placed_server read_server(const wire::placed_server& from)
{
    placed_server to{.server = server_id(from.server()),
                     .address = from.address(),
                     .domain = domain_id(from.domain()),
                     .fencing = fencing_number(from.fencing()),
                     .leaving = from.leaving(),
                     .replicas = {}};
    for (const auto& it : from.replicas())
    {
        held_replica replica{.model = model_id(it.model()),
                             .version = version_id(it.version()),
                             .phase = it.ready() ? replica_phase::ready : replica_phase::loading,
                             .memory = {},
                             .adapters = {},
                             .adapters_loading = {},
                             .running = it.running()};
        for (const auto& adapter : it.adapters())
        {
            replica.adapters.emplace_back(adapter);
        }
        to.replicas.push_back(std::move(replica));
    }
    return to;
}

void write_response(wire::demand_reply& to, const placement_response& from, instant now)
{
    to.set_placer(from.placer.str());
    to.set_holder(from.lease_holder.str());
    to.set_version(from.version);
    to.set_unchanged(from.unchanged);
    for (const auto& server : from.servers)
    {
        write_server(*to.add_servers(), server);
    }
    for (const auto& it : from.expected)
    {
        wire::expected_load* load = to.add_expected();
        load->set_model(it.model.str());
        load->set_domain(it.domain.str());
        load->set_ready_in_ms(remaining_ms(it.ready_at, now));
    }
}

placement_response read_response(const wire::demand_reply& from, instant now)
{
    placement_response to{.placer = host_id(from.placer()),
                          .lease_holder = host_id(from.holder()),
                          .version = from.version(),
                          .unchanged = from.unchanged(),
                          .servers = {},
                          .expected = {}};
    for (const auto& server : from.servers())
    {
        to.servers.push_back(read_server(server));
    }
    for (const auto& it : from.expected())
    {
        to.expected.push_back({.model = model_id(it.model()),
                               .domain = domain_id(it.domain()),
                               .ready_at = now + milliseconds(it.ready_in_ms())});
    }
    return to;
}

class placement_impl final : public wire::placement::Service
{
public:
    explicit placement_impl(demand_handler handler) : handler_(std::move(handler)) {}

    grpc::Status demand(grpc::ServerContext*, const wire::demand_request* request,
                        wire::demand_reply* reply) override
    {
        instant now = boot_clock().now();
        auto response = handler_(from_wire(*request, now));
        write_response(*reply, response, now);
        return grpc::Status::OK;
    }

private:
    demand_handler handler_;
};

} // namespace

struct placement_service::impl
{
    explicit impl(demand_handler handler) : service(std::move(handler)) {}

    placement_impl service;
};

placement_service::placement_service(demand_handler handler)
    : impl_(std::make_unique<impl>(std::move(handler)))
{
}

placement_service::~placement_service() = default;

grpc::Service* placement_service::service()
{
    return &impl_->service;
}

verdict<placement_response> send_demand(peer_channels& channels, const std::string& address,
                                        const demand& it, instant now, milliseconds limit)
{
    grpc::ClientContext context;
    set_deadline(context, limit);
    wire::demand_reply reply;
    auto stub = wire::placement::NewStub(channels.get(address));
    auto status = stub->demand(&context, to_wire(it, now), &reply);
    if (!status.ok())
    {
        return failure_of(status);
    }
    return read_response(reply, boot_clock().now());
}

} // namespace banyanshunt
