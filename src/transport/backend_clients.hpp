#pragma once

/// \file
/// HTTP clients of backend servers: model engines and plain services.

#include "coordination/model_engine.hpp"
#include "coordination/plain_service.hpp"
#include "transport/http_client.hpp"

namespace banyanshunt
{

/// Calls model engines, each named by its address.
class http_model_engine
{
public:
    explicit http_model_engine(http_client& http) : http_(http) {}

    verdict<completion_end> complete(const std::string& address, const completion_request& request,
                                     milliseconds read_timeout, const token_sink& sink);
    verdict<completion_end> resume(const std::string& address, const request_id& id,
                                   std::int64_t position, milliseconds read_timeout,
                                   const token_sink& sink);
    verdict<done> cancel(const std::string& address, const request_id& id);
    verdict<done> order(const std::string& address, const engine_order& it);
    verdict<engine_report> read_back(const std::string& address);
    verdict<load_report> fetch_load(const std::string& address);

private:
    verdict<completion_end> read_tokens(const http_call& call, const request_id& id,
                                        std::int64_t position, const token_sink& sink);

    http_client& http_;
};

/// Calls plain services, each named by its address. Sends each call at most once.
class http_plain_service
{
public:
    explicit http_plain_service(http_client& http) : http_(http) {}

    verdict<service_response> call(const std::string& address, const service_call& it,
                                   milliseconds limit);

private:
    http_client& http_;
};

static_assert(model_engine<http_model_engine>);
static_assert(plain_service<http_plain_service>);

} // namespace banyanshunt
