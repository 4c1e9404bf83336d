// Accepts connections of one port, up to a limit.
#pragma once

#include "net/net.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace radishford {

// What a port does with its connections.
struct AcceptPolicy {
    // Most connections at a time.
    std::size_t maxConnections_ = 0;
    // Connections open now.
    std::function<std::size_t()> count_;
    // Serves a connection; it is already counted when this returns.
    std::function<void(tcp::socket)> serve_;
    // Counts connections that were turned away.
    std::uint64_t *refused_ = nullptr;
};

// Accepts until the acceptor is closed. Both references must outlive the loop.
Task<> acceptLoop(tcp::acceptor &acceptor, AcceptPolicy policy);

} // namespace radishford
