// A TCP connection that carries frames between daemons.
#pragma once

#include "net/net.h"
#include "net/signal.h"
#include "wire/codec.h"

#include <memory>
#include <optional>
#include <string>

namespace radishford {

// Frames in both directions. Sends are queued and written in order; receiving is up to one coroutine.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    // Takes a connected socket.
    explicit FrameConnection(tcp::socket socket);

    // Queues a frame. Does nothing once the connection is closed.
    void send(const Frame &frame);

    // Waits until few bytes are queued, or the connection is closed.
    Task<> drained();

    // The next frame, or nothing once the connection is closed. Throws Error on a malformed or oversized frame.
    Task<std::optional<Frame>> receive();

    // Closes the connection; pending operations end.
    void close();

    // True while frames can be sent.
    [[nodiscard]] bool isOpen() const;

    // True when an idle connection was closed by the other side, or has unexpected bytes.
    [[nodiscard]] bool isStale();

    // True when part of a frame has been waiting for the rest longer than the stall limit.
    [[nodiscard]] bool isStalled() const;

    // Bytes written since the connection was opened.
    [[nodiscard]] std::uint64_t bytesSent() const;

    // Address of the other side.
    [[nodiscard]] Address remote() const;

private:
    // Writes queued frames until none is left.
    Task<> writeLoop();

    // Reads exactly the buffer's bytes. False once the connection is closed.
    Task<bool> readExactly(std::string &buffer);

    tcp::socket socket_;
    // Encoded frames that wait for the next write.
    std::string queue_;
    // Bytes queued or being written.
    std::size_t queuedBytes_ = 0;
    // True while writeLoop runs.
    bool writing_ = false;
    Signal drained_;
    std::uint64_t bytesSent_ = 0;
    // When the first byte of an incomplete frame came.
    std::optional<std::chrono::steady_clock::time_point> frameStartedAt_;
};

} // namespace radishford
