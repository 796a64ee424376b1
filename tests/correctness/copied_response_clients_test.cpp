/// \file
/// Guards against the response to an earlier call that a server writes once more and that is taken
/// for the response to the next call: a completion that ran counts as refused, an order that was
/// refused counts as accepted, and a caller gets the answer to another caller's call.

#include <catch2/catch.hpp>

#include <map>
#include <mutex>
#include <thread>

#include "protocol/platform_codec.hpp"
#include "stand_ins/raw_server.hpp"
#include "state/errors.hpp"
#include "transport/backend_clients.hpp"
#include "transport/platform_clients.hpp"

using namespace banyanshunt;

namespace
{

constexpr milliseconds call_timeout(1000);
constexpr milliseconds copy_delay(5);
/// Long enough that an early copy has arrived when the next call is sent.
constexpr milliseconds pause_between_calls(30);

/// When the response to a call is written once more.
enum class copy_time
{
    /// Shortly behind the response, before the next call.
    early,
    /// Right before the response to the next call on the connection.
    late,
};

const char* name_of(copy_time it)
{
    return it == copy_time::early ? "early" : "late";
}

/// Gives its responses in the order of the calls, and writes each once more on its connection.
class copying_server
{
public:
    copying_server(copy_time time, std::vector<std::string> responses)
        : time_(time), responses_(std::move(responses))
    {
    }

    const std::string& address() const { return server_.address(); }
    int requests() const { return server_.requests(); }

private:
    raw_response respond(int connection)
    {
        std::lock_guard lock(mutex_);
        std::string own = responses_.at(next_++);
        std::string earlier = std::exchange(earlier_[connection], own);
        if (time_ == copy_time::late)
        {
            return {.bytes = earlier + own};
        }
        return {.bytes = own, .later = own, .later_after = copy_delay};
    }

    copy_time time_;
    std::vector<std::string> responses_;
    std::mutex mutex_;
    std::size_t next_ = 0;
    std::map<int, std::string> earlier_;
    raw_server server_{[this](int connection, int, const std::string&)
                       { return respond(connection); }};
};

/// The clients of one process, which share their connections.
struct clients
{
    explicit clients(std::string at) : address(std::move(at)) {}

    std::string address;
    http_client http;
    http_model_engine engine{http};
    http_plain_service service{http};
    http_log_service log{http, address, call_timeout};
    http_host_list hosts{http, address};
    http_weight_store store{http, address};
};

std::string outcome_of(const failure& it)
{
    return std::string(to_string(it.run)) + " " + it.code.message();
}

std::string outcome_of(const verdict<done>& it)
{
    return it ? "done" : outcome_of(it.error());
}

std::string complete(clients& from, const char* id)
{
    std::string text;
    auto end = from.engine.complete(
        from.address, {.id = request_id(id), .model = model_id("m"), .adapter = {}, .prompt = "p"},
        call_timeout,
        [&text](const stream_token& token)
        {
            text += token.text;
            return true;
        });
    return end ? "text " + text : outcome_of(end.error());
}

std::string resume(clients& from, const char* id)
{
    std::string text;
    auto end = from.engine.resume(from.address, request_id(id), 1, call_timeout,
                                  [&text](const stream_token& token)
                                  {
                                      text += token.text;
                                      return true;
                                  });
    return end ? "text " + text : outcome_of(end.error());
}

std::string cancel(clients& from)
{
    return outcome_of(from.engine.cancel(from.address, request_id("r1")));
}

std::string order(clients& from)
{
    return outcome_of(from.engine.order(from.address, {.model = model_id("m"),
                                                       .version = version_id("v1"),
                                                       .adapter = {},
                                                       .memory = mebibytes(1),
                                                       .fencing = fencing_number(1)}));
}

std::string read_back(clients& from)
{
    auto it = from.engine.read_back(from.address);
    return it ? "life " + std::to_string(it->incarnation.count()) : outcome_of(it.error());
}

std::string fetch_load(clients& from)
{
    auto it = from.engine.fetch_load(from.address);
    return it ? "running " + std::to_string(it->running) : outcome_of(it.error());
}

std::string call_service(clients& from)
{
    auto it = from.service.call(
        from.address,
        {.id = request_id("r1"), .method = "POST", .path = "/quotes", .headers = {}, .body = "{}"},
        call_timeout);
    return it ? std::to_string(it->status) + " " + it->body : outcome_of(it.error());
}

std::string append(clients& from, const char* stream)
{
    log_entry entry{.id = record_id("1"), .data = "data"};
    auto it = from.log.append(stream_name(stream), std::span(&entry, 1));
    return it ? "offset " + std::to_string(it->count()) : outcome_of(it.error());
}

std::string read(clients& from, const char* stream)
{
    auto it = from.log.read(stream_name(stream), log_offset(7), 10, milliseconds(0));
    if (!it)
    {
        return outcome_of(it.error());
    }
    std::string text = "end " + std::to_string(it->end.count());
    for (const auto& record : it->records)
    {
        text += " " + record.data;
    }
    return text;
}

std::string limits(clients& from)
{
    auto it = from.store.limits();
    return it ? "loads " + std::to_string(it->full_speed_loads) : outcome_of(it.error());
}

std::string listed_hosts(clients& from)
{
    auto it = from.hosts.hosts();
    return it ? "hosts " + std::to_string(it->size()) : outcome_of(it.error());
}

std::string refusal(int status)
{
    return http_text(status, "{}");
}

// The events of a completion that has this one token at position 0, or from position 1 on another.
std::string events(const char* id, std::int64_t position, const char* text)
{
    completion_end end{
        .prompt_tokens = 1, .completion_tokens = position + 1, .finish_reason = "stop"};
    engine_event token{.token = {.id = request_id(id), .position = position, .text = text},
                       .end = {}};
    engine_event last{.token = {.id = request_id(id), .position = position + 1, .text = {}},
                      .end = end};
    return http_text(200, "data: " + encode_engine_event(token) +
                              "\n\ndata: " + encode_engine_event(last) + "\n\n");
}

std::string report(int life)
{
    return http_text(200, encode_engine_report({.incarnation = incarnation_id(life),
                                                .memory_total = mebibytes(1),
                                                .memory_used = {},
                                                .fencing = {},
                                                .replicas = {},
                                                .cached = {}}));
}

std::string load(int running)
{
    return http_text(200, encode_load_report({.running = running}));
}

std::string appended(int offset)
{
    return http_text(200, encode_append_response(log_offset(offset)));
}

std::string page(int end, std::vector<log_record> records = {})
{
    return http_text(200, encode_page({.first_kept = log_offset(0),
                                       .end = log_offset(end),
                                       .records = std::move(records)}));
}

log_record record_at_7(const char* data)
{
    return {.offset = log_offset(7), .id = record_id("1"), .data = data};
}

std::string store_limits(int loads)
{
    return http_text(200, encode_limits({.full_speed_loads = loads}));
}

/// Two calls to one server, and what the caller must hear of each.
struct call_pair
{
    const char* name;
    std::function<std::string(clients&)> first;
    std::string first_response;
    std::string first_outcome;
    std::function<std::string(clients&)> second;
    std::string second_response;
    std::string second_outcome;
};

void check(const std::vector<call_pair>& table)
{
    for (auto time : {copy_time::early, copy_time::late})
    {
        for (const auto& it : table)
        {
            INFO(it.name << ", copied " << name_of(time));
            copying_server server(time, {it.first_response, it.second_response});
            clients from(server.address());
            CHECK(it.first(from) == it.first_outcome);
            std::this_thread::sleep_for(pause_between_calls);
            CHECK(it.second(from) == it.second_outcome);
            CHECK(server.requests() == 2);
        }
    }
}

} // namespace

TEST_CASE("A copy of an earlier response is not taken for the response to a completion")
{
    auto complete_1 = [](clients& from) { return complete(from, "r1"); };
    auto complete_2 = [](clients& from) { return complete(from, "r2"); };
    auto resume_1 = [](clients& from) { return resume(from, "r1"); };
    auto resume_2 = [](clients& from) { return resume(from, "r2"); };

    SECTION("a refused completion and one that runs")
    {
        check({{"another request", complete_1, refusal(503), "not_run unavailable", complete_2,
                events("r2", 0, "b"), "text b"},
               {"the same request", complete_1, refusal(503), "not_run unavailable", complete_1,
                events("r1", 0, "a"), "text a"},
               {"refused for its rate", complete_1, refusal(429), "not_run unavailable", complete_2,
                events("r2", 0, "b"), "text b"}});
    }
    SECTION("a completion that ran and one that is refused or runs")
    {
        check({{"refused", complete_1, events("r1", 0, "a"), "text a", complete_2, refusal(503),
                "not_run unavailable"},
               {"runs", complete_1, events("r1", 0, "a"), "text a", complete_2,
                events("r2", 0, "b"), "text b"}});
    }
    SECTION("a resumed completion")
    {
        check({{"behind an unknown one", resume_1, refusal(404), "not_run not_found", resume_2,
                events("r2", 1, "b"), "text b"},
               {"behind a refusal", complete_1, refusal(503), "not_run unavailable", resume_2,
                events("r2", 1, "b"), "text b"},
               {"that is not known, behind one that is", resume_1, events("r1", 1, "a"), "text a",
                resume_2, refusal(404), "not_run not_found"},
               {"that is not known, and is begun anew", resume_1, refusal(404), "not_run not_found",
                complete_1, events("r1", 0, "a"), "text a"}});
    }
    SECTION("a cancelled completion")
    {
        check({{"unknown, then known", cancel, refusal(404), "not_run not_found", cancel,
                http_text(200, "{}"), "done"},
               {"known, then unknown", cancel, http_text(200, "{}"), "done", cancel, refusal(404),
                "not_run not_found"},
               {"behind a refusal", complete_1, refusal(503), "not_run unavailable", cancel,
                http_text(200, "{}"), "done"}});
    }
}

TEST_CASE("A copy of an earlier response is not taken for the response to a service call")
{
    check({{"refused, then run", call_service, http_text(503, "full"), "503 full", call_service,
            http_text(200, "ran"), "200 ran"},
           {"run, then refused", call_service, http_text(200, "ran"), "200 ran", call_service,
            http_text(503, "full"), "503 full"},
           {"of two callers", call_service, http_text(200, "for a"), "200 for a", call_service,
            http_text(200, "for b"), "200 for b"}});
}

TEST_CASE("A copy of an earlier response is not taken for the response to an order or a query")
{
    SECTION("an order")
    {
        check({{"accepted, then fenced", order, http_text(200, "{}"), "done", order, refusal(409),
                "not_run fenced"},
               {"accepted, then without memory", order, http_text(200, "{}"), "done", order,
                refusal(507), "not_run memory_full"},
               {"refused, then accepted", order, refusal(503), "not_run unavailable", order,
                http_text(200, "{}"), "done"},
               {"behind a cancel", cancel, http_text(200, "{}"), "done", order, refusal(409),
                "not_run fenced"}});
    }
    SECTION("a report")
    {
        check({{"two reports", read_back, report(1), "life 1", read_back, report(2), "life 2"},
               {"behind a refusal", order, refusal(409), "not_run fenced", read_back, report(2),
                "life 2"}});
    }
    SECTION("a load report")
    {
        check({{"two load reports", fetch_load, load(1), "running 1", fetch_load, load(2),
                "running 2"},
               {"behind an order", order, http_text(200, "{}"), "done", fetch_load, load(2),
                "running 2"}});
    }
}

TEST_CASE("A copy of an earlier response is not taken for the response to a call to the platform")
{
    auto append_a = [](clients& from) { return append(from, "a"); };
    auto append_b = [](clients& from) { return append(from, "b"); };
    auto read_a = [](clients& from) { return read(from, "a"); };
    auto read_b = [](clients& from) { return read(from, "b"); };

    SECTION("an append")
    {
        check(
            {{"two appends", append_a, appended(3), "offset 3", append_b, appended(9), "offset 9"},
             {"appended, then refused", append_a, appended(3), "offset 3", append_a, refusal(503),
              "not_run unavailable"},
             {"refused, then appended", append_a, refusal(429), "not_run platform_busy", append_a,
              appended(3), "offset 3"},
             {"behind a page", read_a, refusal(410), "not_run records_expired", append_a,
              appended(3), "offset 3"}});
    }
    SECTION("a page of the log")
    {
        check({{"empty, then not", read_a, page(7), "end 7", read_a, page(8, {record_at_7("x")}),
                "end 8 x"},
               {"of another stream at the same offset", read_a, page(8, {record_at_7("a")}),
                "end 8 a", read_b, page(8, {record_at_7("b")}), "end 8 b"},
               {"expired, then not", read_a, refusal(410), "not_run records_expired", read_b,
                page(7), "end 7"}});
    }
    SECTION("the weight store's limits and the host list")
    {
        check({{"limits", limits, store_limits(4), "loads 4", limits, store_limits(2), "loads 2"},
               {"host list", listed_hosts, refusal(503), "not_run unavailable", listed_hosts,
                http_text(200, encode_hosts({})), "hosts 0"}});
    }
}
