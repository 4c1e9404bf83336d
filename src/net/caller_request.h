// One caller's request while it is being served.
#pragma once

#include "call/call_type.h"
#include "core/result_code.h"
#include "net/http_exchange.h"
#include "net/net.h"
#include "net/signal.h"
#include "wire/frame_type.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace radishford {

// Largest part of a body that is passed on at a time.
constexpr std::size_t ChunkBytes = std::size_t{64} << 10U;

// A request read from a caller's connection, and the way back to the caller.
class CallerRequest
{
public:
    using Parser = http::request_parser<http::buffer_body>;

    // Works on the caller's connection, whose header the parser has read.
    CallerRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, CallHandle handle);

    // Reads the body into memory, or as much of it as may be held; the rest is streamed. Returns Ok, BodyTooLarge or BodyBroken.
    Task<ResultCode> bufferBody(std::uint64_t limit, std::uint64_t mostHeld);

    // Sets the header fields for the backend server.
    void setFields(std::vector<HeaderField> fields);

    // Closes the connection after the answer.
    void closeAfterwards();

    // Sets the most bytes that a streamed body may have.
    void limitStream(std::uint64_t limit);

    // The next part of the body, from memory or the connection; empty at its end. Nothing when the body ended early or is too large.
    Task<std::optional<std::string>> readChunk();

    // Starts again at the body's first byte; only for a body in memory.
    void rewind();

    // Writes the head of the answer. False when the caller has gone.
    Task<bool> writeHead(const AnswerHead &head);

    // Writes part of the answer's body.
    Task<bool> writeChunk(const std::string &bytes);

    // Ends the answer's body.
    Task<bool> writeEnd();

    // Ends the request: with an answer of our own if a code is given, by closing the connection if it must be cut.
    void finish(std::optional<ResultCode> failure, bool cut, Millis retryAfter = Millis());

    // Waits until finish() was called and no read or write of the connection is pending.
    Task<> finished();

    // The caller's connection.
    beast::tcp_stream &stream();

    // Request head for the inbound side.
    [[nodiscard]] RequestHead head() const;

    [[nodiscard]] CallHandle handle() const;

    // The whole body, when it is in memory.
    [[nodiscard]] const std::string &bufferedBody() const;

    // True when the body is in memory.
    [[nodiscard]] bool isBuffered() const;

    // The failure to report, if any.
    [[nodiscard]] const std::optional<ResultCode> &failure() const;

    // Answers the caller with a result of our own. False when the connection cannot serve another request.
    Task<bool> writeResponse(TextResponse response);

    // True when the connection may serve another request after this one.
    [[nodiscard]] bool mayKeepAlive() const;

    // When the caller may come again, if the request failed.
    [[nodiscard]] Millis retryAfter() const;

    // True when the connection cannot serve another request.
    [[nodiscard]] bool mustClose() const;

    // True once the request was finished.
    [[nodiscard]] bool isFinished() const;

private:
    // Marks a pending read or write of the connection, and wakes finished() at its end.
    class Pending
    {
    public:
        explicit Pending(CallerRequest &request)
            : request_(request)
        {
            ++request_.pending_;
        }
        ~Pending()
        {
            --request_.pending_;
            request_.done_.notify();
        }
        Pending(const Pending &) = delete;
        Pending &operator=(const Pending &) = delete;

    private:
        CallerRequest &request_;
    };

    // Reads one part from the connection. Nothing on failure.
    Task<std::optional<std::string>> readFromStream();

    // Tells a caller that waits for it to go on with its body.
    Task<> sendContinue();

    beast::tcp_stream &stream_;
    beast::flat_buffer &buffer_;
    Parser &parser_;
    CallHandle handle_;
    // Body in memory.
    std::string body_;
    bool buffered_ = false;
    // Position in body_ of the next part.
    std::size_t cursor_ = 0;
    // Body bytes that may still be read.
    std::uint64_t bytesLeft_ = std::numeric_limits<std::uint64_t>::max();
    bool continueSent_ = false;
    // True when the answer's body has chunked encoding.
    bool chunked_ = false;
    bool finished_ = false;
    // Reads and writes that have not ended.
    int pending_ = 0;
    bool cut_ = false;
    bool closeAfterwards_ = false;
    Millis retryAfter_;
    std::vector<HeaderField> fields_;
    std::optional<ResultCode> failure_;
    Signal done_;
};

} // namespace radishford
