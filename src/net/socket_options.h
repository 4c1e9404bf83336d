// Options that let a dead or silent connection end soon.
#pragma once

#include "net/net.h"

#include <netinet/tcp.h>

namespace radishford {

// Sends small messages at once, and ends the connection when the other side has not confirmed anything for about two seconds.
inline void guardConnection(tcp::socket &socket)
{
    // Seconds of silence before the first probe, between probes, and probes without an answer.
    constexpr int ProbeAfterSeconds = 1;
    constexpr int ProbeEverySeconds = 1;
    constexpr int ProbesLost = 1;
    // Longest time that sent bytes may stay unconfirmed.
    constexpr int UnconfirmedMs = 1500;
    using Integer = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    error_code ignored; // A connection that is closed already has no options; its next use tells.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(Idle(ProbeAfterSeconds), ignored);
    socket.set_option(Interval(ProbeEverySeconds), ignored);
    socket.set_option(Count(ProbesLost), ignored);
    socket.set_option(Integer(UnconfirmedMs), ignored);
}

} // namespace radishford
