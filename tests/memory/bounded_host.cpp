#include "memory/bounded_host.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

extern char** environ;

namespace banyanshunt
{

using namespace std::chrono_literals;

namespace
{

constexpr int caller_port = 8221;
constexpr int ready_port = 8224;
constexpr int metrics_port = 9464;
constexpr auto poll_period = 25ms;

std::string program()
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() /
            "shunt-serve")
        .string();
}

void set_timeouts(int fd)
{
    timeval limit{.tv_sec = 1, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

} // namespace

raw_caller::raw_caller(const std::string& ip, int port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_timeouts(fd_);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
    {
        ::close(fd_);
        fd_ = -1;
    }
}

raw_caller::~raw_caller()
{
    if (fd_ >= 0)
    {
        ::close(fd_);
    }
}

bool raw_caller::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (fd_ >= 0 && sent < bytes.size())
    {
        auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return fd_ >= 0;
}

std::string raw_caller::receive() const
{
    std::string all;
    char buf[4096];
    for (ssize_t n = 0; fd_ >= 0 && (n = ::recv(fd_, buf, sizeof buf, 0)) > 0;)
    {
        all.append(buf, static_cast<std::size_t>(n));
    }
    return all;
}

bounded_host::bounded_host(const bounded_host_limits& its_limits) : limits(its_limits)
{
    char name[] = "/tmp/bounded-host-XXXXXX";
    folder_ = ::mkdtemp(name);
    ip_ = addresses_.address(1);
    configure(limits.body_bytes);
    store.put("keyed.servers", "d1", desk.registry_entry("desk"));
    std::string path = folder_ + "/settings.conf";
    std::ofstream(path) << fmt::format(
        "node_name=h1\nzone=north\nip={0}\nlisten.front={0}:{1}\nlisten.ready={0}:{2}\n"
        "internal_ports=7600,7615\nlimits.max_fds={3}\nlimits.memory_mb={4}\n"
        "platform.address=127.0.0.1:{5}\nplatform.parts=1\n",
        ip_, caller_port, ready_port, limits.max_descriptors, limits.memory_mb, store.port());
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0)
    {
        return;
    }
    log_ = ends[0];
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    std::string binary = program();
    std::string settings = "--settings=" + path;
    std::string metrics = fmt::format("--metrics_port={}", metrics_port);
    char* arguments[] = {binary.data(), settings.data(), metrics.data(), nullptr};
    // A library in this process ignores SIGPIPE, which the program would inherit.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t defaults;
    sigemptyset(&defaults);
    sigaddset(&defaults, SIGPIPE);
    posix_spawnattr_setsigdefault(&attributes, &defaults);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
    posix_spawn(&pid_, binary.c_str(), &actions, &attributes, arguments, environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    log_reader_ = std::thread(
        [this]
        {
            // A full pipe would hold up the host's log.
            char buf[4096];
            pollfd readable{.fd = log_, .events = POLLIN, .revents = 0};
            constexpr int poll_ms = 20;
            while (!log_closing_)
            {
                if (::poll(&readable, 1, poll_ms) > 0 && ::read(log_, buf, sizeof buf) <= 0)
                {
                    break;
                }
            }
        });
    for (int n = 0; n < 400 && !started_; ++n)
    {
        started_ = lives() && ready();
        std::this_thread::sleep_for(poll_period);
    }
}

bounded_host::~bounded_host()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    close_log();
    std::filesystem::remove_all(folder_);
}

bool bounded_host::lives()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
    {
        pid_ = 0;
    }
    return pid_ > 0;
}

double bounded_host::peak_memory_mb() const
{
    std::ifstream status(fmt::format("/proc/{}/status", pid_));
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("VmHWM:"))
        {
            constexpr double kb_per_mb = 1024;
            return std::strtod(line.c_str() + std::string("VmHWM:").size(), nullptr) / kb_per_mb;
        }
    }
    return 0;
}

std::size_t bounded_host::descriptors() const
{
    std::error_code ec;
    std::filesystem::directory_iterator at(fmt::format("/proc/{}/fd", pid_), ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(at), end(at)));
}

void bounded_host::close_log()
{
    log_closing_ = true;
    if (log_reader_.joinable())
    {
        log_reader_.join();
    }
    if (log_ >= 0)
    {
        ::close(log_);
        log_ = -1;
    }
}

void bounded_host::configure(int body_bytes)
{
    auto route = [](const char* prefix, const char* kind)
    {
        return nlohmann::json{{"name", prefix},        {"host", "desk.example"},
                              {"path_prefix", prefix}, {"kind", kind},
                              {"timeout_ms", 8000},    {"target_latency_ms", 500},
                              {"priority", 1},         {"service", "desk"},
                              {"max_attempts", 2},     {"public", false}};
    };
    nlohmann::json text = {
        {"version", ++version_},
        {"routes", {route("/read/", "idempotent"), route("/book/", "non_idempotent")}},
        {"services", {{{"name", "desk"}, {"health_path", "/health"}, {"max_connections", 400}}}},
        {"limits",
         {{"max_header_bytes", limits.header_bytes},
          {"max_body_bytes", body_bytes},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", limits.idle_timeout_ms}}},
        {"tenants",
         {{{"name", "clinics"}, {"api_keys", {"key-1"}}},
          {{"name", "others"}, {"api_keys", {"key-2"}}}}}};
    store.put("keyed.op", "config", text.dump());
}

std::unique_ptr<raw_caller> bounded_host::connect() const
{
    return std::make_unique<raw_caller>(ip_, caller_port);
}

bool bounded_host::ready() const
{
    raw_caller caller(ip_, ready_port);
    return caller.send("GET /api/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") &&
           caller.receive().starts_with("HTTP/1.1 200");
}

int bounded_host::status_of(const std::string& request) const
{
    auto caller = connect();
    caller->send(request);
    auto answer = caller->receive();
    constexpr std::size_t status_at = 9;
    return answer.size() > status_at + 3 ? std::atoi(answer.c_str() + status_at) : 0;
}

bool bounded_host::answers_a_request()
{
    constexpr int attempts = 40;
    for (int n = 0; n < attempts; ++n)
    {
        int status = status_of(
            fmt::format("GET /read/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: sound-{}\r\n"
                        "Authorization: Bearer key-2\r\nX-Deadline-Ms: 5000\r\n"
                        "Connection: close\r\n\r\n",
                        ++requests_));
        if (status == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(200ms);
    }
    return false;
}

} // namespace banyanshunt
