#pragma once

/// \file
/// When a request that may be sent again gives up on a server that sends nothing.
///
/// Made for a load pattern in which sound servers fall silent for a second or so and go on, while
/// others are lost without closing their connections, and single connections go silent for good.
/// Giving up is never better for the caller than waiting unless the request can go on elsewhere, so
/// the sender asks first whether it may repeat the request.

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct server_silence_options
{
    /// A server that sent no data for this long on any connection may be lost.
    milliseconds server_timeout{900};
    /// A request waits no longer than this without a byte if its server sends on other connections.
    milliseconds request_timeout{2200};
};

/// How long nothing was received.
struct observed_silence
{
    /// Of the response.
    nanoseconds request{0};
    /// From the server, on any connection.
    nanoseconds server{0};
    /// Since the last complete event of a stream; 0 for other requests.
    nanoseconds event{0};
    /// How long the caller of a stream waits for its next event.
    nanoseconds event_timeout{0};
};

enum class silence_action
{
    wait,
    /// Goes on at another server as soon as one can take the request.
    move,
    /// Goes on at any server, also the same one on another connection.
    resend,
};

inline silence_action judge_silence(const observed_silence& silence,
                                    const server_silence_options& options)
{
    bool server_silent = silence.server > options.server_timeout;
    bool connection_dead = silence.request > options.request_timeout && !server_silent;
    // Bytes may arrive without ever completing an event.
    bool stalled = silence.event > silence.event_timeout;
    if (connection_dead || (stalled && !server_silent))
    {
        return silence_action::resend;
    }
    bool request_silent = silence.request > options.server_timeout;
    return server_silent && (request_silent || stalled) ? silence_action::move
                                                        : silence_action::wait;
}

} // namespace banyanshunt
