#include "stand_ins/loopback_proxy.hpp"

#include <array>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace banyanshunt
{

namespace asio = boost::asio;
using boost::system::error_code;

struct loopback_proxy::link
{
    explicit link(tcp::socket accepted) : caller(std::move(accepted)), server(caller.get_executor())
    {
    }

    void close(bool reset)
    {
        error_code ec;
        if (reset)
        {
            caller.set_option(asio::socket_base::linger(true, 0), ec);
            server.set_option(asio::socket_base::linger(true, 0), ec);
        }
        caller.close(ec);
        server.close(ec);
    }

    tcp::socket caller;
    tcp::socket server;
    bool blackholed = false;
    std::array<std::array<char, 16384>, 2> bytes;
};

loopback_proxy::loopback_proxy(const std::string& ip, int target_port)
    : acceptor_(loop_, {asio::ip::make_address_v4(ip), 0}),
      target_(asio::ip::make_address_v4("127.0.0.1"), static_cast<std::uint16_t>(target_port)),
      address_(ip + ":" + std::to_string(acceptor_.local_endpoint().port()))
{
    accept();
    thread_ = std::thread([this] { loop_.run(); });
}

loopback_proxy::~loopback_proxy()
{
    loop_.stop();
    thread_.join();
}

void loopback_proxy::accept()
{
    acceptor_.async_accept(
        [this](error_code ec, tcp::socket accepted)
        {
            if (ec)
            {
                return;
            }
            auto connection = std::make_shared<link>(std::move(accepted));
            std::erase_if(links_, [](const auto& it) { return it.expired(); });
            links_.push_back(connection);
            // Connects when the first request is there, as idle servers close connections.
            connection->caller.async_wait(tcp::socket::wait_read,
                                          [this, connection](error_code) { begin(connection); });
            accept();
        });
}

void loopback_proxy::begin(const std::shared_ptr<link>& connection)
{
    std::array<char, 64> buf{};
    error_code ec;
    auto n = connection->caller.receive(asio::buffer(buf), tcp::socket::message_peek, ec);
    std::string_view text(buf.data(), n);
    if (!freezing_prefix_.empty() && text.starts_with(freezing_prefix_))
    {
        freezing_prefix_.clear();
        frozen_ = true;
        std::this_thread::sleep_for(freeze_length_);
    }
    auto connect = [this, connection]
    {
        connection->server.async_connect(target_,
                                         [this, connection](error_code failed)
                                         {
                                             if (failed)
                                             {
                                                 connection->close(true);
                                                 return;
                                             }
                                             pump(connection, true);
                                             pump(connection, false);
                                         });
    };
    if (held_prefix_.empty() || holds_left_ == 0 || !text.starts_with(held_prefix_))
    {
        connect();
        return;
    }
    --holds_left_;
    auto timer = std::make_shared<asio::steady_timer>(loop_, hold_length_);
    timer->async_wait(
        [this, timer, connect](error_code)
        {
            {
                std::lock_guard lock(mutex_);
                hold_ends_.push_back(std::chrono::steady_clock::now());
            }
            connect();
        });
}

void loopback_proxy::pump(const std::shared_ptr<link>& connection, bool to_server)
{
    auto& from = to_server ? connection->caller : connection->server;
    auto& to = to_server ? connection->server : connection->caller;
    auto& bytes = connection->bytes[to_server ? 0 : 1];
    from.async_read_some(
        asio::buffer(bytes),
        [this, connection, to_server, &to, &bytes](error_code ec, std::size_t n)
        {
            if (ec)
            {
                connection->close(false);
                return;
            }
            auto forward = [this, connection, to_server, &to, &bytes, n]
            {
                fault now = fault_;
                bool drop = connection->blackholed || (to_server && now == fault::drop_requests) ||
                            (!to_server && now == fault::drop_responses);
                if (drop)
                {
                    connection->blackholed = true;
                    pump(connection, to_server);
                    return;
                }
                asio::async_write(to, asio::buffer(bytes.data(), n),
                                  [this, connection, to_server](error_code failed, std::size_t) {
                                      failed ? connection->close(false)
                                             : pump(connection, to_server);
                                  });
            };
            if (fault_ != fault::delay)
            {
                forward();
                return;
            }
            auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
            timer->async_wait([timer, forward](error_code) { forward(); });
        });
}

void loopback_proxy::reset_all()
{
    asio::post(loop_,
               [this]
               {
                   for (auto& it : links_)
                   {
                       if (auto connection = it.lock())
                       {
                           connection->close(true);
                       }
                   }
               });
}

void loopback_proxy::hold_requests(const std::string& prefix, std::chrono::milliseconds length,
                                   int max_requests)
{
    asio::post(loop_,
               [this, prefix, length, max_requests]
               {
                   held_prefix_ = prefix;
                   hold_length_ = length;
                   holds_left_ = max_requests;
               });
}

std::vector<std::chrono::steady_clock::time_point> loopback_proxy::hold_ends() const
{
    std::lock_guard lock(mutex_);
    return hold_ends_;
}

void loopback_proxy::freeze_at(const std::string& prefix, std::chrono::milliseconds length)
{
    frozen_ = false;
    asio::post(loop_,
               [this, prefix, length]
               {
                   freezing_prefix_ = prefix;
                   freeze_length_ = length;
               });
}

void loopback_proxy::freeze(std::chrono::milliseconds length)
{
    asio::post(loop_, [length] { std::this_thread::sleep_for(length); });
}

void loopback_proxy::blackhole_all()
{
    asio::post(loop_,
               [this]
               {
                   for (auto& it : links_)
                   {
                       if (auto connection = it.lock())
                       {
                           connection->blackholed = true;
                       }
                   }
               });
}

} // namespace banyanshunt
