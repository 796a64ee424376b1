#pragma once

/// \file
/// What cases 7 to 10 and `trailer_fields` share: a record of what happened, HTTP/1.1 on blocking
/// sockets, a server and a client that see every byte, and a small deployment of entry hosts as
/// processes. The other programs, of the sitting before, have `review_kit.hpp` and
/// `small_deployment.hpp`.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "stand_ins/prepared_platform.hpp"

namespace review
{

using nlohmann::json;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

inline const clock::time_point begun_at = clock::now();

inline double seconds_since_begin()
{
    return std::chrono::duration<double>(clock::now() - begun_at).count();
}

/// Lines with the time since the start of the case.
class case_record
{
public:
    explicit case_record(const std::string& path) : file_(path) {}

    template <class... Args>
    void write(fmt::format_string<Args...> format, Args&&... args)
    {
        std::lock_guard lock(mutex_);
        file_ << fmt::format("{:7.3f} ", seconds_since_begin())
              << fmt::format(format, std::forward<Args>(args)...) << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// The head and the body of a request or a response.
struct http_message
{
    std::string first_line;
    /// Names in lower case, in the order in which they came.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        auto it = std::find_if(fields.begin(), fields.end(),
                               [&](const auto& field) { return field.first == name; });
        return it == fields.end() ? "" : it->second;
    }
    int status() const
    {
        return first_line.size() < 12 ? 0 : std::atoi(first_line.substr(9, 3).c_str());
    }
};

/// One end of a connection. Reads end with nothing at the end of the connection or at a timeout.
class channel
{
public:
    explicit channel(int fd) : fd_(fd)
    {
        int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~channel() { ::close(fd_); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    static std::unique_ptr<channel> connect(const std::string& ip, int port)
    {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
        {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<channel>(fd);
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// What there is to read.
    enum class input
    {
        none,
        bytes,
        end,
    };
    input state()
    {
        char byte = 0;
        auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool nothing = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return n > 0 || !buffer_.empty() ? input::bytes : nothing ? input::none : input::end;
    }

    /// Reads a message whose body has a length, or comes in chunks.
    std::optional<http_message> receive(milliseconds timeout)
    {
        auto until = clock::now() + timeout;
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill(until))
            {
                return std::nullopt;
            }
        }
        http_message message;
        std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        auto line_end = head.find("\r\n");
        message.first_line = head.substr(0, line_end);
        for (auto from = line_end + 2; from < head.size();)
        {
            auto to = head.find("\r\n", from);
            auto colon = head.find(':', from);
            std::string name = head.substr(from, colon - from);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            auto value = std::min(head.find_first_not_of(" \t", colon + 1), to);
            message.fields.emplace_back(name, head.substr(value, to - value));
            from = to + 2;
        }
        bool whole =
            message.field("transfer-encoding") == "chunked"
                ? receive_chunks(message.body, until)
                : receive_bytes(message.body,
                                std::strtoul(message.field("content-length").c_str(), nullptr, 10),
                                until);
        return whole ? std::optional(message) : std::nullopt;
    }

private:
    bool fill(clock::time_point until)
    {
        auto left = std::chrono::ceil<milliseconds>(until - clock::now()).count();
        pollfd it{.fd = fd_, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0)
        {
            return false;
        }
        char bytes[16384];
        auto n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    bool receive_bytes(std::string& to, std::size_t length, clock::time_point until)
    {
        while (buffer_.size() < length)
        {
            if (!fill(until))
            {
                return false;
            }
        }
        to += buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }
    bool receive_chunks(std::string& to, clock::time_point until)
    {
        while (true)
        {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos)
            {
                if (!fill(until))
                {
                    return false;
                }
            }
            auto length = std::strtoul(buffer_.substr(0, end).c_str(), nullptr, 16);
            buffer_.erase(0, end + 2);
            std::string line_end;
            if (!receive_bytes(to, length, until) || !receive_bytes(line_end, 2, until))
            {
                return false;
            }
            if (length == 0)
            {
                return true;
            }
        }
    }

    int fd_;
    std::string buffer_;
};

inline std::string response_text(int status, const std::string& fields, const std::string& body)
{
    return fmt::format("HTTP/1.1 {} Status\r\n{}Content-Length: {}\r\n\r\n{}", status, fields,
                       body.size(), body);
}

/// A server that hands every request to `handler`, which writes the response; on a free port.
class raw_server
{
public:
    using request_handler = std::function<void(channel&, const http_message&)>;

    explicit raw_server(request_handler handler)
        : handler_(std::move(handler)), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        ::inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
        socklen_t length = sizeof at;
        bool listens = ::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
                       ::listen(fd_, 256) == 0 &&
                       ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &length) == 0;
        if (!listens)
        {
            throw std::runtime_error("a server cannot listen");
        }
        port_ = ntohs(at.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int port() const { return port_; }

private:
    void accept()
    {
        while (true)
        {
            int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                return;
            }
            std::thread(
                [this, fd]
                {
                    channel caller(fd);
                    constexpr milliseconds longest_idle{30000};
                    while (auto request = caller.receive(longest_idle))
                    {
                        handler_(caller, *request);
                    }
                })
                .detach();
        }
    }

    request_handler handler_;
    int fd_;
    int port_ = 0;
};

/// A route of the manifest, with the figures of the site's sheet.
inline json route(const std::string& prefix, const std::string& kind, const std::string& service,
                  bool resumable, int timeout_ms)
{
    return {{"name", prefix},  {"host", "desk.example"},   {"path_prefix", prefix},
            {"kind", kind},    {"timeout_ms", timeout_ms}, {"target_latency_ms", 400},
            {"priority", 1},   {"service", service},       {"max_attempts", 2},
            {"public", false}, {"resumable", resumable},   {"gap_aim_ms", 200}};
}

inline json tenant(const std::string& name, const std::string& key, int rate_per_s, int burst)
{
    return {{"name", name},      {"api_keys", {key}},        {"unit", "tokens"},
            {"plain_tokens", 1}, {"rate_per_s", rate_per_s}, {"burst", burst}};
}

inline json limits()
{
    return {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}};
}

/// The store, and entry hosts that run as the deploy file says, with the bounds of the site
/// chautari-quotes, two in each of two zones.
class deployment
{
public:
    explicit deployment(const json& manifest)
    {
        store_.put("keyed.op", "config", manifest.dump());
        directory_ = std::filesystem::temp_directory_path() / fmt::format("review-{}", ::getpid());
        std::filesystem::create_directory(directory_);
    }
    ~deployment()
    {
        stopping_ = true;
        if (heartbeats_.joinable())
        {
            heartbeats_.join();
        }
        for (pid_t pid : hosts_)
        {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        std::filesystem::remove_all(directory_);
    }

    /// Registers a server; its entry is written once in each heartbeat.
    void add_server(const std::string& id, const std::function<json()>& entry)
    {
        std::lock_guard lock(mutex_);
        servers_[id] = {.entry = entry, .sequence = 0};
        write_entry(id);
    }

    void start(int count)
    {
        heartbeats_ = std::thread(
            [this]
            {
                constexpr milliseconds step{100};
                constexpr int steps_per_heartbeat = 12;
                for (int n = 0; !stopping_; ++n)
                {
                    std::this_thread::sleep_for(step);
                    if (n % steps_per_heartbeat == 0)
                    {
                        std::lock_guard lock(mutex_);
                        for (const auto& [id, it] : servers_)
                        {
                            write_entry(id);
                        }
                    }
                }
            });
        choose_addresses(count);
        for (int n = 0; n < count; ++n)
        {
            start_host(n);
        }
        for (int n = 0; n < count; ++n)
        {
            await_ready(n);
        }
    }

    /// Memory of a machine, as the site's sheet says.
    static constexpr int memory_mb = 260;

    const std::string& ip(int host) const { return ips_.at(static_cast<std::size_t>(host)); }
    int caller_port() const { return ports_.at(0); }
    /// What a host answers to the platform's question.
    bool says_ready(int host) const
    {
        auto it = channel::connect(ip(host), ports_[1]);
        bool asked = it && it->send("GET /api/ready HTTP/1.1\r\nHost: front\r\n\r\n");
        auto response = asked ? it->receive(milliseconds(1000)) : std::nullopt;
        return response && response->status() == 200;
    }
    /// The memory that a host's process has in use, in MB; 0 if it has ended.
    int resident_mb(int host) const
    {
        std::ifstream status(
            fmt::format("/proc/{}/status", hosts_.at(static_cast<std::size_t>(host))));
        for (std::string word; status >> word;)
        {
            if (word == "VmRSS:")
            {
                constexpr int kb_per_mb = 1024;
                int kb = 0;
                status >> kb;
                return kb / kb_per_mb;
            }
        }
        return 0;
    }
    /// Kills a host and starts it again after a short delay, as the platform does.
    void restart(int host)
    {
        pid_t pid = hosts_.at(static_cast<std::size_t>(host));
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        std::this_thread::sleep_for(milliseconds(1000));
        start_host(host);
        await_ready(host);
    }

private:
    struct server_entry
    {
        std::function<json()> entry;
        int sequence = 0;
    };

    void write_entry(const std::string& id)
    {
        auto& it = servers_.at(id);
        json entry = it.entry();
        entry["sequence"] = ++it.sequence;
        store_.put("keyed.servers", id, entry.dump());
    }

    /// Addresses of the loopback range on which the same ports are free.
    void choose_addresses(int count)
    {
        for (int attempt = 0; attempt < 100 && ips_.empty(); ++attempt)
        {
            int block = 20 + (::getpid() + attempt) % 200;
            ports_ = {21221 + attempt, 21224 + attempt, 21600 + 16 * attempt};
            std::vector<std::string> ips;
            bool all_free = true;
            for (int n = 0; n < count; ++n)
            {
                ips.push_back(fmt::format("127.{}.{}.{}", block, n % 2 + 1, n / 2 + 1));
                for (int port : ports_)
                {
                    all_free = all_free && is_free(ips.back(), port);
                }
                all_free = all_free && is_free(ips.back(), metrics_port);
            }
            if (all_free)
            {
                ips_ = ips;
            }
        }
        if (ips_.empty())
        {
            throw std::runtime_error("no loopback addresses with free ports");
        }
    }
    static bool is_free(const std::string& ip, int port)
    {
        bool bound = true;
        for (int type : {SOCK_STREAM, SOCK_DGRAM})
        {
            int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            sockaddr_in at{};
            at.sin_family = AF_INET;
            at.sin_port = htons(static_cast<std::uint16_t>(port));
            ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
            bound = bound && ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
            ::close(fd);
        }
        return bound;
    }

    void start_host(int n)
    {
        const auto& own_ip = ip(n);
        std::string settings = directory_ / fmt::format("front-{}.conf", n);
        std::ofstream(settings) << fmt::format(
            "node_name=front-{0}\nrole=entry\nmachine_class=front\nserves=front\nip={1}\n"
            "zone=kathmandu-{2}\nregion=kathmandu\nzones.kathmandu-a=kathmandu\n"
            "zones.kathmandu-b=kathmandu\nlisten.front={1}:{3}\nlisten.ready={1}:{4}\n"
            "internal_ports={5},{6}\nlimits.cpu_share=0.25\nlimits.cores=1\n"
            "limits.memory_mb={8}\nlimits.max_fds={9}\nlimits.link_mbps=1000.0\n"
            "heartbeat_ms=1200\nbounds.contact_ms=3000\nbounds.drain_ms=2000\n"
            "bounds.grace_s=8\nbounds.config_apply_ms=2000\nbounds.revoke_fail_closed=true\n"
            "bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
            "bounds.budget_extra_retries=52\nbounds.lease_ms=3000\nbounds.ceiling_window_s=5\n"
            "bounds.origin_rate_over=1.1\nplatform.address=127.0.0.1:{7}\nplatform.form=log\n"
            "platform.parts=12\nplatform.ttl_min_ms=1000\n",
            n, own_ip, n % 2 == 0 ? "a" : "b", ports_[0], ports_[1], ports_[2], ports_[2] + 15,
            store_.port(), memory_mb, max_descriptors);
        std::string log = directory_ / fmt::format("front-{}.log", n);
        std::string variable = "BANYANSHUNT_CONFIG=" + settings;
        // The command of deploy/system.toml, and a variable with the path of the settings.
        std::string program = "target/shunt-serve";
        char* arguments[] = {program.data(), nullptr};
        char* environment[] = {variable.data(), nullptr};
        pid_t pid = ::fork();
        if (pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            rlimit descriptors{.rlim_cur = max_descriptors, .rlim_max = max_descriptors};
            ::setrlimit(RLIMIT_NOFILE, &descriptors);
            int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            ::dup2(fd, STDOUT_FILENO);
            ::execve(program.c_str(), arguments, environment);
            ::_exit(127);
        }
        hosts_.resize(std::max(hosts_.size(), static_cast<std::size_t>(n) + 1));
        hosts_[static_cast<std::size_t>(n)] = pid;
    }

    void await_ready(int n)
    {
        constexpr int attempts = 100;
        for (int attempt = 0; attempt < attempts && !says_ready(n); ++attempt)
        {
            std::this_thread::sleep_for(milliseconds(100));
        }
        if (!says_ready(n))
        {
            throw std::runtime_error("a host does not become ready");
        }
    }

    static constexpr int metrics_port = 9464;
    static constexpr rlim_t max_descriptors = 4200;

    banyanshunt::store_stand_in store_{12};
    std::filesystem::path directory_;
    std::vector<std::string> ips_;
    /// For callers, for the balancer, and the first of those between hosts.
    std::vector<int> ports_;
    std::vector<pid_t> hosts_;
    std::mutex mutex_;
    std::map<std::string, server_entry> servers_;
    std::atomic<bool> stopping_ = false;
    std::thread heartbeats_;
};

/// What the entry of a server says beside its number.
inline json server_entry_of(const std::string& service, const std::string& zone, int port,
                            int slots, const json& models)
{
    return {{"service", service},     {"address", fmt::format("127.0.0.1:{}", port)},
            {"zone", zone},           {"version", "v1"},
            {"slots", slots},         {"state", "ready"},
            {"cold_remaining_ms", 0}, {"born", 1},
            {"models", models}};
}

/// Traffic starts so long after the machines, as the site's sheet says.
constexpr std::chrono::seconds lead_time{10};

inline bool has_trouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

/// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
template <class Case>
int run_case(int argc, char** argv, const Case& run)
{
    constexpr int cannot_run = 2;
    constexpr unsigned longest_run_s = 115;
    if (argc != 2)
    {
        std::cerr << "usage: " << argv[0] << " FOLDER\n";
        return cannot_run;
    }
    // The hosts end with this process.
    ::alarm(longest_run_s);
    int result = cannot_run;
    try
    {
        case_record record(std::string(argv[1]) + "/record.txt");
        result = run(record);
        record.write("exit {}", result);
    }
    catch (const std::exception& ex)
    {
        std::cerr << "the case could not run: " << ex.what() << "\n";
    }
    // Threads of stand-ins may still wait for input.
    std::cout.flush();
    ::_exit(result);
}

} // namespace review
