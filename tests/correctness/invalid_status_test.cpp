// Servers whose responses have a status code that no final response to a request can have.

#include <catch2/catch.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "serve_case.hpp"
#include "stand_ins/raw_server.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const std::vector<std::string> invalid_statuses = {"000", "001", "099", "101", "600", "703", "999"};

std::string id_line(const std::string& request)
{
    constexpr std::string_view name = "X-Request-Id: ";
    auto from = request.find(name);
    return from == std::string::npos ? ""
                                     : request.substr(from, request.find("\r\n", from) + 2 - from);
}

/// A response whose fields make it the one to the request.
std::string response(const std::string& status, const std::string& request,
                     const std::string& more_fields = "")
{
    return fmt::format("HTTP/1.1 {} Odd\r\nX-Server-Stamp: d1\r\n{}{}Content-Length: 3\r\n\r\nodd",
                       status, id_line(request), more_fields);
}

void replace(serve_case& it, const backend_stand_in& from, const char* id, const char* service,
             const raw_server& to)
{
    auto entry = nlohmann::json::parse(from.registry_entry(service));
    entry["address"] = to.address();
    entry["sequence"] = 2;
    it.store.put("keyed.servers", id, entry.dump());
}

/// Serves "desk" or "models" with the raw server alone.
void serve_alone(serve_case& it, const char* service, const raw_server& server)
{
    bool engines = service == std::string("models");
    const auto& first = engines ? it.engine1 : it.desk1;
    const auto& second = engines ? it.engine2 : it.desk2;
    it.store.put("keyed.servers", engines ? "e2" : "d2", second.registry_entry(service, true));
    replace(it, first, engines ? "e1" : "d1", service, server);
    std::this_thread::sleep_for(1500ms);
}

} // namespace

TEST_CASE("A response with an invalid status is no answer to a request")
{
    serve_case it;
    REQUIRE(it.started);
    std::atomic<int> n = 0;
    std::string more_fields;
    std::string behind;
    raw_server server(
        [&](int, int, const std::string& text)
        {
            return raw_response{.bytes = response(invalid_statuses[static_cast<std::size_t>(n)],
                                                  text, more_fields) +
                                         (behind.empty() ? "" : response(behind, text))};
        });
    serve_alone(it, "desk", server);
    auto check_all = [&]
    {
        for (n = 0; n < static_cast<int>(invalid_statuses.size()); ++n)
        {
            INFO(invalid_statuses[static_cast<std::size_t>(n)]);
            int sent = server.requests();
            auto booked = it.send("POST", "/book/1", fmt::format("b{}", n), "good-key");
            CHECK(booked.status == 502);
            CHECK(booked.took < 1000ms);
            CHECK(server.requests() == sent + 1);
            CHECK(it.get("/read/1", fmt::format("r{}", n)).first == 502);
        }
        CHECK(it.scrape().find(fmt::format("banyanshunt_invalid_statuses_total {}\n",
                                           server.requests())) != std::string::npos);
    };

    SECTION("alone")
    {
        check_all();
    }
    SECTION("with the mark of a request that did not run")
    {
        more_fields = "X-Not-Executed: 1\r\nRetry-After: 5\r\n";
        check_all();
    }
    SECTION("before a response that would be an answer")
    {
        behind = "200";
        check_all();
    }
}

TEST_CASE("After a response with an invalid status, a request that may run twice gets another's")
{
    serve_case it;
    REQUIRE(it.started);
    raw_server server([](int, int, const std::string& text)
                      { return raw_response{.bytes = response("000", text)}; });
    replace(it, it.desk1, "d1", "desk", server);
    std::this_thread::sleep_for(1500ms);
    for (int n = 0; n < 6; ++n)
    {
        CHECK(it.get("/read/1", fmt::format("r{}", n)).first == 200);
    }
    CHECK(server.requests() > 0);
}

TEST_CASE("A response with an invalid status begins and resumes no stream")
{
    serve_case it;
    REQUIRE(it.started);
    std::atomic<int> n = 0;
    std::atomic<bool> begins = false;
    raw_server server(
        [&](int, int, const std::string& text)
        {
            const std::string events = "Content-Type: text/event-stream\r\n";
            if (begins && text.find("Last-Event-Id: ") == std::string::npos &&
                text.find("Last-Event-ID: ") == std::string::npos)
            {
                return raw_response{.bytes = fmt::format("HTTP/1.1 200 OK\r\nX-Server-Stamp: e1\r\n"
                                                         "{}{}Content-Length: 99\r\n\r\n"
                                                         "id: 1\ndata: token1\n\n",
                                                         id_line(text), events),
                                    .close = true};
            }
            return raw_response{
                .bytes = response(invalid_statuses[static_cast<std::size_t>(n)], text, events)};
        });
    serve_alone(it, "models", server);
    for (n = 0; n < static_cast<int>(invalid_statuses.size()); ++n)
    {
        INFO(invalid_statuses[static_cast<std::size_t>(n)]);
        begins = false;
        int sent = server.requests();
        CHECK(it.stream(fmt::format("s{}", n), "busy").first == 502);
        CHECK(server.requests() > sent);
        begins = true;
        auto cut = it.send("POST", "/guide/1", fmt::format("c{}", n), "good-key", "busy");
        CHECK(cut.body.find("odd") == std::string::npos);
        CHECK(cut.took < 4000ms);
    }
}

TEST_CASE("A response with an invalid status is neither an order's outcome nor a report")
{
    auto status = GENERATE(as<std::string>{}, "000", "101", "703");
    serve_case it;
    REQUIRE(it.started);
    raw_server server([&](int, int, const std::string& text)
                      { return raw_response{.bytes = response(status, text)}; });
    serve_alone(it, "models", server);
    // For the rare model, the host sends an order, and then calls for a report.
    it.stream("rare1", "rare");
    auto metrics = it.scrape();
    auto count_of = [&](const std::string& name)
    {
        auto at = metrics.find("\n" + name + " ");
        return at == std::string::npos ? 0 : std::stoi(metrics.substr(at + name.size() + 2));
    };
    CHECK(count_of("banyanshunt_engine_orders_total{sent=\"no_response\"}") > 0);
    CHECK(count_of("banyanshunt_engine_orders_total{sent=\"responded\"}") == 0);
    CHECK(count_of("banyanshunt_invalid_statuses_total") >= 2);
}
