#include "transport/state_relay.hpp"

#include <grpcpp/grpcpp.h>

#include "protocol/state_codec.hpp"
#include "state/errors.hpp"
#include "state_relay.grpc.pb.h"

namespace banyanshunt
{
namespace
{

wire::heartbeat to_wire(const heartbeat& it)
{
    wire::heartbeat out;
    out.set_host(it.host.str());
    out.set_role(it.role);
    out.set_life(it.incarnation.count());
    out.set_domain(it.domain.str());
    out.set_peer_address(it.peer_address);
    out.set_admin_address(it.admin_address);
    out.set_leaving(it.leaving);
    out.set_through(it.next_offset.count());
    out.set_last_ticket(it.last_ticket.count());
    out.set_view_age(it.view_age ? it.view_age->count() + 1 : 0);
    return out;
}

heartbeat from_wire(const wire::heartbeat& in)
{
    heartbeat out{.host = host_id(in.host()),
                  .role = in.role(),
                  .incarnation = incarnation_id(in.life()),
                  .domain = domain_id(in.domain()),
                  .peer_address = in.peer_address(),
                  .admin_address = in.admin_address(),
                  .leaving = in.leaving(),
                  .next_offset = log_offset(in.through()),
                  .last_ticket = ticket_number(in.last_ticket()),
                  .view_age = {}};
    if (in.view_age() > 0)
    {
        out.view_age = milliseconds(in.view_age() - 1);
    }
    return out;
}

class state_relay_impl final : public wire::state_relay::Service
{
public:
    explicit state_relay_impl(exchange_handler handler) : handler_(std::move(handler)) {}

    grpc::Status exchange(grpc::ServerContext*, const wire::heartbeat* request,
                          grpc::ServerWriter<wire::exchange_piece>* writer) override
    {
        auto response = handler_(from_wire(*request));
        wire::exchange_piece first;
        *first.mutable_said() = to_wire(response.responder);
        bool open = writer->Write(first);
        if (!response.delta)
        {
            return grpc::Status::OK;
        }
        for (const auto& chunk : encode_delta(*response.delta))
        {
            wire::exchange_piece message;
            message.set_delta_part(chunk);
            open = open && writer->Write(message);
        }
        return grpc::Status::OK;
    }

private:
    exchange_handler handler_;
};

} // namespace

struct state_relay_service::impl
{
    explicit impl(exchange_handler handler) : service(std::move(handler)) {}

    state_relay_impl service;
};

state_relay_service::state_relay_service(exchange_handler handler)
    : impl_(std::make_unique<impl>(std::move(handler)))
{
}

state_relay_service::~state_relay_service() = default;

grpc::Service* state_relay_service::service()
{
    return &impl_->service;
}

verdict<exchange_response> exchange_heartbeats(peer_channels& channels, const std::string& address,
                                               const heartbeat& it, milliseconds limit)
{
    grpc::ClientContext context;
    set_deadline(context, limit);
    auto stub = wire::state_relay::NewStub(channels.get(address));
    auto request = to_wire(it);
    auto reader = stub->exchange(&context, request);
    exchange_response response;
    response.bytes = request.ByteSizeLong();
    delta_assembler assembler;
    bool chunks_valid = true;
    wire::exchange_piece message;
    while (reader->Read(&message))
    {
        response.bytes += message.ByteSizeLong();
        if (message.has_said())
        {
            response.responder = from_wire(message.said());
        }
        if (!message.delta_part().empty())
        {
            chunks_valid = chunks_valid && assembler.add(message.delta_part()).has_value();
        }
    }
    auto status = reader->Finish();
    if (!status.ok())
    {
        return failure_of(status);
    }
    if (response.responder.host.empty())
    {
        return failure{.run = run_state::may_have_run,
                       .code = errc::bad_answer,
                       .detail =
                           "the peer at " + address + " sent a response without its host name",
                       .retry_after = {}};
    }
    if (chunks_valid && assembler.complete())
    {
        response.delta = assembler.delta();
    }
    return response;
}

} // namespace banyanshunt
