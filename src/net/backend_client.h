// HTTP client for the backend server on the same instance as this daemon.
#pragma once

#include "net/body_pipe.h"
#include "net/frame_connection.h"
#include "net/http_adapters.h"
#include "net/world_runner.h"

#include <memory>
#include <string>
#include <vector>

namespace radishford {

// One request to the backend server, shared by the exchange that supplies its body and the coroutines that run it.
struct BackendRequest {
    ExchangeHandle exchange_;
    std::uint64_t attempt_ = 0;
    RequestHead head_;
    BackendRequestContext requestContext_;
    // Start number of the backend server that must run the request.
    Incarnation incarnation_;
    // When the request was handed over, and the time by which the backend server must have responded.
    Millis handedOverAt_;
    Millis deadline_;
    // A pooled connection that has been idle for longer is not reused.
    Millis maxReuseIdleTime_ = Millis::never();
    // Request body, filled while frames arrive from the outbound daemon.
    std::shared_ptr<BodyPipe> body_;
    // Connection to the outbound daemon, on which the response is sent.
    std::shared_ptr<FrameConnection> responseConnection_;
    // Bytes of the response body sent so far.
    std::uint64_t responseBytes_ = 0;
    // True once cancelRequest() was called.
    bool cancelled_ = false;
    // True once the whole request, with its body, was written.
    bool requestWritten_ = false;
    // True once writing the request has failed because the backend server reset the connection.
    bool wasReset_ = false;
    // Connection in use; cancelRequest() closes it. Null before and after the exchange with the backend server.
    std::shared_ptr<beast::tcp_stream> stream_;
};

// Sends requests and health checks to the backend server over a pool of persistent connections.
class BackendClient
{
public:
    // Both references must outlive the client.
    BackendClient(WorldRunner &worldRunner, const BackendAdapter &adapter);

    // Starts a request. Posts BackendResponded or BackendFailed when it ends.
    void startRequest(const std::shared_ptr<BackendRequest> &request, const HandOver &effect);

    // Stops a request by closing its connection; the body is marked as incomplete.
    static void cancelRequest(BackendRequest &request);

    // Starts a health check, which also reads the load. Posts BackendChecked when it ends.
    void startHealthCheck(const CheckBackendHealth &effect);

private:
    using RequestPtr = std::shared_ptr<BackendRequest>;
    using StreamPtr = std::shared_ptr<beast::tcp_stream>;
    using ResponseParser = http::response_parser<http::buffer_body>;

    // A pooled connection that waits for the next request.
    struct IdleConnection {
        StreamPtr stream_;
        // The backend server is expected to close the connection soon after this time.
        Millis expiresAt_;
        Millis idleSince_;
    };

    // The head of the response that ends a request, or the reason why there is none.
    struct ReceivedHead {
        // Set when the connection ended, the head is malformed, or too much came before it.
        error_code error_;
        // Never Stale.
        ResponseKind kind_ = ResponseKind::Invalid;
        std::unique_ptr<ResponseParser> parser_;
        // True when responses to earlier requests came first.
        bool hasSkippedResponse_ = false;
        // When its first bytes were read.
        Millis startedAt_;
    };

    // Result of reading a response.
    struct ResponseResult {
        ResponseKind kind_ = ResponseKind::Invalid;
        // True when the response was received completely.
        bool complete_ = false;
        // True when the connection can be used for another request.
        bool reusable_ = false;
        Millis keepAliveTime_;
        std::uint16_t status_ = 0;
        BackendLoad load_;
    };

    // Runs one request from connecting to the posted event.
    Task<> runRequest(RequestPtr request, Address address);

    // Runs one health check.
    Task<> runCheck(CheckBackendHealth effect);

    // A connection from the pool or a new one.
    struct AcquiredConnection {
        // Null when no connection can be opened.
        StreamPtr stream_;
        Millis idleTime_;
        // True when the connection has carried other requests.
        bool isReused_ = false;
    };

    // One start of a backend server at its address.
    struct Target {
        Address address_;
        BackendStart backend_;
        bool operator==(const Target &) const = default;
    };

    // Takes a usable connection from the pool, or opens a new one. Empties the pool when the address or the start has changed.
    Task<AcquiredConnection> acquireConnection(Target target, Millis maxIdleTime);

    // Returns a connection to the pool. Does nothing when the pool is full, the address or the start has changed, or the time is zero.
    void returnToPool(const Target &target, const StreamPtr &stream, Millis keepAliveTime);

    // Closes a pooled connection as soon as the backend server closes it or sends bytes that no request asked for.
    void watchIdle(const StreamPtr &stream);

    // Writes the request with its body, and sets requestWritten_ on success. Closes the connection when the body is incomplete.
    Task<> writeRequest(RequestPtr request, StreamPtr stream);

    // Reads heads until one is final and does not belong to an earlier request. Bodies of responses to earlier requests are skipped.
    Task<ReceivedHead> receiveHead(const RequestHead &request, beast::tcp_stream &stream, beast::flat_buffer &buffer);

    // Reads some bytes unless the buffer holds any.
    static Task<error_code> awaitBytes(beast::tcp_stream &stream, beast::flat_buffer &buffer);

    // Posts what the head of a response to the request states about the backend server.
    void postNotice(const BackendRequest &request, const ReceivedHead &head, bool isAmbiguous);

    // Reads the response to the request, and forwards it unless it is a refusal or invalid.
    Task<ResponseResult> readResponse(BackendRequest &request, const AcquiredConnection &connection);

    // Reads and drops the body of a response. False when it is too long, has no end of its own, or ended early.
    static Task<bool> skipBody(beast::tcp_stream &stream, beast::flat_buffer &buffer, ResponseParser &parser);

    // Sends the head of a response and its body, as it is read, to the outbound daemon. False when the body ended early.
    Task<bool> forwardBody(BackendRequest &request, beast::tcp_stream &stream, beast::flat_buffer &buffer, ResponseParser &parser);

    WorldRunner &worldRunner_;
    const BackendAdapter &adapter_;
    // The start of the backend server that the pooled connections lead to.
    Target poolTarget_;
    std::vector<IdleConnection> idleConnections_;
};

} // namespace radishford
