// State of a TCP connection at the other end.
#pragma once

#include "net/net.h"

#include <poll.h>
#include <sys/socket.h>

#include <cstdint>

namespace radishford {

// What is known of the other end of a connection.
enum class PeerState : std::uint8_t {
    Open, // It may send and receive.
    SendingClosed, // It sends nothing further. Whether it still receives is not known.
    Gone, // It has reset the connection, or the connection has failed.
};

// Returns the state of the peer. Unlike a read, this sees the end behind bytes that are still unread.
inline PeerState peerState(tcp::socket &socket)
{
    if (!socket.is_open()) {
        return PeerState::Gone;
    }
    pollfd descriptor{socket.native_handle(), POLLIN | POLLRDHUP, 0};
    if (poll(&descriptor, 1, 0) <= 0) {
        return PeerState::Open;
    }
    if ((descriptor.revents & (POLLHUP | POLLERR | POLLNVAL)) != 0) {
        return PeerState::Gone;
    }
    return (descriptor.revents & POLLRDHUP) != 0 ? PeerState::SendingClosed : PeerState::Open;
}

// True when the peer has closed or reset the connection.
inline bool isClosedByPeer(tcp::socket &socket)
{
    return peerState(socket) != PeerState::Open;
}

} // namespace radishford
