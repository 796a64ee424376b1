// Complete entry hosts with a faulty server that writes an earlier response once more on a
// connection that is kept.

#include <catch2/catch.hpp>

#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "serve_case.hpp"
#include "stand_ins/raw_server.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds entry_update_time{1500};
constexpr milliseconds concurrent_run_time{60};

std::string field_of(const std::string& request, const std::string& name)
{
    auto at = request.find(name + ": ");
    auto from = at + name.size() + 2;
    return at == std::string::npos ? "" : request.substr(from, request.find("\r\n", from) - from);
}

std::string response_text(int status, const std::string& id, const std::string& fields,
                          const std::string& body)
{
    return http_text(status, body, (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + fields);
}

constexpr const char* not_executed = "X-Not-Executed: 1\r\n";
constexpr const char* stamped = "X-Server-Stamp: d1\r\n";

/// When the earlier response is written once more.
enum class copy_time
{
    /// In front of the response to the next request on the connection.
    before_next,
    /// Right behind the response itself.
    behind,
    /// The same, after a pause in which the connection may be used again.
    shortly_behind,
    /// In front of the response to the second request after it.
    after_another,
};

struct copy_plan
{
    /// The response that is written once more; 100 to 199 for an interim one.
    int status = 503;
    bool with_id = true;
    copy_time time = copy_time::before_next;
    /// Refuses the first request on each connection, and no other.
    bool on_every_connection = false;
    milliseconds run_time{0};
    /// Status of the response to a request that ran.
    int own_status = 200;
};

/// Refuses the first send of each request and runs the next; or answers with `status` where that is
/// no refusal.
class copying_server
{
public:
    void set(const copy_plan& plan)
    {
        std::lock_guard lock(mutex_);
        plan_ = plan;
        sends_.clear();
        earlier_.clear();
    }
    int runs(const std::string& id) const
    {
        std::lock_guard lock(mutex_);
        auto it = runs_.find(id);
        return it == runs_.end() ? 0 : it->second;
    }
    int refusals() const { return refusals_; }
    const std::string& address() const { return server_.address(); }

private:
    struct copy
    {
        std::string bytes;
        int requests_until = 0;
    };

    bool refuses(int connection, const std::string& id)
    {
        bool refusal = plan_.status == 503 || plan_.status == 429 || plan_.status == 421;
        int sends = plan_.on_every_connection ? ++sends_[std::to_string(connection)] : ++sends_[id];
        return refusal && id.starts_with("t") && sends == 1;
    }
    std::string due_copies(int connection)
    {
        std::string due;
        std::erase_if(earlier_[connection],
                      [&](copy& it)
                      {
                          due += it.requests_until == 0 ? it.bytes : "";
                          return it.requests_until-- == 0;
                      });
        return due;
    }
    raw_response respond(int connection, const std::string& request)
    {
        std::unique_lock lock(mutex_);
        std::string id = field_of(request, "X-Request-Id");
        raw_response response{.bytes = due_copies(connection)};
        std::string own;
        std::string copied;
        std::string shown = plan_.with_id ? id : "";
        if (refuses(connection, id))
        {
            ++refusals_;
            own = response_text(plan_.status, id, not_executed, "refused " + id);
            copied = response_text(plan_.status, shown, not_executed, "refused " + id);
        }
        else
        {
            ++runs_[id];
            int status = plan_.status == 500 ? 500 : plan_.own_status;
            own = response_text(status, id, stamped, "ran " + id);
            copied = plan_.status == 200 || plan_.status == 500
                         ? response_text(status, shown, stamped, "ran " + id)
                     : plan_.status < 200 ? fmt::format("HTTP/1.1 {} Early\r\nX-Request-Id: {}\r\n"
                                                        "X-Not-Executed: 1\r\n\r\n",
                                                        plan_.status, shown)
                                          : "";
            auto run_time = plan_.run_time;
            lock.unlock();
            std::this_thread::sleep_for(run_time);
            lock.lock();
        }
        response.bytes += own;
        switch (plan_.time)
        {
        case copy_time::behind:
            response.bytes += copied;
            break;
        case copy_time::shortly_behind:
            response.later = copied;
            response.later_after = 4ms;
            break;
        default:
            earlier_[connection].push_back(
                {.bytes = copied,
                 .requests_until = plan_.time == copy_time::after_another ? 1 : 0});
        }
        return response;
    }

    mutable std::mutex mutex_;
    copy_plan plan_;
    std::map<std::string, int> sends_;
    std::map<std::string, int> runs_;
    std::map<int, std::vector<copy>> earlier_;
    std::atomic<int> refusals_ = 0;
    /// Last, as its threads use the others.
    raw_server server_{[this](int connection, int, const std::string& request)
                       { return respond(connection, request); }};
};

/// A host whose only server of the service is the faulty one.
struct copy_case
{
    copying_server server;
    serve_case it;

    copy_case()
    {
        it.store.put("keyed.servers", "d2", it.desk2.registry_entry("desk", true));
        auto entry = nlohmann::json::parse(it.desk1.registry_entry("desk"));
        entry["address"] = server.address();
        entry["sequence"] = 2;
        it.store.put("keyed.servers", "d1", entry.dump());
        std::this_thread::sleep_for(entry_update_time);
    }

    /// Sends some requests one after the other and some at once, and checks what each caller got.
    void check(const copy_plan& plan)
    {
        static int row = 0;
        ++row;
        server.set(plan);
        for (const char* method : {"POST", "GET"})
        {
            constexpr int requests = 6;
            std::vector<std::string> ids;
            ids.reserve(requests);
            for (int n = 0; n < requests; ++n)
            {
                ids.push_back(fmt::format("t{}-{}-{}", row, method, n));
            }
            std::vector<serve_case::call_result> results(ids.size());
            auto send = [&](std::size_t n)
            {
                std::string path = method == std::string("POST") ? "/book/1" : "/read/1";
                results[n] = it.send(method, path, ids[n], "good-key");
            };
            send(0);
            send(1);
            std::vector<std::thread> callers;
            for (std::size_t n = 2; n < ids.size(); ++n)
            {
                callers.emplace_back(send, n);
            }
            for (auto& caller : callers)
            {
                caller.join();
            }
            for (std::size_t n = 0; n < ids.size(); ++n)
            {
                check_result(plan, method, ids[n], results[n]);
            }
        }
    }

private:
    void check_result(const copy_plan& plan, const std::string& method, const std::string& id,
                      const serve_case::call_result& result) const
    {
        INFO("copy of " << plan.status << (plan.with_id ? " with id" : " without id") << ", time "
                        << static_cast<int>(plan.time)
                        << (plan.on_every_connection ? ", on every connection" : "") << ": "
                        << method << " " << id << " got " << result.status << " \"" << result.body
                        << "\" after " << server.runs(id) << " runs");
        bool booking = method == "POST";
        CHECK((!booking || server.runs(id) <= 1));
        static const std::set<int> promises = {408, 421, 429, 503};
        CHECK((!promises.contains(result.status) || server.runs(id) == 0));
        bool from_server =
            result.status == 200 || result.body.starts_with("ran") || result.body.starts_with("re");
        CHECK((!from_server || result.body == "ran " + id));
        CHECK(result.status != 0);
    }
};

const auto all_times = {copy_time::before_next, copy_time::behind, copy_time::shortly_behind,
                        copy_time::after_another};

} // namespace

TEST_CASE("A copy of an earlier refusal is not taken for the answer to a later send")
{
    copy_case it;
    REQUIRE(it.it.started);
    for (int status : {503, 429, 421})
    {
        for (bool with_id : {true, false})
        {
            for (auto time : all_times)
            {
                it.check({.status = status, .with_id = with_id, .time = time});
            }
        }
    }
    CHECK(it.server.refusals() > 0);
}

TEST_CASE(
    "A copy of an earlier refusal that comes while the request runs does not end it as not run")
{
    copy_case it;
    REQUIRE(it.it.started);
    for (bool with_id : {true, false})
    {
        for (auto time : all_times)
        {
            it.check({.with_id = with_id, .time = time, .run_time = concurrent_run_time});
        }
    }
}

TEST_CASE("A server that copies its refusal on every connection runs no booking twice")
{
    copy_case it;
    REQUIRE(it.it.started);
    for (bool with_id : {true, false})
    {
        it.check({.with_id = with_id, .on_every_connection = true});
    }
}

TEST_CASE("A copy of an earlier success, failure or interim response reaches no later caller")
{
    copy_case it;
    REQUIRE(it.it.started);
    for (int status : {200, 500, 103})
    {
        for (bool with_id : {true, false})
        {
            for (auto time : all_times)
            {
                it.check({.status = status, .with_id = with_id, .time = time});
            }
        }
    }
}

TEST_CASE("A server's 503, 429 or 408 that does not state that it did not run promises nothing")
{
    copy_case it;
    REQUIRE(it.it.started);
    for (int status : {503, 429, 408})
    {
        it.server.set({.status = status, .own_status = status});
        for (const char* path : {"/book/1", "/read/1"})
        {
            auto method = path == std::string("/book/1") ? "POST" : "GET";
            auto result =
                it.it.send(method, path, fmt::format("u{}{}", status, method), "good-key");
            INFO(method << " answered " << status << " got " << result.status);
            CHECK(result.status == 502);
        }
        CHECK(it.server.runs(fmt::format("u{}POST", status)) == 1);
    }
}
