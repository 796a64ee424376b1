/// \file
/// Guards, on complete entry hosts, against callers that get the response to an earlier call, which
/// a server wrote once more: "not run" for a completion that ran, or another caller's answer.

#include <map>
#include <mutex>

#include "request_fleet.hpp"
#include "stand_ins/raw_server.hpp"

using namespace banyanshunt;
using Catch::Contains;

namespace
{

constexpr milliseconds give_up_after(400);

bool begins(const std::string& request, const char* call)
{
    return request.starts_with(call);
}

std::string body_of(const std::string& request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

/// An engine that refuses the first completion, runs all others, and writes its response to a
/// completion once more in front of the response to the next one on the same connection.
class copying_engine
{
public:
    const std::string& address() const { return server_.address(); }
    int runs() const
    {
        std::lock_guard lock(mutex_);
        return runs_;
    }
    int refusals() const
    {
        std::lock_guard lock(mutex_);
        return refusals_;
    }

private:
    raw_response respond(int connection, const std::string& request)
    {
        std::lock_guard lock(mutex_);
        if (begins(request, "GET /engine/report"))
        {
            return {.bytes = http_text(200, encode_engine_report(report_))};
        }
        if (begins(request, "POST /engine/orders"))
        {
            take_order(body_of(request));
            return {.bytes = http_text(200, "{}")};
        }
        if (begins(request, "POST /engine/completions"))
        {
            std::string own = complete(body_of(request));
            return {.bytes = std::exchange(earlier_[connection], own) + own};
        }
        return {.bytes = http_text(404, "{}")};
    }
    void take_order(const std::string& body)
    {
        auto order = decode_order(body);
        if (!order)
        {
            return;
        }
        report_.fencing = order->fencing;
        if (order->kind == order_kind::load_model)
        {
            report_.replicas = {{.model = order->model,
                                 .version = order->version,
                                 .phase = replica_phase::ready,
                                 .memory = order->memory,
                                 .adapters = {},
                                 .adapters_loading = {}}};
            report_.memory_used = order->memory;
        }
    }
    std::string complete(const std::string& body)
    {
        auto request = decode_engine_request(body);
        if (!request || refusals_ == 0)
        {
            ++refusals_;
            return http_text(503, "{}");
        }
        ++runs_;
        engine_event token{.token = {.id = request->id, .position = 0, .text = "ran"}, .end = {}};
        engine_event last{.token = {.id = request->id, .position = 1, .text = {}},
                          .end = completion_end{
                              .prompt_tokens = 1, .completion_tokens = 1, .finish_reason = "stop"}};
        return http_text(200, "data: " + encode_engine_event(token) +
                                  "\n\ndata: " + encode_engine_event(last) + "\n\n");
    }

    mutable std::mutex mutex_;
    engine_report report_{.incarnation = incarnation_id(1),
                          .memory_total = mebibytes(80000),
                          .memory_used = {},
                          .fencing = {},
                          .replicas = {},
                          .cached = {}};
    int refusals_ = 0;
    int runs_ = 0;
    std::map<int, std::string> earlier_;
    raw_server server_{[this](int connection, int, const std::string& request)
                       { return respond(connection, request); }};
};

/// A service that answers each call with its body, and writes its answer once more in front of the
/// answer to the next call on the same connection.
class copying_service
{
public:
    const std::string& address() const { return server_.address(); }

private:
    raw_response respond(int connection, const std::string& request)
    {
        std::lock_guard lock(mutex_);
        std::string own = http_text(200, "for " + body_of(request));
        return {.bytes = std::exchange(earlier_[connection], own) + own};
    }

    std::mutex mutex_;
    std::map<int, std::string> earlier_;
    raw_server server_{[this](int connection, int, const std::string& request)
                       { return respond(connection, request); }};
};

} // namespace

TEST_CASE("A completion that ran is not answered with the copy of an earlier refusal")
{
    copying_engine engine;
    request_fleet fleet;
    // The first engine has no room for the model.
    fleet.publish(
        ticket_text(2, {{"models", R"({"rare":{"version":"v1","memory_mib":70000,"replicas":1}})"},
                        {"servers", server_text("copying", "engine", engine.address())}}));
    fleet.wait_for_ticket(fleet.north, 2);
    std::string body = R"({"model":"rare","prompt":"swap","max_tokens":1})";

    for (int i = 0; engine.refusals() == 0 && i < 20; ++i)
    {
        (void)fleet.post(fleet.north, "/v1/completions", body,
                         {{"X-Deadline-Ms", std::to_string(give_up_after.count())}});
    }
    REQUIRE(engine.refusals() == 1);
    int runs_before = engine.runs();
    for (int i = 1; i <= 3; ++i)
    {
        auto response = fleet.post(fleet.north, "/v1/completions", body);
        CHECK(response.status == 200);
        CHECK_THAT(response.body, Contains("ran") && !Contains("not_run"));
        CHECK(engine.runs() == runs_before + i);
    }
}

TEST_CASE("A caller does not get the copy of the answer to another caller's call")
{
    copying_service service;
    request_fleet fleet;
    fleet.publish(ticket_text(
        2, {{"servers", server_text("copying", "service", service.address())},
            {"routes", R"({"quotes":{"prefix":"/quotes","servers":["copying"],"open":true,
                "repeatable":true},
                "deposits":{"prefix":"/deposits","servers":["copying"],"open":true}})"}}));
    fleet.wait_for_ticket(fleet.north, 2);

    for (const char* path : {"/quotes", "/deposits"})
    {
        for (const char* caller : {"a", "b", "c"})
        {
            INFO(path);
            auto response = fleet.post(fleet.north, path, caller);
            CHECK(response.status == 200);
            CHECK(response.body == std::string("for ") + caller);
        }
    }
}
