#include "transport/share_rpc.hpp"

#include <grpcpp/grpcpp.h>

#include "shares.grpc.pb.h"

namespace banyanshunt
{
namespace
{

void write_incarnation(wire::share_life& to, const host_incarnation& from)
{
    to.set_host(from.host.str());
    to.set_life(from.incarnation.count());
}

host_incarnation read_incarnation(const wire::share_life& from)
{
    return {.host = host_id(from.host()), .incarnation = incarnation_id(from.life())};
}

// Both messages begin with the sender and its read position in the log.
template <class Wire, class Message>
void write_header(Wire& to, const Message& from)
{
    write_incarnation(*to.mutable_from(), from.from);
    to.set_domain(from.domain.str());
    to.set_read(from.progress.read.count());
    to.set_cut(from.progress.cut.count());
    to.set_leaving(from.leaving);
}

template <class Message, class Wire>
Message read_header(const Wire& from)
{
    Message to;
    to.from = read_incarnation(from.from());
    to.domain = domain_id(from.domain());
    to.progress = {.read = log_offset(from.read()), .cut = log_offset(from.cut())};
    to.leaving = from.leaving();
    return to;
}

wire::share_call to_wire(const share_call& from)
{
    wire::share_call to;
    write_header(to, from);
    for (const auto& it : from.requests)
    {
        auto* request = to.add_asks();
        request->set_number(it.number.count());
        request->set_resource(it.resource.str());
        request->set_amount(it.amount.count());
        request->set_waited_ms(it.waited.count());
    }
    for (const auto& it : from.reports)
    {
        auto* report = to.add_reports();
        report->set_loan(it.loan.count());
        report->set_returned(it.returned.count());
    }
    for (const auto& it : from.refunds)
    {
        auto* refund = to.add_refunds();
        refund->set_number(it.number.count());
        refund->set_resource(it.resource.str());
        refund->set_amount(it.amount.count());
    }
    return to;
}

share_call from_wire(const wire::share_call& from)
{
    auto to = read_header<share_call>(from);
    for (const auto& it : from.asks())
    {
        to.requests.push_back({.number = share_number(it.number()),
                               .resource = resource_id(it.resource()),
                               .amount = millitokens(it.amount()),
                               .waited = milliseconds(it.waited_ms())});
    }
    for (const auto& it : from.reports())
    {
        to.reports.push_back(
            {.loan = share_number(it.loan()), .returned = millitokens(it.returned())});
    }
    for (const auto& it : from.refunds())
    {
        to.refunds.push_back({.number = share_number(it.number()),
                              .resource = resource_id(it.resource()),
                              .amount = millitokens(it.amount())});
    }
    return to;
}

void write_response(wire::share_reply& to, const share_response& from)
{
    write_header(to, from);
    for (const auto& it : from.loans)
    {
        auto* loan = to.add_loans();
        loan->set_ask(it.request.count());
        loan->set_loan(it.loan.count());
        loan->set_resource(it.resource.str());
        loan->set_amount(it.amount.count());
        loan->set_left(it.remaining.count());
    }
}

share_response from_wire(const wire::share_reply& from)
{
    auto to = read_header<share_response>(from);
    for (const auto& it : from.loans())
    {
        to.loans.push_back({.request = share_number(it.ask()),
                            .loan = share_number(it.loan()),
                            .resource = resource_id(it.resource()),
                            .amount = millitokens(it.amount()),
                            .remaining = millitokens(it.left())});
    }
    return to;
}

class service_impl final : public wire::shares::Service
{
public:
    explicit service_impl(share_call_handler handler) : handler_(std::move(handler)) {}

    grpc::Status call(grpc::ServerContext*, const wire::share_call* request,
                      wire::share_reply* reply) override
    {
        write_response(*reply, handler_(from_wire(*request)));
        return grpc::Status::OK;
    }

private:
    share_call_handler handler_;
};

} // namespace

struct share_service::impl
{
    explicit impl(share_call_handler handler) : service(std::move(handler)) {}

    service_impl service;
};

share_service::share_service(share_call_handler handler)
    : impl_(std::make_unique<impl>(std::move(handler)))
{
}

share_service::~share_service() = default;

grpc::Service* share_service::service()
{
    return &impl_->service;
}

std::size_t encoded_size(const share_call& it)
{
    return to_wire(it).ByteSizeLong();
}

std::size_t encoded_size(const share_response& it)
{
    wire::share_reply to;
    write_response(to, it);
    return to.ByteSizeLong();
}

verdict<share_response> send_share_call(peer_channels& channels, const std::string& address,
                                        const share_call& it, milliseconds limit)
{
    grpc::ClientContext context;
    set_deadline(context, limit);
    wire::share_reply reply;
    auto stub = wire::shares::NewStub(channels.get(address));
    auto status = stub->call(&context, to_wire(it), &reply);
    if (!status.ok())
    {
        return failure_of(status);
    }
    return from_wire(reply);
}

} // namespace banyanshunt
