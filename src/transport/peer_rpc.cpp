#include "transport/peer_rpc.hpp"

#include <map>
#include <mutex>

#include <grpcpp/grpcpp.h>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

std::shared_ptr<grpc::ServerCredentials>
server_credentials(const std::optional<peer_credentials>& keys)
{
    if (!keys)
    {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions options(
        GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = keys->authority;
    options.pem_key_cert_pairs.push_back({keys->private_key, keys->certificate});
    return grpc::SslServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials>
channel_credentials(const std::optional<peer_credentials>& keys)
{
    if (!keys)
    {
        return grpc::InsecureChannelCredentials();
    }
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = keys->authority;
    options.pem_cert_chain = keys->certificate;
    options.pem_private_key = keys->private_key;
    return grpc::SslCredentials(options);
}

} // namespace

struct peer_server::impl
{
    std::unique_ptr<grpc::Server> server;
};

peer_server::peer_server(const peer_server_options& options) : impl_(std::make_unique<impl>())
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(options.address, server_credentials(options.credentials), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    for (auto* service : options.services)
    {
        builder.RegisterService(service);
    }
    impl_->server = builder.BuildAndStart();
    if (impl_->server && port > 0)
    {
        address_ = options.address.substr(0, options.address.rfind(':') + 1) + std::to_string(port);
    }
}

peer_server::~peer_server()
{
    if (impl_->server)
    {
        constexpr auto shutdown_timeout = std::chrono::seconds(1);
        impl_->server->Shutdown(std::chrono::system_clock::now() + shutdown_timeout);
    }
}

struct peer_channels::impl
{
    std::mutex mutex;
    std::shared_ptr<grpc::ChannelCredentials> credentials;
    std::map<std::string, std::shared_ptr<grpc::Channel>> channels;
};

peer_channels::peer_channels(const std::optional<peer_credentials>& credentials)
    : impl_(std::make_unique<impl>())
{
    impl_->credentials = channel_credentials(credentials);
}

peer_channels::~peer_channels() = default;

std::shared_ptr<grpc::Channel> peer_channels::get(const std::string& address)
{
    std::lock_guard lock(impl_->mutex);
    auto& channel = impl_->channels[address];
    if (!channel)
    {
        grpc::ChannelArguments arguments;
        constexpr int max_backoff_ms = 500;
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_backoff_ms);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, max_backoff_ms / 5);
        // Only one layer retries, and it is not the transport.
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        channel = grpc::CreateCustomChannel(address, impl_->credentials, arguments);
    }
    return channel;
}

void set_deadline(grpc::ClientContext& context, milliseconds limit)
{
    context.set_deadline(std::chrono::system_clock::now() + limit);
}

failure failure_of(const grpc::Status& status)
{
    bool refused = status.error_code() == grpc::StatusCode::FAILED_PRECONDITION ||
                   status.error_code() == grpc::StatusCode::INVALID_ARGUMENT;
    bool timed_out = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    return {.run = refused ? run_state::not_run : run_state::may_have_run,
            .code = timed_out ? errc::timeout : errc::unreachable,
            .detail = status.error_message(),
            .retry_after = {}};
}

} // namespace banyanshunt
