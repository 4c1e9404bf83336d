// TCP options that detect a dead connection quickly.
#pragma once

#include "net/net.h"

#include <netinet/tcp.h>

namespace radishford {

// Number of keep-alive probes, one second apart, that a peer may leave unanswered. Another daemon that is silent holds requests that could go elsewhere.
constexpr int MaxUnansweredByDaemon = 1;
// A caller keeps its request when single packets are lost, since probes are not sent again.
constexpr int MaxUnansweredByCaller = 4;

// Disables Nagle's algorithm, and sets TCP keep-alive so that an idle connection fails one second and one more for each probe after the last
// acknowledgement.
inline void setIdleOptions(tcp::socket &socket, int maxUnansweredProbes = MaxUnansweredByDaemon)
{
    // Idle seconds before the first keep-alive probe, and seconds between probes.
    constexpr int ProbeIdleSeconds = 1;
    constexpr int ProbeIntervalSeconds = 1;
    using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    error_code ignored; // Setting options fails on a socket that is already closed; its next use reports the error.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(Idle(ProbeIdleSeconds), ignored);
    socket.set_option(Interval(ProbeIntervalSeconds), ignored);
    socket.set_option(Count(maxUnansweredProbes), ignored);
}

// Sets the options of setIdleOptions() and the TCP user timeout, so that a connection also fails when its peer does not acknowledge or accept bytes.
inline void setConnectionOptions(tcp::socket &socket)
{
    // Maximum time in milliseconds that sent bytes may stay unacknowledged, or that the peer may leave no room for further ones.
    constexpr int MaxUnacknowledgedMs = 1500;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    setIdleOptions(socket);
    error_code ignored;
    socket.set_option(UserTimeout(MaxUnacknowledgedMs), ignored);
}

} // namespace radishford
