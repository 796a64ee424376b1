#include "stand_ins/fault_proxy.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace banyanshunt
{
namespace
{

constexpr int poll_ms = 10;
constexpr int backlog = 128;
constexpr std::size_t buffer_size = 16384;

sockaddr_in parse_address(const std::string& address)
{
    auto colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

// Owns a socket and closes it on destruction.
class socket_handle
{
public:
    explicit socket_handle(int fd) : fd_(fd) {}
    ~socket_handle()
    {
        if (fd_ >= 0)
        {
            close(fd_);
        }
    }
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;
    int get() const { return fd_; }

private:
    int fd_;
};

bool send_all(int fd, const char* data, ssize_t size)
{
    while (size > 0)
    {
        ssize_t n = send(fd, data, static_cast<std::size_t>(size), MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        data += n;
        size -= n;
    }
    return true;
}

} // namespace

struct fault_proxy::impl
{
    explicit impl(const std::string& given)
        : target(parse_address(given)), listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in any = parse_address("127.0.0.1:0");
        socklen_t size = sizeof(any);
        (void)bind(listener.get(), reinterpret_cast<sockaddr*>(&any), size);
        listen(listener.get(), backlog);
        getsockname(listener.get(), reinterpret_cast<sockaddr*>(&any), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
        acceptor = std::thread([this] { accept_until_stopped(); });
    }

    ~impl()
    {
        stopping = true;
        acceptor.join();
        for (auto& it : pumps)
        {
            it.join();
        }
    }

    void accept_until_stopped()
    {
        while (!stopping)
        {
            pollfd ready{.fd = listener.get(), .events = POLLIN, .revents = 0};
            if (poll(&ready, 1, poll_ms) <= 0)
            {
                continue;
            }
            int fd = accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
            {
                int generation_now = generation;
                pumps.emplace_back([this, fd, generation_now] { pump(fd, generation_now); });
            }
        }
    }

    void pump(int fd, int my_generation)
    {
        socket_handle client(fd);
        socket_handle upstream(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (is_cut || connect(upstream.get(), reinterpret_cast<const sockaddr*>(&target),
                              sizeof(target)) != 0)
        {
            return;
        }
        std::array<pollfd, 2> ends = {pollfd{.fd = client.get(), .events = POLLIN, .revents = 0},
                                      pollfd{.fd = upstream.get(), .events = POLLIN, .revents = 0}};
        while (!stopping && !is_cut)
        {
            if (generation != my_generation)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(poll_ms));
                continue;
            }
            // What arrives after a cut is not forwarded any more.
            if (poll(ends.data(), ends.size(), poll_ms) > 0 &&
                (is_cut || !forward_ready(ends, my_generation)))
            {
                return;
            }
        }
    }

    // Forwards the data received on each side to the other. Returns false once a side has closed.
    bool forward_ready(const std::array<pollfd, 2>& ends, int my_generation)
    {
        std::array<char, buffer_size> buf{};
        for (std::size_t i = 0; i < ends.size(); ++i)
        {
            if (ends[i].revents == 0)
            {
                continue;
            }
            ssize_t n = recv(ends[i].fd, buf.data(), buf.size(), 0);
            if (n <= 0)
            {
                return false;
            }
            // Data received while `blackhole` takes effect is lost with the connection's state.
            if (generation == my_generation && !send_all(ends[1 - i].fd, buf.data(), n))
            {
                return false;
            }
            forwarded_bytes += n;
        }
        return true;
    }

    sockaddr_in target;
    socket_handle listener;
    std::string address;
    std::atomic<bool> stopping = false;
    std::atomic<bool> is_cut = false;
    /// Connections of an older generation forward no data.
    std::atomic<int> generation = 0;
    std::atomic<long long> forwarded_bytes = 0;
    std::vector<std::thread> pumps;
    std::thread acceptor;
};

fault_proxy::fault_proxy(const std::string& target) : impl_(std::make_unique<impl>(target)) {}
fault_proxy::~fault_proxy() = default;

const std::string& fault_proxy::address() const
{
    return impl_->address;
}

void fault_proxy::cut()
{
    impl_->is_cut = true;
}

void fault_proxy::blackhole()
{
    ++impl_->generation;
}

void fault_proxy::heal()
{
    impl_->is_cut = false;
}

long long fault_proxy::bytes() const
{
    return impl_->forwarded_bytes;
}

} // namespace banyanshunt
