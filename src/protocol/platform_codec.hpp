#pragma once

/// \file
/// The JSON of the platform's services and the model engines; docs/INTERFACES.md has the complete
/// contract. Clients and stand-ins share it, so that each format is defined once.

#include <string>
#include <vector>

#include "coordination/host_list.hpp"
#include "coordination/log_service.hpp"
#include "coordination/model_engine.hpp"
#include "coordination/weight_store.hpp"

namespace banyanshunt
{

/// The name of an order's kind, such as "load_model".
const char* to_string(order_kind kind);

std::string encode_append_request(std::span<const log_entry> batch);
verdict<std::vector<log_entry>> decode_append_request(const std::string& body);
std::string encode_append_response(log_offset first);
verdict<log_offset> decode_append_response(const std::string& body);
std::string encode_page(const log_page& page);
verdict<log_page> decode_page(const std::string& body);

std::string encode_hosts(const std::vector<listed_host>& hosts);
verdict<std::vector<listed_host>> decode_hosts(const std::string& body);

std::string encode_limits(const weight_store_limits& limits);
verdict<weight_store_limits> decode_limits(const std::string& body);

std::string encode_order(const engine_order& order);
verdict<engine_order> decode_order(const std::string& body);
std::string encode_engine_report(const engine_report& report);
verdict<engine_report> decode_engine_report(const std::string& body);
std::string encode_load_report(const load_report& report);
verdict<load_report> decode_load_report(const std::string& body);

std::string encode_engine_request(const completion_request& request);
verdict<completion_request> decode_engine_request(const std::string& body);

/// One event of an engine's stream: a token or the end.
struct engine_event
{
    stream_token token;
    std::optional<completion_end> end;
};

std::string encode_engine_event(const engine_event& event);
verdict<engine_event> decode_engine_event(const std::string& data);

} // namespace banyanshunt
