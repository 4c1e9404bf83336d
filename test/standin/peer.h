// A connection of a caller, or of another daemon, to a daemon under test.
#pragma once

#include "standin/daemon_fixture.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishford {

// What arrived on a connection so far.
struct Received {
    std::string bytes_;
    // True once the daemon has closed its side.
    bool ended_ = false;
    // True when the connection was reset.
    bool reset_ = false;
};

// Reads until the connection ends. The first read starts after a delay.
inline Task<> readAll(std::shared_ptr<tcp::socket> socket, std::shared_ptr<Received> received, Millis delay)
{
    asio::steady_timer timer(socket->get_executor(), toChrono(delay));
    co_await timer.async_wait(asio::use_awaitable);
    std::string buffer(std::size_t{64} << 10U, '\0');
    error_code errorCode;
    while (!errorCode) {
        const std::size_t size = co_await socket->async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, errorCode));
        received->bytes_ += buffer.substr(0, size);
    }
    received->ended_ = true;
    received->reset_ = errorCode != asio::error::eof;
}

// A connection of a caller, or of another daemon, that reads what arrives.
class Peer
{
public:
    explicit Peer(DaemonFixture &fixture)
        : Peer(fixture, fixture.callerAddress(), Millis())
    {
    }

    // Connects to an address. The first read starts after a delay.
    Peer(DaemonFixture &fixture, const Address &address, Millis readDelay)
        : socket_(std::make_shared<tcp::socket>(fixture.context()))
    {
        socket_->connect(toEndpoint<tcp>(address));
        asio::co_spawn(fixture.context(), readAll(socket_, received_, readDelay), asio::detached);
    }

    // Sends bytes. False when the connection can no longer take them.
    bool write(const std::string &bytes)
    {
        error_code errorCode;
        asio::write(*socket_, asio::buffer(bytes), errorCode);
        return !errorCode;
    }

    void close()
    {
        error_code ignored;
        socket_->close(ignored);
    }

    // Closes the sending side only.
    void closeSending()
    {
        error_code ignored;
        socket_->shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Resets the connection.
    void reset()
    {
        error_code ignored;
        socket_->set_option(asio::socket_base::linger(true, 0), ignored);
        socket_->close(ignored);
    }

    [[nodiscard]] const Received &received() const
    {
        return *received_;
    }

    // The first response with its body, or nothing while it is incomplete.
    [[nodiscard]] std::optional<HttpResponse> response() const
    {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        parser.body_limit(boost::none);
        error_code errorCode;
        parser.put(asio::buffer(received_->bytes_), errorCode);
        return parser.is_done() ? std::optional<HttpResponse>(parser.get()) : std::nullopt;
    }

    // All complete responses, in order.
    [[nodiscard]] std::vector<HttpResponse> responses() const
    {
        std::vector<HttpResponse> messages;
        std::string_view rest = received_->bytes_;
        while (!rest.empty()) {
            http::response_parser<http::string_body> parser;
            parser.eager(true);
            parser.body_limit(boost::none);
            error_code errorCode;
            const std::size_t used = parser.put(asio::buffer(rest), errorCode);
            if (errorCode || !parser.is_done()) {
                break;
            }
            messages.push_back(parser.get());
            rest.remove_prefix(used);
        }
        return messages;
    }

    // True once one complete response with this status, which announces the end of the connection, has arrived.
    [[nodiscard]] bool hasLastResponse(unsigned status) const
    {
        const std::optional<HttpResponse> message = response();
        return message && message->result_int() == status && !message->keep_alive();
    }

    // True when the last frame that arrived from the daemon ends a response, or the connection after a response.
    [[nodiscard]] bool hasResponseEnd() const
    {
        std::string_view rest = received_->bytes_;
        bool isEnd = false;
        while (rest.size() >= FrameLengthBytes) {
            const std::size_t size = decodeFrameLength(rest.substr(0, FrameLengthBytes));
            if (rest.size() < FrameLengthBytes + size) {
                return false;
            }
            const Frame frame = decodeFrame(rest.substr(FrameLengthBytes, size));
            isEnd = std::holds_alternative<ResponseEnd>(frame) || (isEnd && std::holds_alternative<ConnectionEnd>(frame));
            rest.remove_prefix(FrameLengthBytes + size);
        }
        return isEnd;
    }

protected:
    // The connection, for further operations on it.
    [[nodiscard]] const std::shared_ptr<tcp::socket> &socket() const
    {
        return socket_;
    }

private:
    std::shared_ptr<tcp::socket> socket_;
    std::shared_ptr<Received> received_ = std::make_shared<Received>();
};

} // namespace radishford
