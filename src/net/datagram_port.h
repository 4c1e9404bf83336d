// UDP socket for datagrams between daemons.
#pragma once

#include "net/world_runner.h"

#include <array>
#include <deque>
#include <string>

namespace radishford {

// Sends and receives datagrams on one UDP port. Received ones are posted as DatagramArrived events.
class DatagramPort
{
public:
    // Binds to the address. Throws boost::system::system_error when the address is in use.
    DatagramPort(WorldRunner &worldRunner, const Address &address);

    // Starts to receive datagrams.
    void start();

    // Sends a datagram. Drops it when it cannot be encoded or the socket would block.
    void send(const SendDatagram &effect);

private:
    // Receives datagrams until the socket is closed. Malformed ones are counted and dropped.
    Task<> receiveLoop();

    WorldRunner &worldRunner_;
    udp::socket socket_;
};

} // namespace radishford
