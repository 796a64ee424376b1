#include "transport/loop/backend_pool.hpp"

#include <algorithm>

#include <boost/asio/this_coro.hpp>

namespace banyanshunt
{

namespace
{

/// The fraction of a server's idle limit after which a connection is not reused, so that a request
/// does not race with the server's close.
constexpr double reuse_fraction = 0.6;

} // namespace

bool backend_pool::usable(backend_connection& it, instant now) const
{
    return now - it.idle_since <= it.idle_limit && it.buffer.size() == 0 &&
           is_quiet(it.stream.socket());
}

backend_connection_ptr backend_pool::take_kept(const endpoint_text& address, const request_id& id)
{
    auto kept = idle_.find(address);
    if (kept == idle_.end())
    {
        return nullptr;
    }
    auto& connections = kept->second;
    for (auto n = connections.size(); n > 0; --n)
    {
        auto at = connections.begin() + static_cast<std::ptrdiff_t>(n - 1);
        bool is_usable = usable(**at, boot_clock().now());
        if (is_usable && !(*at)->history.may_carry(id))
        {
            continue;
        }
        backend_connection_ptr it = std::move(*at);
        connections.erase(at);
        if (is_usable)
        {
            return it;
        }
    }
    return nullptr;
}

task<backend_connection_ptr> backend_pool::acquire(endpoint_text address, request_id id)
{
    if (auto kept = take_kept(address, id))
    {
        kept->reused = true;
        co_return kept;
    }
    auto executor = co_await asio::this_coro::executor;
    auto it = std::make_unique<backend_connection>(executor);
    it->address = address;
    it->stream.expires_after(options_.connect_timeout);
    auto [ec] = co_await it->stream.async_connect(to_endpoint(address), as_result);
    if (ec)
    {
        co_return nullptr;
    }
    it->stream.expires_never();
    set_socket_options(it->stream.socket());
    ++opened_;
    co_return it;
}

void backend_pool::release(backend_connection_ptr connection,
                           std::optional<milliseconds> keep_alive)
{
    auto limit = static_cast<double>(keep_alive.value_or(options_.idle_limit).count());
    connection->idle_limit = milliseconds(static_cast<std::int64_t>(reuse_fraction * limit));
    connection->idle_since = boot_clock().now();
    auto& kept = idle_[connection->address];
    if (kept.size() < options_.max_idle && connection->buffer.size() == 0 &&
        !connection->history.is_full())
    {
        kept.push_back(std::move(connection));
    }
}

void backend_pool::close_idle(const endpoint_text& address)
{
    idle_.erase(address);
}

void backend_pool::prune(instant now)
{
    for (auto it = idle_.begin(); it != idle_.end();)
    {
        std::erase_if(it->second,
                      [&](const auto& c) { return now - c->idle_since > c->idle_limit; });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

std::size_t backend_pool::idle_count(const endpoint_text& address) const
{
    auto it = idle_.find(address);
    return it == idle_.end() ? 0 : it->second.size();
}

} // namespace banyanshunt
