#include "transport/placement_link.hpp"

#include <algorithm>

#include <grpcpp/grpcpp.h>

#include "placement.grpc.pb.h"

namespace banyanshunt
{
namespace
{

wire::demand_request to_wire(const demand& it, instant now)
{
    wire::demand_request out;
    out.set_host(it.host.str());
    out.set_domain(it.domain.str());
    for (const auto& need : it.needs)
    {
        auto left = std::chrono::duration_cast<milliseconds>(need.deadline - now);
        wire::need* to = out.add_needs();
        to->set_model(need.model.str());
        to->set_adapter(need.adapter.str());
        to->set_waiting(need.waiting);
        to->set_patience_ms(std::max<std::int64_t>(left.count(), 0));
        to->set_workspace(need.workspace.str());
    }
    return out;
}

demand from_wire(const wire::demand_request& in, instant now)
{
    demand out{.host = host_id(in.host()), .domain = domain_id(in.domain()), .needs = {}};
    for (const auto& need : in.needs())
    {
        out.needs.push_back({.model = model_id(need.model()),
                             .adapter = adapter_id(need.adapter()),
                             .waiting = need.waiting(),
                             .deadline = now + milliseconds(need.patience_ms()),
                             .workspace = workspace_id(need.workspace())});
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

class placement_impl final : public wire::placement::Service
{
public:
    explicit placement_impl(demand_handler handler) : handler_(std::move(handler)) {}

    grpc::Status demand(grpc::ServerContext*, const wire::demand_request* request,
                        wire::demand_reply* reply) override
    {
        auto answer = handler_(from_wire(*request, boot_clock().now()));
        reply->set_placer(answer.placer.str());
        for (const auto& server : answer.servers)
        {
            write_server(*reply->add_servers(), server);
        }
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

verdict<placement_answer> send_demand(peer_channels& channels, const std::string& address,
                                      const demand& it, instant now, milliseconds limit)
{
    grpc::ClientContext context;
    set_deadline(context, limit);
    wire::demand_reply reply;
    auto stub = wire::placement::NewStub(channels.to(address));
    auto status = stub->demand(&context, to_wire(it, now), &reply);
    if (!status.ok())
    {
        return failure_of(status);
    }
    placement_answer answer{.placer = host_id(reply.placer()), .servers = {}};
    for (const auto& server : reply.servers())
    {
        answer.servers.push_back(read_server(server));
    }
    return answer;
}

} // namespace banyanshunt
