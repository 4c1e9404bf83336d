// One request of a caller while it is being served.
#pragma once

#include "call/call_type.h"
#include "call/unanswered_type.h"
#include "core/result_code.h"
#include "net/async_condition.h"
#include "net/http_client_server.h"
#include "net/net.h"
#include "net/peer_state.h"
#include "wire/frame_type.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace radishford {

// Maximum size of a body chunk that is read or sent at a time.
constexpr std::size_t MaxChunkBytes = std::size_t{64} << 10U;

// Reads a request from a caller's connection and writes the response to it.
class CallerRequest
{
public:
    using Parser = http::request_parser<http::buffer_body>;

    // The parser has read the request's header from the stream. All references must outlive the request. The number is the position of the request on
    // its connection, from 1.
    CallerRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, std::unique_ptr<Parser> parser, CallHandle handle, std::uint64_t number);

    // Lets the request write its response. Until then, writes wait: responses leave in the order of their requests.
    void grantTurn();

    // Waits until grantTurn() was called.
    Task<> waitForTurn();

    // The request's header.
    [[nodiscard]] const http::request_header<> &header() const;

    // Reads the body into memory until it is complete or exceeds maxBuffered; readChunk() streams the rest. Returns Ok, BodyTooLarge, BodyBroken, or
    // the reason given to interruptBuffering().
    Task<ResultCode> bufferBody(std::uint64_t limit, std::uint64_t maxBuffered);

    // Makes bufferBody() return the reason at once. Does nothing when the body is not being buffered.
    void interruptBuffering(ResultCode reason);

    // Sets the header fields that are forwarded to the backend server.
    void setFields(std::vector<HeaderField> fields);

    // Makes the connection close after the response.
    void closeAfterResponse();

    // Sets the maximum number of body bytes read from the connection.
    void limitStreamedBody(std::uint64_t limit);

    // Returns the next chunk of the body, from memory or the connection; empty at the end. Nothing when the body ended early or is too large.
    Task<std::optional<std::string>> readChunk();

    // Makes readChunk() start again at the first byte. Only valid for a fully buffered body.
    void rewind();

    // Writes the head of the response. False when the caller has disconnected or the request is finished.
    Task<bool> writeHead(const ResponseHead &head);

    // Writes a chunk of the response body. False when the caller has disconnected or the request is finished.
    Task<bool> writeChunk(const std::string &bytes);

    // Ends the response body. False when the caller has disconnected or the request is finished.
    Task<bool> writeEnd();

    // Ends the request after its response was written completely. Of several ends, the first one decides.
    void finish();

    // Ends the request. The daemon writes a failure response. Does nothing when the request has ended.
    void fail(ResultCode code, Millis retryAfter);

    // Ends the request. Its connection is closed without a complete response. Does nothing when the request has ended.
    void abort(UnansweredReason reason);

    // Waits until the request has ended, then cancels pending reads and writes and waits for their end.
    Task<> waitUntilFinished();

    // Builds the request head that is sent to the inbound daemon.
    [[nodiscard]] RequestHead head() const;

    [[nodiscard]] CallHandle handle() const;

    // Position of the request on its connection, from 1.
    [[nodiscard]] std::uint64_t number() const;

    // Sets the trace id, which is known once the header was read.
    void setTrace(TraceId trace);

    // Empty when the header was not read.
    [[nodiscard]] const TraceId &trace() const;

    // Bytes of the response that were written, without the framing of chunks.
    [[nodiscard]] Bytes written() const;

    // Notes that the caller gets no complete response. False when that was noted before.
    bool markUnanswered();

    // What is known of the caller's end of the connection.
    [[nodiscard]] PeerState callerState() const;

    // True when the body exceeded the limit while it was read.
    [[nodiscard]] bool isBodyTooLarge() const;

    // True once a response was written to its end.
    [[nodiscard]] bool isAnswered() const;

    // The complete body when isBuffered() is true, otherwise its first part as far as it was buffered.
    [[nodiscard]] const std::string &bufferedBody() const;

    // True when the complete body is in memory.
    [[nodiscard]] bool isBuffered() const;

    // The result code given to fail(), if any.
    [[nodiscard]] const std::optional<ResultCode> &failure() const;

    // False when a response with this status has no body, whatever its fields say: after HEAD, and for the statuses 204 and 304.
    [[nodiscard]] bool expectsBody(std::uint16_t status) const;

    // Writes a response created by the daemon. False when the connection cannot serve another request.
    Task<bool> writeResponse(HttpResponse response);

    // True when the connection may serve another request after this one.
    [[nodiscard]] bool mayKeepAlive() const;

    // Delay after which the caller may retry a failed request; zero when none is known.
    [[nodiscard]] Millis retryAfter() const;

    // True when the connection must be closed instead of serving another request.
    [[nodiscard]] bool mustClose() const;

    // True when the connection is closed without a complete response.
    [[nodiscard]] bool isAborted() const;

    // True once the request has ended.
    [[nodiscard]] bool isFinished() const;

private:
    // Counts a pending read or write of the connection for its lifetime, and wakes waitUntilFinished() at its end.
    class PendingOperation
    {
    public:
        explicit PendingOperation(CallerRequest &request)
            : request_(request)
        {
            ++request_.pendingOperations_;
        }
        ~PendingOperation()
        {
            --request_.pendingOperations_;
            request_.stateChanged_.notify();
        }
        PendingOperation(const PendingOperation &) = delete;
        PendingOperation &operator=(const PendingOperation &) = delete;

    private:
        CallerRequest &request_;
    };

    // Reads one chunk from the connection; empty at the end of the body. Nothing on failure.
    Task<std::optional<std::string>> readFromStream();

    // Reads the body into memory as bufferBody() does.
    Task<ResultCode> bufferChunks(std::uint64_t limit, std::uint64_t maxBuffered);

    // Sends "100 Continue" once, if the request expects it.
    Task<> sendContinue();

    // Waits until the response may be written. False when the request is finished.
    Task<bool> mayWrite();

    // Adds to the bytes of the response that were written.
    void countWritten(std::size_t size);

    // Marks the request as ended, and wakes waitUntilFinished().
    void end();

    beast::tcp_stream &stream_;
    beast::flat_buffer &buffer_;
    std::unique_ptr<Parser> parser_;
    CallHandle handle_;
    std::uint64_t number_ = 0;
    TraceId trace_;
    Bytes written_;
    bool answered_ = false;
    bool unansweredNoted_ = false;
    // Buffered part of the body.
    std::string body_;
    bool buffered_ = false;
    // True once the body exceeded the limit.
    bool isBodyTooLarge_ = false;
    bool isBuffering_ = false;
    // Why buffering was interrupted, if it was.
    std::optional<ResultCode> interruption_;
    // Position in body_ of the next chunk.
    std::size_t readPosition_ = 0;
    // Body bytes that may still be read.
    std::uint64_t remainingBytes_ = std::numeric_limits<std::uint64_t>::max();
    bool continueSent_ = false;
    // True when the response body has chunked transfer encoding.
    bool chunked_ = false;
    bool finished_ = false;
    // True once the responses to all earlier requests of the connection are written.
    bool hasTurn_ = false;
    // Number of reads and writes that have not ended.
    int pendingOperations_ = 0;
    // Why the connection is closed without a complete response, if it is.
    std::optional<UnansweredReason> aborted_;
    bool closeAfterResponse_ = false;
    Millis retryAfter_;
    std::vector<HeaderField> fields_;
    std::optional<ResultCode> failure_;
    AsyncCondition stateChanged_;
};

} // namespace radishford
