#pragma once

/// \file
/// What the scripts of this review share: entry hosts started as processes the way the deploy file
/// starts them, a backend server that follows the platform's pages, a caller, and the record.
/// The platform's log is the project's own stand-in.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "stand_ins/prepared_platform.hpp"

extern char** environ;

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline steady::time_point begun_at = steady::now();

inline double now_s()
{
    return std::chrono::duration<double>(steady::now() - begun_at).count();
}

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// False with TROUBLE=0: the same run without the disruption.
inline bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Lines with the time since the start, in seconds.
class record_file
{
public:
    explicit record_file(const std::string& path) : file_(std::fopen(path.c_str(), "w"))
    {
        if (!file_)
        {
            std::perror(path.c_str());
            std::exit(could_not_run);
        }
    }
    ~record_file() { std::fclose(file_); }
    record_file(const record_file&) = delete;

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof text, format, args);
        va_end(args);
        std::lock_guard lock(mutex_);
        std::fprintf(file_, "%9.3f %s\n", now_s(), text);
        std::fflush(file_);
    }
    /// The same on standard output.
    void say(const std::string& text)
    {
        line("%s", text.c_str());
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

/// A /24 of 127.0.0.0/8 that no other run uses, as long as it is held.
class address_block
{
public:
    address_block()
    {
        for (int n = 0; n < 200; ++n)
        {
            int block = (::getpid() + n * 7919) % (60 * 250);
            prefix_ = "127." + std::to_string(140 + block / 250) + "." +
                      std::to_string(1 + block % 250) + ".";
            lock_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            sockaddr_in at = endpoint(address(254), 17999);
            if (::bind(lock_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0)
            {
                return;
            }
            ::close(lock_);
        }
        std::exit(could_not_run);
    }
    ~address_block() { ::close(lock_); }
    address_block(const address_block&) = delete;

    std::string address(int n) const { return prefix_ + std::to_string(n); }

    static sockaddr_in endpoint(const std::string& ip, int port)
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
        return at;
    }

private:
    int lock_ = -1;
    std::string prefix_;
};

// ---------------------------------------------------------------------------------------------
// HTTP

struct message
{
    /// The request line or the status line.
    std::string first_line;
    /// Names in lower case.
    std::map<std::string, std::string> fields;
    std::string body;
    int status = 0;

    std::string field(const std::string& name) const
    {
        auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
};

/// Reads messages from one connection.
class connection
{
public:
    explicit connection(int socket) : socket_(socket)
    {
        int on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { shut(); }
    connection(const connection&) = delete;

    static std::unique_ptr<connection> open(const std::string& ip, int port)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = address_block::endpoint(ip, port);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
        {
            ::close(socket);
            return nullptr;
        }
        return std::make_unique<connection>(socket);
    }

    void shut()
    {
        if (socket_ >= 0)
        {
            ::close(std::exchange(socket_, -1));
        }
    }
    int socket() const { return socket_; }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            auto n = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// A whole message, or nothing if the connection or the time ends before.
    std::optional<message> read(steady::time_point until)
    {
        auto head_end = std::string::npos;
        while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!more(until))
            {
                return std::nullopt;
            }
        }
        message it = parse_head(buffer_.substr(0, head_end));
        buffer_.erase(0, head_end + 4);
        if (it.field("transfer-encoding") == "chunked")
        {
            return read_chunks(std::move(it), until);
        }
        std::size_t length = it.field("content-length").empty()
                                 ? 0
                                 : std::stoul(it.field("content-length"));
        while (buffer_.size() < length)
        {
            if (!more(until))
            {
                return std::nullopt;
            }
        }
        it.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return it;
    }

private:
    bool more(steady::time_point until)
    {
        auto left = std::chrono::ceil<milliseconds>(until - steady::now()).count();
        pollfd wait{.fd = socket_, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
        {
            return false;
        }
        char bytes[16384];
        auto n = ::recv(socket_, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    static message parse_head(const std::string& head)
    {
        message it;
        std::size_t at = head.find("\r\n");
        it.first_line = head.substr(0, at);
        if (it.first_line.rfind("HTTP/1.1 ", 0) == 0)
        {
            it.status = std::atoi(it.first_line.c_str() + 9);
        }
        while (at != std::string::npos)
        {
            auto end = head.find("\r\n", at + 2);
            auto line = head.substr(at + 2, end == std::string::npos ? end : end - at - 2);
            auto colon = line.find(':');
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            it.fields[name] = value;
            at = end;
        }
        return it;
    }

    std::optional<message> read_chunks(message it, steady::time_point until)
    {
        while (true)
        {
            auto end = std::string::npos;
            while ((end = buffer_.find("\r\n")) == std::string::npos)
            {
                if (!more(until))
                {
                    return std::nullopt;
                }
            }
            std::size_t length = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < end + 2 + length + 2)
            {
                if (!more(until))
                {
                    return std::nullopt;
                }
            }
            it.body += buffer_.substr(end + 2, length);
            buffer_.erase(0, end + 2 + length + 2);
            if (length == 0)
            {
                return it;
            }
        }
    }

    int socket_;
    std::string buffer_;
};

// ---------------------------------------------------------------------------------------------
// Backend server

/// What a server ran.
struct run
{
    std::string id;
    std::string tenant;
    std::string model;
    std::string token_count;
    /// When it arrived, in seconds since the start.
    double at = 0;
};

/// A model that an engine may be ordered to load: how long that takes, and how many adapters it
/// has, named a1, a2, and so on.
struct engine_model
{
    int load_ms = 0;
    int adapters = 0;
};

/// A sound server as the platform's pages describe one: it checks X-Expect-Instance, echoes the
/// request's id, runs what it is sent, and turns away a request without an id or with a token
/// count that is no count. With models it is an engine; orders change what it holds.
class page_server
{
public:
    page_server(std::string id, std::string service, std::string zone,
                std::vector<std::string> models, int run_ms,
                std::map<std::string, engine_model> known = {})
        : id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)),
          is_engine_(!models.empty()), run_ms_(run_ms), known_(std::move(known))
    {
        for (const auto& it : models)
        {
            held_[it] = {};
        }
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = address_block::endpoint("127.0.0.1", 0);
        socklen_t size = sizeof at;
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
            ::listen(listener_, 512) != 0)
        {
            std::exit(could_not_run);
        }
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        std::thread(
            [this]
            {
                while (true)
                {
                    int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                    if (socket < 0)
                    {
                        return;
                    }
                    std::thread([this, socket] { serve(socket); }).detach();
                }
            })
            .detach();
    }

    const std::string& id() const { return id_; }
    /// The orders that it got, one a line.
    std::vector<std::string> orders() const
    {
        std::lock_guard lock(mutex_);
        return orders_;
    }
    /// What it writes to the registry about every `heartbeat_ms`.
    std::string entry() const
    {
        std::lock_guard lock(mutex_);
        return "{\"service\":\"" + service_ + "\",\"address\":\"127.0.0.1:" +
               std::to_string(port_) + "\",\"zone\":\"" + zone_ +
               "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,"
               "\"born\":1700000000000,\"models\":" +
               models_json() + ",\"sequence\":" + std::to_string(sequence_) + "}";
    }
    std::vector<run> runs() const
    {
        std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    struct held_model
    {
        steady::time_point ready_at = {};
        std::set<std::string> adapters = {};
    };

    /// Precondition: locked.
    std::string models_json() const
    {
        std::string text;
        for (const auto& [name, it] : held_)
        {
            if (it.ready_at > steady::now())
            {
                continue;
            }
            std::string adapters;
            for (const auto& one : it.adapters)
            {
                adapters += (adapters.empty() ? "\"" : ",\"") + one + "\"";
            }
            text += (text.empty() ? "" : ",") + ("{\"name\":\"" + name) +
                    "\",\"version\":1,\"adapters\":[" + adapters + "]}";
        }
        return "[" + text + "]";
    }
    /// Whether an order is in progress. Precondition: locked.
    bool busy() const
    {
        return std::any_of(held_.begin(), held_.end(),
                           [](const auto& it) { return it.second.ready_at > steady::now(); });
    }
    /// The status of an order. Precondition: locked.
    int take_order(const nlohmann::json& it)
    {
        std::string operation = it.value("operation", "");
        std::string model = it.value("model", "");
        std::string adapter = it.value("adapter", "");
        auto known = known_.find(model);
        if (!it.contains("holder") || !it.contains("fencing_token") || known == known_.end() ||
            (operation != "load" && operation != "unload"))
        {
            return 400;
        }
        if (it.contains("expected") && it["expected"].get<std::int64_t>() != sequence_)
        {
            return 409;
        }
        auto held = held_.find(model);
        bool loads = operation == "load";
        if (!adapter.empty())
        {
            bool exists = false;
            for (int n = 1; n <= known->second.adapters; ++n)
            {
                exists = exists || adapter == "a" + std::to_string(n);
            }
            if (!exists || held == held_.end())
            {
                return 400;
            }
            bool changes = loads ? held->second.adapters.insert(adapter).second
                                 : held->second.adapters.erase(adapter) > 0;
            sequence_ += changes ? 1 : 0;
            return changes && loads ? 202 : 200;
        }
        if (busy())
        {
            return 409;
        }
        if (loads == (held != held_.end()))
        {
            return 200;
        }
        ++sequence_;
        if (loads)
        {
            held_[model] = {.ready_at = steady::now() + milliseconds(known->second.load_ms)};
        }
        else
        {
            held_.erase(model);
        }
        return 202;
    }
    /// Whether a request's model and adapter are there. Precondition: locked.
    bool holds(const std::string& target) const
    {
        auto slash = target.find('/');
        auto held = held_.find(target.substr(0, slash));
        return held != held_.end() && held->second.ready_at <= steady::now() &&
               (slash == std::string::npos ||
                held->second.adapters.contains(target.substr(slash + 1)));
    }

    static std::string response(int status, const std::string& reason, const std::string& fields,
                                const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Two numbers that are counts, or nothing.
    static bool is_token_count(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(),
                           [](unsigned char c) { return std::isdigit(c) || c == ','; });
    }

    void serve(int socket)
    {
        connection caller(socket);
        while (auto it = caller.read(steady::now() + std::chrono::seconds(60)))
        {
            if (!answer(caller, *it))
            {
                return;
            }
        }
    }

    bool answer(connection& caller, const message& it)
    {
        auto expected = it.field("x-expect-instance");
        if (!expected.empty() && expected != id_)
        {
            return caller.write(response(421, "Misdirected Request",
                                         "X-Not-Executed: 1\r\nX-Instance-Id: " + id_ + "\r\n",
                                         ""));
        }
        auto path = it.first_line.substr(it.first_line.find(' ') + 1);
        path = path.substr(0, path.find(' '));
        if (path == "/health")
        {
            return caller.write(response(200, "OK", "X-Instance-Id: " + id_ + "\r\n", ""));
        }
        if (path == "/api/report")
        {
            std::lock_guard lock(mutex_);
            return caller.write(response(
                200, "OK", "Content-Type: application/json\r\n",
                "{\"stage\":\"hybrid\",\"models\":" + models_json() + ",\"busy\":" +
                    (busy() ? "true" : "false") + ",\"sequence\":" + std::to_string(sequence_) +
                    ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":113535,"
                    "\"handles\":0,\"born\":1700000000000}"));
        }
        if (path == "/api/order")
        {
            std::lock_guard lock(mutex_);
            int status = take_order(nlohmann::json::parse(it.body));
            char text[32];
            std::snprintf(text, sizeof text, "%.3f %d ", now_s(), status);
            orders_.push_back(text + it.body);
            return caller.write(response(status, "Order", "", ""));
        }
        auto id = it.field("x-request-id");
        if (id.empty() || !is_token_count(it.field("x-token-count")))
        {
            return caller.write(
                response(400, "Bad Request",
                         "X-Not-Executed: 1\r\n" +
                             (id.empty() ? "" : "X-Request-Id: " + id + "\r\n"),
                         ""));
        }
        {
            std::lock_guard lock(mutex_);
            if (is_engine_ && !holds(it.field("x-model")))
            {
                return caller.write(response(421, "Misdirected Request",
                                             "X-Not-Executed: 1\r\nX-Request-Id: " + id +
                                                 "\r\nX-Instance-Id: " + id_ + "\r\n",
                                             ""));
            }
            runs_.push_back({.id = id,
                             .tenant = it.field("x-tenant"),
                             .model = it.field("x-model"),
                             .token_count = it.field("x-token-count"),
                             .at = now_s()});
        }
        sleep_ms(run_ms_);
        std::string fields = "X-Request-Id: " + id + "\r\nX-Server-Stamp: " + id_ + ".1\r\n";
        if (!is_engine_)
        {
            return caller.write(response(200, "OK", fields, "{\"by\":\"" + id_ + "\"}"));
        }
        if (!caller.write("HTTP/1.1 200 OK\r\n" + fields +
                          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        {
            return false;
        }
        for (int n = 1; n <= events_in_stream; ++n)
        {
            std::string event =
                "id: " + std::to_string(n) + "\ndata: token" + std::to_string(n) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!caller.write(size + event + "\r\n"))
            {
                return false;
            }
            sleep_ms(10);
        }
        return caller.write("0\r\n\r\n");
    }

    static constexpr int events_in_stream = 9;

    std::string id_;
    std::string service_;
    std::string zone_;
    bool is_engine_;
    int run_ms_;
    /// The models that the manifest names.
    std::map<std::string, engine_model> known_;
    int listener_ = -1;
    int port_ = 0;
    mutable std::mutex mutex_;
    std::vector<run> runs_;
    std::vector<std::string> orders_;
    std::map<std::string, held_model> held_;
    std::int64_t sequence_ = 0;
};

// ---------------------------------------------------------------------------------------------
// Deployment

/// One tenant of the manifest.
struct tenant
{
    std::string name;
    std::string key;
    int rate_per_s = 0;
    int burst = 0;
};

/// The manifest of a deployment with one streaming, one idempotent and one non-idempotent route;
/// limits, times and models are those of the site chautari-quotes.
inline std::string manifest(int version, const std::vector<tenant>& tenants,
                            const std::vector<std::string>& models, int adapters = 0)
{
    auto route = [](const char* name, const char* kind, const char* service, int timeout_ms,
                    int objective_ms, int priority, int attempts, bool resumable)
    {
        return std::string("{\"name\":\"") + name + "\",\"host\":\"desk.example\"," +
               "\"path_prefix\":\"/" + name + "/\",\"kind\":\"" + kind + "\",\"timeout_ms\":" +
               std::to_string(timeout_ms) +
               ",\"target_latency_ms\":" + std::to_string(objective_ms) + ",\"priority\":" +
               std::to_string(priority) + ",\"service\":\"" + service + "\",\"max_attempts\":" +
               std::to_string(attempts) + ",\"public\":false,\"sticky_sessions\":" +
               (resumable ? "true" : "false") + ",\"resumable\":" +
               (resumable ? "true" : "false") + ",\"gap_aim_ms\":200}";
    };
    std::string held;
    for (const auto& it : models)
    {
        held += (held.empty() ? "" : ",") + ("{\"name\":\"" + it) +
                "\",\"weights_mb\":72700.0,\"load_s\":6.0,\"adapters\":" +
                std::to_string(adapters) + ",\"adapter_mb\":66.0,"
                "\"warm_s\":0.47,\"disk_s\":0.84}";
    }
    std::string listed;
    for (const auto& it : tenants)
    {
        listed += (listed.empty() ? "" : ",") + ("{\"name\":\"" + it.name) + "\",\"api_keys\":[\"" +
                  it.key + "\"],\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":" +
                  std::to_string(it.rate_per_s) + ",\"burst\":" + std::to_string(it.burst) + "}";
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
           route("draft", "streaming", "quote-writer", 12000, 400, 1, 2, true) + "," +
           route("status", "idempotent", "booking-desk", 1000, 100, 2, 2, false) + "," +
           route("deposit", "non_idempotent", "booking-desk", 1000, 100, 2, 1, false) +
           "],\"services\":[{\"name\":\"quote-writer\",\"health_path\":\"/health\","
           "\"max_connections\":360,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":113535,"
           "\"weights_mb\":160000.0,\"adapter_slots\":8,\"loads_per_s\":3.7,\"models\":[" +
           held +
           "]}},{\"name\":\"booking-desk\",\"health_path\":\"/health\",\"max_connections\":96}],"
           "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[" +
           listed + "]}";
}

/// An entry host: its settings, and its process.
struct entry_host
{
    std::string name;
    std::string zone;
    std::string ip;
    std::string settings;
    std::string log;
    pid_t pid = 0;
    /// How often its process ended although nobody asked for it, and how it ended last.
    int own_ends = 0;
    std::string last_end;
};

class deployment
{
public:
    static constexpr int front_port = 8221;
    static constexpr int ready_port = 8224;

    /// `folder` is a temporary one, for settings and logs.
    deployment(std::string folder, int memory_mb) : folder_(std::move(folder)), memory_mb_(memory_mb)
    {
    }
    ~deployment() { end(); }
    deployment(const deployment&) = delete;

    /// Ends every process that it started.
    void end()
    {
        for (auto& it : hosts)
        {
            kill(it, SIGKILL);
            if (it.pid != 0)
            {
                ::waitpid(it.pid, nullptr, 0);
            }
            it.pid = 0;
        }
        // Nothing is left for `run.sh` to end.
        std::ofstream(folder_ + "/pids");
    }

    entry_host& add(const std::string& name, const std::string& zone)
    {
        entry_host it;
        it.name = name;
        it.zone = zone;
        it.ip = block.address(static_cast<int>(hosts.size()) + 1);
        it.settings = folder_ + "/" + name + ".conf";
        it.log = folder_ + "/" + name + ".log";
        std::ofstream to(it.settings);
        to << "node_name=" << name << "\nrole=entry\nmachine_class=front\nserves=front\nip=" << it.ip
           << "\nzone=" << zone << "\nregion=kathmandu\n"
           << "zones.kathmandu-a=kathmandu\nzones.kathmandu-b=kathmandu\n"
           << "listen.front=" << it.ip << ":" << front_port << "\nlisten.ready=" << it.ip << ":"
           << ready_port << "\ninternal_ports=7600,7615\nseeds=\nbootstrap=true\n"
           << "fault_counted=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb="
           << memory_mb_
           << "\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
              "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
              "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,"
              "platform\nfault_tolerance.machines=1\nfault_tolerance.zones=1\n"
              "fault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.addr_reuse_s=2\n"
              "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n"
              "bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n"
              "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n"
              "bounds.max_stretch_ms=5000\nbounds.revoke_fail_closed=true\nbounds.revoke_ms=5000\n"
              "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
              "bounds.budget_extra_retries=52\nbounds.quota_window_s=8\nbounds.quota_over=0.1\n"
              "bounds.quota_slack=7400\nbounds.recover_s=12\nbounds.pass_ms=120\n"
              "bounds.again_s=0\nbounds.fencing_required=false\nbounds.lease_ms=3000\n"
              "bounds.thaw_slack_ms=300\nbounds.ceiling_window_s=5\n"
              "bounds.origin_rate_over=1.1\nplatform.address=127.0.0.1:"
           << store.port()
           << "\nplatform.form=log\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
              "platform.parts=12\nplatform.append_ms=2.0\nplatform.part_mb_s=20.0\n"
              "platform.read_mb_s=80.0\nplatform.record_bytes=262144\n"
              "platform.call_bytes=2097152\nplatform.keep_s=300\nplatform.part_mb=200\n"
              "platform.ttl_min_ms=1000\n";
        hosts.push_back(it);
        return hosts.back();
    }

    /// Starts the process with the command of the deploy file.
    void start(entry_host& it)
    {
        std::string program = "target/shunt-serve";
        std::string variable = "BANYANSHUNT_CONFIG=" + it.settings;
        char* arguments[] = {program.data(), nullptr};
        std::vector<char*> environment;
        for (char** at = environ; *at; ++at)
        {
            environment.push_back(*at);
        }
        environment.push_back(variable.data());
        environment.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, it.log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
        int failed =
            ::posix_spawn(&it.pid, program.c_str(), &files, nullptr, arguments, environment.data());
        posix_spawn_file_actions_destroy(&files);
        if (failed != 0)
        {
            std::fprintf(stderr, "cannot start %s\n", program.c_str());
            std::exit(could_not_run);
        }
        write_pids();
    }

    void kill(entry_host& it, int number) const
    {
        if (it.pid != 0)
        {
            ::kill(it.pid, number);
        }
    }

    /// Takes note of a process that has ended by itself; returns whether it has.
    bool reap(entry_host& it)
    {
        int status = 0;
        if (it.pid == 0 || ::waitpid(it.pid, &status, WNOHANG) != it.pid)
        {
            return false;
        }
        it.pid = 0;
        write_pids();
        ++it.own_ends;
        it.last_end = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                          : "with exit status " + std::to_string(WEXITSTATUS(status));
        return true;
    }

    bool ready(const entry_host& it) const
    {
        auto to = connection::open(it.ip, ready_port);
        if (!to || !to->write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
        {
            return false;
        }
        auto response = to->read(steady::now() + milliseconds(300));
        return response && response->status == 200;
    }

    bool await_ready(const entry_host& it, int max_ms) const
    {
        for (int n = 0; n < max_ms / 50; ++n)
        {
            if (ready(it))
            {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    std::vector<entry_host> hosts;
    banyanshunt::store_stand_in store{12};
    address_block block;

private:
    /// For `run.sh`, in case this program is killed.
    void write_pids() const
    {
        std::ofstream to(folder_ + "/pids");
        for (const auto& it : hosts)
        {
            if (it.pid != 0)
            {
                to << it.pid << "\n";
            }
        }
    }

    std::string folder_;
    int memory_mb_;
};

// ---------------------------------------------------------------------------------------------
// Caller

struct call
{
    std::string path = "/status/1";
    std::string method = "GET";
    std::string key;
    std::string id;
    std::string model = {};
    std::string token_count = {};
    int deadline_ms = 1000;
    std::string more_fields = {};
    /// Of a request by POST.
    std::size_t body_bytes = 2;
};

inline std::string request_text(const call& it)
{
    std::string text = it.method + " " + it.path +
                       " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + it.id +
                       "\r\nX-Deadline-Ms: " + std::to_string(it.deadline_ms) +
                       "\r\nAuthorization: Bearer " + it.key + "\r\n" + it.more_fields;
    if (!it.model.empty())
    {
        text += "X-Model: " + it.model + "\r\n";
    }
    if (!it.token_count.empty())
    {
        text += "X-Token-Count: " + it.token_count + "\r\n";
    }
    if (it.method == "POST")
    {
        text += "Content-Length: " + std::to_string(it.body_bytes) + "\r\n";
    }
    return text + "\r\n" + (it.method == "POST" ? std::string(it.body_bytes, 'x') : "");
}

/// The status of the answer; 0 if the channel ended or the caller's time was over before it was
/// whole, -1 if no channel could be opened.
inline int send_call(const std::string& ip, const call& it, int more_ms = 1500)
{
    auto to = connection::open(ip, deployment::front_port);
    if (!to)
    {
        return -1;
    }
    if (!to->write(request_text(it)))
    {
        return 0;
    }
    auto response = to->read(steady::now() + milliseconds(it.deadline_ms + more_ms));
    return response ? response->status : 0;
}

} // namespace review
