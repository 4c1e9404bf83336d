// Accepts connections on one listening port, up to a limit.
#pragma once

#include "net/net.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace radishford {

// Limits and callbacks of one listening port.
struct AcceptOptions {
    // Maximum number of open connections. Further ones are closed as soon as they are accepted.
    std::size_t maxConnections_ = 0;
    // Returns the number of connections open now.
    std::function<std::size_t()> connectionCount_;
    // Starts to serve an accepted socket. connectionCount_ must include the socket when this returns.
    std::function<void(tcp::socket)> serve_;
    // Counter of connections closed because of the limit.
    std::uint64_t *rejectedCount_ = nullptr;
};

// Accepts until the acceptor is closed; after other errors it tries again a little later. The acceptor and the counter must outlive the loop.
Task<> acceptLoop(tcp::acceptor &acceptor, AcceptOptions options);

// Closes the acceptor after serving the connections that the kernel has accepted, which it would reset otherwise.
void closeAcceptor(tcp::acceptor &acceptor, const std::function<void(tcp::socket)> &serve);

} // namespace radishford
