// A TCP connection that carries frames between daemons.
#include "net/frame_connection.h"

#include "net/ack_monitor.h"
#include "net/peer_state.h"
#include "net/socket_options.h"

#include <utility>

namespace radishford {

namespace {

// Senders of body chunks wait while more bytes than this are queued.
constexpr std::size_t MaxQueuedBytes = std::size_t{256} << 10U;
// A frame must arrive completely within this time from its first byte.
constexpr std::chrono::seconds StallTimeout(5);

} // namespace

FrameConnection::FrameConnection(tcp::socket socket)
    : socket_(std::move(socket))
    , queueDrained_(socket_.get_executor())
{
    // No user timeout: a peer reads nothing while the caller or the backend server behind it pauses. Silent peers are detected by AckMonitor.
    setIdleOptions(socket_);
}

void FrameConnection::send(const Frame &frame)
{
    if (!isOpen()) {
        return;
    }
    const std::string bytes = encodeFrame(frame);
    queue_ += bytes;
    queuedBytes_ += bytes.size();
    if (!writing_) {
        writing_ = true;
        asio::co_spawn(
            socket_.get_executor(), [self = shared_from_this()]() { return self->writeLoop(); }, asio::detached);
    }
    if (!awaitingAcks_) {
        awaitingAcks_ = true;
        asio::co_spawn(
            socket_.get_executor(), [self = shared_from_this()]() { return self->closeIfSilent(); }, asio::detached);
    }
}

Task<> FrameConnection::waitUntilDrained()
{
    while (isOpen() && queuedBytes_ > MaxQueuedBytes) {
        co_await queueDrained_.wait();
    }
}

Task<> FrameConnection::waitUntilWritten()
{
    while (isOpen() && queuedBytes_ > 0) {
        co_await queueDrained_.wait();
    }
}

Task<std::optional<Frame>> FrameConnection::receive()
{
    std::string length(FrameLengthBytes, '\0');
    frameStartedAt_.reset();
    if (!co_await readExactly(length)) {
        co_return std::nullopt;
    }
    std::string bytes(decodeFrameLength(length), '\0');
    if (!co_await readExactly(bytes)) {
        co_return std::nullopt;
    }
    frameStartedAt_.reset();
    co_return decodeFrame(bytes);
}

void FrameConnection::close()
{
    error_code ignored;
    socket_.close(ignored);
    queue_.clear();
    queuedBytes_ = 0;
    queueDrained_.notify();
}

bool FrameConnection::isOpen() const
{
    return socket_.is_open();
}

bool FrameConnection::isUnusable()
{
    char byte = 0;
    error_code errorCode;
    socket_.non_blocking(true, errorCode);
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, errorCode);
    return errorCode != asio::error::would_block;
}

bool FrameConnection::isEnded()
{
    return !isOpen() || isClosedByPeer(socket_);
}

bool FrameConnection::isStalled() const
{
    return frameStartedAt_.has_value() && std::chrono::steady_clock::now() - *frameStartedAt_ > StallTimeout;
}

std::uint64_t FrameConnection::bytesSent() const
{
    return bytesSent_;
}

Address FrameConnection::remoteAddress() const
{
    error_code errorCode;
    const tcp::endpoint endpoint = socket_.remote_endpoint(errorCode);
    return errorCode ? Address{} : fromEndpoint(endpoint);
}

Task<> FrameConnection::writeLoop()
{
    // Yields once, so that all frames queued by the current handler leave in one write.
    co_await asio::post(socket_.get_executor(), asio::use_awaitable);
    while (isOpen() && !queue_.empty()) {
        const std::string bytes = std::exchange(queue_, std::string());
        error_code errorCode;
        co_await asio::async_write(socket_, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, errorCode));
        if (errorCode) {
            close();
            break;
        }
        bytesSent_ += bytes.size();
        queuedBytes_ -= std::min(queuedBytes_, bytes.size());
        queueDrained_.notify();
    }
    writing_ = false;
}

Task<> FrameConnection::closeIfSilent()
{
    AckMonitor monitor;
    asio::steady_timer timer(socket_.get_executor());
    error_code ignored;
    for (;;) {
        timer.expires_at(AckMonitor::nextCheckTime());
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!isOpen() || (queuedBytes_ == 0 && !hasUnacknowledgedBytes(socket_))) {
            break;
        }
        if (monitor.isSilent(socket_)) {
            close();
        }
    }
    awaitingAcks_ = false;
}

Task<bool> FrameConnection::readExactly(std::string &buffer)
{
    std::size_t filled = 0;
    while (filled < buffer.size()) {
        error_code errorCode;
        const auto target = asio::buffer(buffer.data() + filled, buffer.size() - filled);
        const std::size_t got = co_await socket_.async_read_some(target, asio::redirect_error(asio::use_awaitable, errorCode));
        if (errorCode) {
            close();
            co_return false;
        }
        filled += got;
        if (!frameStartedAt_.has_value()) {
            frameStartedAt_ = std::chrono::steady_clock::now();
        }
    }
    co_return true;
}

} // namespace radishford
