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
        auto answer = handler_(from_wire(*request));
        wire::exchange_piece first;
        *first.mutable_said() = to_wire(answer.responder);
        bool open = writer->Write(first);
        if (!answer.delta)
        {
            return grpc::Status::OK;
        }
        for (const auto& part : encode_delta(*answer.delta))
        {
            wire::exchange_piece piece;
            piece.set_delta_part(part);
            open = open && writer->Write(piece);
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
    exchange_response answer;
    answer.bytes = request.ByteSizeLong();
    delta_assembler joiner;
    bool parts_good = true;
    wire::exchange_piece piece;
    while (reader->Read(&piece))
    {
        answer.bytes += piece.ByteSizeLong();
        if (piece.has_said())
        {
            answer.responder = from_wire(piece.said());
        }
        if (!piece.delta_part().empty())
        {
            parts_good = parts_good && joiner.add(piece.delta_part()).has_value();
        }
    }
    auto status = reader->Finish();
    if (!status.ok())
    {
        return failure_of(status);
    }
    if (answer.responder.host.empty())
    {
        return failure{.run = run_state::may_have_run,
                       .code = errc::bad_answer,
                       .detail = "the peer at " + address + " did not say who it is",
                       .retry_after = {}};
    }
    if (parts_good && joiner.complete())
    {
        answer.delta = joiner.delta();
    }
    return answer;
}

} // namespace banyanshunt
