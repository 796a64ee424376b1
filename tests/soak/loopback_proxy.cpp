#include "soak/loopback_proxy.hpp"

#include <array>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace banyanshunt::soak
{

namespace asio = boost::asio;
using boost::system::error_code;

struct loopback_proxy::link
{
    explicit link(tcp::socket taken) : caller(std::move(taken)), server(caller.get_executor()) {}

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
    bool silent = false;
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
        [this](error_code ec, tcp::socket taken)
        {
            if (ec)
            {
                return;
            }
            auto on = std::make_shared<link>(std::move(taken));
            std::erase_if(links_, [](const auto& it) { return it.expired(); });
            links_.push_back(on);
            on->server.async_connect(target_,
                                     [this, on](error_code failed)
                                     {
                                         if (failed)
                                         {
                                             on->close(true);
                                             return;
                                         }
                                         pump(on, true);
                                         pump(on, false);
                                     });
            accept();
        });
}

void loopback_proxy::pump(const std::shared_ptr<link>& on, bool forth)
{
    auto& from = forth ? on->caller : on->server;
    auto& to = forth ? on->server : on->caller;
    auto& bytes = on->bytes[forth ? 0 : 1];
    from.async_read_some(asio::buffer(bytes),
                         [this, on, forth, &to, &bytes](error_code ec, std::size_t n)
                         {
                             if (ec)
                             {
                                 on->close(false);
                                 return;
                             }
                             auto write_on = [this, on, forth, &to, &bytes, n]
                             {
                                 fault now = fault_;
                                 bool lost = on->silent || (forth && now == fault::drop_requests) ||
                                             (!forth && now == fault::drop_responses);
                                 if (lost)
                                 {
                                     on->silent = true;
                                     pump(on, forth);
                                     return;
                                 }
                                 asio::async_write(
                                     to, asio::buffer(bytes.data(), n),
                                     [this, on, forth](error_code failed, std::size_t)
                                     { failed ? on->close(false) : pump(on, forth); });
                             };
                             if (fault_ != fault::delay)
                             {
                                 write_on();
                                 return;
                             }
                             auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
                             timer->async_wait([timer, write_on](error_code) { write_on(); });
                         });
}

void loopback_proxy::reset_all()
{
    asio::post(loop_,
               [this]
               {
                   for (auto& it : links_)
                   {
                       if (auto on = it.lock())
                       {
                           on->close(true);
                       }
                   }
               });
}

void loopback_proxy::blackhole_all()
{
    asio::post(loop_,
               [this]
               {
                   for (auto& it : links_)
                   {
                       if (auto on = it.lock())
                       {
                           on->silent = true;
                       }
                   }
               });
}

} // namespace banyanshunt::soak
