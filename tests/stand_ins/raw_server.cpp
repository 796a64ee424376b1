#include "stand_ins/raw_server.hpp"

#include <array>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/socket_io.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds poll_interval(10);

int listen_on_loopback()
{
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    constexpr int backlog = 64;
    listen(listener, backlog);
    return listener;
}

// Returns the end of the first request in the text, or npos while it is incomplete.
std::size_t end_of_request(const std::string& text)
{
    auto head = text.find("\r\n\r\n");
    if (head == std::string::npos)
    {
        return head;
    }
    std::size_t end = head + 4;
    auto field = text.find("Content-Length: ");
    if (field != std::string::npos && field < head)
    {
        end += std::stoul(text.substr(field + 16));
    }
    return end <= text.size() ? end : std::string::npos;
}

} // namespace

std::string http_text(int status, const std::string& body, const std::string& more_fields)
{
    return fmt::format("HTTP/1.1 {} Text\r\nContent-Length: {}\r\n{}\r\n{}", status, body.size(),
                       more_fields, body);
}

raw_server::raw_server(script it) : script_(std::move(it)), listener_(listen_on_loopback())
{
    address_ = fmt::format("127.0.0.1:{}", local_endpoint(listener_).port);
    acceptor_ = std::thread([this] { accept_all(); });
}

raw_server::~raw_server()
{
    end();
    for (auto& thread : threads_)
    {
        thread.join();
    }
}

void raw_server::end()
{
    std::call_once(ended_,
                   [this]
                   {
                       stopping_ = true;
                       acceptor_.join();
                       close(listener_);
                   });
}

void raw_server::accept_all()
{
    while (!stopping_)
    {
        if (wait_readable(listener_, poll_interval))
        {
            int socket = accept(listener_, nullptr, nullptr);
            int n = ++connections_;
            threads_.emplace_back([this, socket, n] { serve(socket, n); });
        }
    }
}

void raw_server::serve(int socket, int connection)
{
    std::string text;
    std::array<char, 4096> buf{};
    int n = 0;
    bool open = true;
    int resets = resets_;
    while (open && !stopping_ && resets == resets_)
    {
        if (!wait_readable(socket, poll_interval))
        {
            continue;
        }
        long received = read_some(socket, buf.data(), buf.size(), poll_interval);
        open = received > 0;
        text.append(buf.data(), open ? static_cast<std::size_t>(received) : 0);
        for (auto end = end_of_request(text); open && end != std::string::npos;
             end = end_of_request(text))
        {
            ++requests_;
            raw_response response = script_(connection, ++n, text.substr(0, end));
            text.erase(0, end);
            if (resets != resets_)
            {
                break;
            }
            write_all(socket, response.bytes, milliseconds(1000));
            if (!response.later.empty())
            {
                std::this_thread::sleep_for(response.later_after);
                write_all(socket, response.later, milliseconds(1000));
            }
            auto next_part = [&, part = 0]() mutable
            {
                if (response.endless_part)
                {
                    response.endless = response.endless_part(++part);
                }
                return !response.endless.empty();
            };
            while (next_part() && !stopping_ &&
                   write_all(socket, response.endless, milliseconds(200)) && !peer_closed(socket))
            {
                endless_bytes_ += response.endless.size();
                std::this_thread::sleep_for(response.pause);
            }
            open = !response.close && !response.reset && response.endless.empty();
            if (response.reset)
            {
                // What was sent is read first, as with a server that stops a moment later.
                std::this_thread::sleep_for(poll_interval);
                linger at_once{.l_onoff = 1, .l_linger = 0};
                setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
            }
        }
    }
    close(socket);
}

} // namespace banyanshunt
