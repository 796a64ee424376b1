#pragma once

/// \file
/// gRPC between our own processes: a server for the services of this process and channels to those
/// of others, both with mutual TLS where the settings name keys.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "state/units.hpp"
#include "state/verdict.hpp"

namespace grpc
{
class Channel;
class Service;
class Status;
class ClientContext;
} // namespace grpc

namespace banyanshunt
{

/// Keys for mutual authentication between our processes, as PEM text.
struct peer_credentials
{
    std::string authority;
    std::string certificate;
    std::string private_key;
};

struct peer_server_options
{
    /// IP address and port; port 0 selects a free one.
    std::string address = "127.0.0.1:0";
    /// Nothing means plaintext connections, which the settings must request explicitly.
    std::optional<peer_credentials> credentials;
    /// The services to offer; they must outlive the server.
    std::vector<grpc::Service*> services;
};

/// Serves from construction to destruction.
class peer_server
{
public:
    explicit peer_server(const peer_server_options& options);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// IP address and the port in use, or empty if the address could not be bound.
    const std::string& address() const { return address_; }

private:
    struct impl;
    std::unique_ptr<impl> impl_;
    std::string address_;
};

/// Opens channels to peers and keeps one for each address.
class peer_channels
{
public:
    explicit peer_channels(const std::optional<peer_credentials>& credentials);
    ~peer_channels();
    peer_channels(const peer_channels&) = delete;
    peer_channels& operator=(const peer_channels&) = delete;

    std::shared_ptr<grpc::Channel> get(const std::string& address);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Sets the deadline of a call to `limit` from now.
void set_deadline(grpc::ClientContext& context, milliseconds limit);

/// Converts the status of a failed call to a failure. gRPC does not report whether a lost call was
/// sent, so only an explicit refusal by the peer counts as `not_run`.
failure failure_of(const grpc::Status& status);

} // namespace banyanshunt
