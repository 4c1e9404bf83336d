// A TCP connection that carries frames between daemons.
#pragma once

#include "net/async_condition.h"
#include "net/net.h"
#include "wire/codec.h"

#include <memory>
#include <optional>
#include <string>

namespace radishford {

// Sends and receives frames. Sent frames are queued and written in order; only one coroutine may call receive().
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    // Takes ownership of a connected socket.
    explicit FrameConnection(tcp::socket socket);

    // Queues a frame for writing. Does nothing once the connection is closed.
    void send(const Frame &frame);

    // Waits until the queue is within its limit, or the connection is closed.
    Task<> waitUntilDrained();

    // Waits until all queued frames are written, or the connection is closed.
    Task<> waitUntilWritten();

    // Waits for the next frame; nothing once the connection is closed. Throws Error on a malformed or oversized frame.
    Task<std::optional<Frame>> receive();

    // Closes the connection; pending operations end.
    void close();

    // True while frames can be sent.
    [[nodiscard]] bool isOpen() const;

    // True when the peer has closed an idle connection, or has sent unexpected bytes on it.
    [[nodiscard]] bool isUnusable();

    // True when the connection is closed, or the peer has closed its side, even if frames are still unread.
    [[nodiscard]] bool isEnded();

    // True when a frame has been incomplete for longer than the stall timeout.
    [[nodiscard]] bool isStalled() const;

    // Bytes written since the connection was opened.
    [[nodiscard]] std::uint64_t bytesSent() const;

    // Address of the peer; empty when the connection is closed.
    [[nodiscard]] Address remoteAddress() const;

private:
    // Writes queued frames until the queue is empty.
    Task<> writeLoop();

    // Closes the connection when the peer no longer acknowledges bytes. Ends once all are acknowledged.
    Task<> closeIfSilent();

    // Fills the buffer completely. False once the connection is closed.
    Task<bool> readExactly(std::string &buffer);

    tcp::socket socket_;
    // Encoded frames for the next write.
    std::string queue_;
    // Bytes queued or being written.
    std::size_t queuedBytes_ = 0;
    // True while writeLoop runs.
    bool writing_ = false;
    // True while closeIfSilent runs.
    bool awaitingAcks_ = false;
    AsyncCondition queueDrained_;
    std::uint64_t bytesSent_ = 0;
    // Arrival time of the first byte of an incomplete frame.
    std::optional<std::chrono::steady_clock::time_point> frameStartedAt_;
};

} // namespace radishford
