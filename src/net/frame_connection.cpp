// A TCP connection that carries frames between daemons.
#include "net/frame_connection.h"

#include "net/socket_options.h"

#include <utility>

namespace radishford {

namespace {

// Senders of bodies wait while more than this is queued.
constexpr std::size_t DrainedBytes = std::size_t{256} << 10U;
// A frame must arrive whole within this time from its first bytes.
constexpr std::chrono::seconds StallLimit(5);

} // namespace

FrameConnection::FrameConnection(tcp::socket socket)
    : socket_(std::move(socket))
    , drained_(socket_.get_executor())
{
    guardConnection(socket_);
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
}

Task<> FrameConnection::drained()
{
    while (isOpen() && queuedBytes_ > DrainedBytes) {
        co_await drained_.wait();
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
    drained_.notify();
}

bool FrameConnection::isOpen() const
{
    return socket_.is_open();
}

bool FrameConnection::isStale()
{
    char byte = 0;
    error_code problem;
    socket_.non_blocking(true, problem);
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, problem);
    return problem != asio::error::would_block;
}

bool FrameConnection::isStalled() const
{
    return frameStartedAt_.has_value() && std::chrono::steady_clock::now() - *frameStartedAt_ > StallLimit;
}

std::uint64_t FrameConnection::bytesSent() const
{
    return bytesSent_;
}

Address FrameConnection::remote() const
{
    error_code problem;
    const tcp::endpoint endpoint = socket_.remote_endpoint(problem);
    return problem ? Address{} : fromEndpoint(endpoint);
}

Task<> FrameConnection::writeLoop()
{
    // Lets the frames of one turn gather, so that they leave in one write.
    co_await asio::post(socket_.get_executor(), asio::use_awaitable);
    while (isOpen() && !queue_.empty()) {
        const std::string bytes = std::exchange(queue_, std::string());
        error_code problem;
        co_await asio::async_write(socket_, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, problem));
        if (problem) {
            close();
            break;
        }
        bytesSent_ += bytes.size();
        queuedBytes_ -= std::min(queuedBytes_, bytes.size());
        drained_.notify();
    }
    writing_ = false;
}

Task<bool> FrameConnection::readExactly(std::string &buffer)
{
    std::size_t filled = 0;
    while (filled < buffer.size()) {
        error_code problem;
        const auto target = asio::buffer(buffer.data() + filled, buffer.size() - filled);
        const std::size_t got = co_await socket_.async_read_some(target, asio::redirect_error(asio::use_awaitable, problem));
        if (problem) {
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
