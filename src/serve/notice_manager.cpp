#include "serve/notice_manager.hpp"

#include <algorithm>

#include "peers.pb.h"

namespace banyanshunt
{

namespace
{

/// How long reports repeat that a server leaves: 410 hosts send those between domains every 3.8 s
/// (250 ms x 410/27), so each host gets three.
constexpr seconds report_duration{15};
/// A peer's notice older than this is not believed: a host repeats none for so long.
constexpr seconds max_notice_age = 2 * report_duration;

} // namespace

notice_manager::notice_manager(host_context& context, const peer_list& peers, broadcast send_to_all)
    : context_(context), peers_(peers), send_to_all_(std::move(send_to_all))
{
}

void notice_manager::write(const server_id& server, const leaving_notice& from,
                           peers::leaving_notice& to) const
{
    auto age = std::chrono::ceil<milliseconds>(context_.now() - from.stated_at).count();
    to.set_server(server.str());
    to.set_born_ms(from.start_time_ms);
    to.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0)));
}

void notice_manager::announce(const server_id& server)
{
    auto it = context_.servers.notices().all_leaving().find(server);
    if (it != context_.servers.notices().all_leaving().end())
    {
        auto message = peers_.new_message();
        write(server, it->second.notice, *message.add_leaving());
        send_to_all_(std::move(message));
    }
}

void notice_manager::handle_message(const peers::peer_message& message, instant sent_at)
{
    for (const auto& it : message.leaving())
    {
        instant stated_at = sent_at - milliseconds(it.age_ms());
        if (context_.now() - stated_at <= max_notice_age)
        {
            context_.record_leaving(server_id(it.server()), {.start_time_ms = it.born_ms(),
                                                             .source = notice_source::peer,
                                                             .stated_at = stated_at});
        }
    }
}

void notice_manager::fill_report(peers::peer_message& message) const
{
    instant now = context_.now();
    for (const auto& [server, it] : context_.servers.notices().all_leaving())
    {
        if (it.notice.source == notice_source::response &&
            now - it.notice.stated_at <= report_duration)
        {
            write(server, it.notice, *message.add_leaving());
        }
    }
}

} // namespace banyanshunt
