#pragma once

/// \file
/// HTTP clients of the platform's services.

#include "coordination/host_list.hpp"
#include "coordination/log_service.hpp"
#include "coordination/weight_store.hpp"
#include "transport/http_client.hpp"

namespace banyanshunt
{

/// The log service at one address.
class http_log_service
{
public:
    /// `timeout` bounds each call, in addition to the wait that a read requests.
    http_log_service(http_client& http, std::string address, milliseconds timeout)
        : http_(http), address_(std::move(address)), timeout_(timeout)
    {
    }

    verdict<log_offset> append(const stream_name& stream, std::span<const log_entry> batch);
    verdict<log_page> read(const stream_name& stream, log_offset from, std::size_t limit,
                           milliseconds wait);

private:
    http_client& http_;
    std::string address_;
    milliseconds timeout_;
};

/// The host list at one address.
class http_host_list
{
public:
    http_host_list(http_client& http, std::string address)
        : http_(http), address_(std::move(address))
    {
    }

    verdict<std::vector<listed_host>> hosts();

private:
    http_client& http_;
    std::string address_;
};

/// The weight store at one address.
class http_weight_store
{
public:
    http_weight_store(http_client& http, std::string address)
        : http_(http), address_(std::move(address))
    {
    }

    verdict<weight_store_limits> limits();

private:
    http_client& http_;
    std::string address_;
};

static_assert(log_service<http_log_service>);
static_assert(host_list<http_host_list>);
static_assert(weight_store<http_weight_store>);

} // namespace banyanshunt
