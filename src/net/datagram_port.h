// Datagrams between daemons.
#pragma once

#include "net/engine.h"

#include <array>
#include <deque>
#include <string>

namespace radishford {

// Sends and receives datagrams on one UDP port.
class DatagramPort
{
public:
    DatagramPort(Engine &engine, const Address &address);

    // Starts to receive.
    void start();

    // Sends a datagram; it is dropped when it cannot be sent at once.
    void send(const SendDatagram &effect);

private:
    // Receives datagrams.
    Task<> receiveLoop();

    Engine &engine_;
    udp::socket socket_;
};

} // namespace radishford
