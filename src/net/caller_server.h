// HTTP server for calls from callers.
#pragma once

#include "core/random.h"
#include "net/caller_request.h"
#include "net/http_adapters.h"
#include "net/input_watch.h"
#include "net/world_runner.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace radishford {

// Limits of the port for callers.
struct CallerLimits {
    std::size_t maxConnections_ = 4096;
    std::uint32_t maxHeaderBytes_ = 16384;
    // Maximum number of requests of one connection that are served at the same time.
    std::size_t maxPipelinedRequests_ = 1;
};

// One connection of a caller.
struct CallerConnection {
    CallerConnection(tcp::socket socket, std::size_t maxBufferedBytes)
        : stream_(std::move(socket))
        , buffer_(maxBufferedBytes)
        , inputWatch_(std::make_shared<InputWatch>(stream_.socket()))
    {
    }

    beast::tcp_stream stream_;
    // Bytes that were read and not yet parsed.
    beast::flat_buffer buffer_;
    // True while the connection waits for a request, or its head is incomplete.
    bool isAwaitingHead_ = true;
    // The request whose body is being buffered, if any.
    std::shared_ptr<CallerRequest> bufferingRequest_;
    // Number of requests that were read or rejected.
    std::uint64_t requestCount_ = 0;
    // True when the last request got a response.
    bool hasResponded_ = false;
    // Requests that are being served, in the order in which their responses leave.
    std::deque<std::shared_ptr<CallerRequest>> pipeline_;
    // True once no further request may be served: the caller sends nothing more, or a response announced the end of the connection.
    bool isEnding_ = false;
    // True once no further response may be written: one announced the end of the connection, or the connection is broken.
    bool isOver_ = false;
    // Shared, since a watch that was started may end after the connection.
    std::shared_ptr<InputWatch> inputWatch_;
};

// Listens for callers, posts their requests as CallArrived events and writes the results.
class CallerServer
{
public:
    // Listens on the address. Throws boost::system::system_error when the address is in use.
    CallerServer(WorldRunner &worldRunner, const Address &address, const CallerLimits &limits, const CallAdapter &adapter);

    // Starts to accept connections.
    void start();

    // Returns the request of a call, or nullptr once it has ended.
    std::shared_ptr<CallerRequest> find(CallHandle handle);

    // Ends a call with a failure response created by the daemon. Does nothing when the call has ended.
    void fail(const FailCall &effect);

    // Closes the connection of a call without a complete response, and posts CallerDisconnected. Does nothing when the call has ended.
    void abort(CallHandle handle, UnansweredReason reason);

    // Reports that the body of a call ended early, stalled, is malformed or too large. Does nothing when the call has ended.
    void endBody(CallHandle handle);

    // Refuses all requests that are not calls yet, also those that arrive later, and closes idle connections. Calls are served to their end.
    void startDraining();

    // Waits until all connections that were open at startDraining() are closed and the port is quiet, then stops to listen and waits for the later
    // connections.
    Task<> waitUntilDrained();

    // Number of requests that are being read or served, or whose response is being written.
    [[nodiscard]] std::size_t openRequestCount() const;

private:
    // Counts a request as open for its lifetime.
    class OpenRequest
    {
    public:
        explicit OpenRequest(std::shared_ptr<std::size_t> count)
            : count_(std::move(count))
        {
            ++*count_;
        }
        ~OpenRequest()
        {
            --*count_;
        }
        OpenRequest(const OpenRequest &) = delete;
        OpenRequest &operator=(const OpenRequest &) = delete;

    private:
        // Shared, since coroutines that are still suspended at the end outlive the server.
        std::shared_ptr<std::size_t> count_;
    };

    using ConnectionPtr = std::shared_ptr<CallerConnection>;

    // Waits until callers have neither opened nor closed a connection for a short time. The wait is bounded.
    Task<> waitUntilPortIsQuiet();

    // Starts to serve an accepted socket.
    void serve(tcp::socket socket);

    // Serves requests of one connection until it must be closed.
    Task<> serveConnection(ConnectionPtr connection);

    // Reads and serves one request. False when the connection must be closed.
    Task<bool> serveRequest(ConnectionPtr connection);

    // Maximum size of a request head in bytes: the lower of the local and the configured limit.
    [[nodiscard]] std::uint32_t headerLimit() const;

    // Waits for the first byte of a request. False when the connection has ended or was idle for too long.
    Task<bool> awaitRequest(ConnectionPtr connection);

    // Waits until the requests being served have their responses. With readsAhead, returns earlier when the head of a further request has arrived
    // that may be served beside them. Ends the requests when the caller leaves.
    Task<> awaitPipeline(ConnectionPtr connection, bool readsAhead);

    // True when a request may be read while earlier ones are being served. The pipeline must not be empty.
    [[nodiscard]] bool mayReadAhead(const CallerConnection &connection) const;

    // Reads the bytes that have arrived. False when the caller has left.
    bool readAvailable(CallerConnection &connection);

    // Aborts the requests of a connection that will get no response.
    void endPipeline(CallerConnection &connection, UnansweredReason reason);

    // Ends the requests of a connection whose caller sends nothing more. Aborts them if the connection is broken; otherwise the caller may still read.
    void endAbandoned(CallerConnection &connection);

    // Reports to the world, once for a request, that its caller gets no complete response.
    void reportUnanswered(CallerRequest &request, UnansweredReason reason);

    // Reads and discards what the caller still sends after the last response.
    Task<> discardInput(ConnectionPtr connection);

    // Reads further bytes into the buffer.
    Task<error_code> readMore(ConnectionPtr connection, Millis timeout);

    // Reads the head of a request. Returns an error for an ambiguous head, which could serve to smuggle a request.
    Task<error_code> readHeader(ConnectionPtr connection, CallerRequest::Parser &parser);

    // Rejects a request before it becomes a call. False when the connection must be closed.
    Task<bool> rejectRequest(ConnectionPtr connection, std::shared_ptr<CallerRequest> request, ResultCode code, TraceId trace);

    // Writes a failure response created by the daemon and sets its keep-alive flag. False when the connection must be closed.
    Task<bool> writeFailure(std::shared_ptr<CallerRequest> request, CallFailure failure);

    // True when a request may run beside others of its connection: it may run again, its body is empty, and the connection stays open after it.
    [[nodiscard]] bool mayRunBesideOthers(const CallerRequest &request, const ParsedCallHeader &header) const;

    // Serves a request whose header was read. Returns early when it may run beside further ones. False when the connection must be closed.
    Task<bool> serveCall(ConnectionPtr connection, std::shared_ptr<CallerRequest> request, std::shared_ptr<OpenRequest> openRequest);

    // Sizes in bytes up to which a body is accepted and buffered.
    struct BodyLimits {
        std::uint64_t maxBody_ = 0;
        std::uint64_t maxBuffered_ = 0;
    };

    // Buffers the body of a request until its response is due. Returns why the request must be rejected, or Ok.
    Task<ResultCode> bufferBody(ConnectionPtr connection, std::shared_ptr<CallerRequest> request, BodyLimits limits, Millis dueAt);

    // Adds a request to its connection's pipeline and posts its call.
    void start(CallerConnection &connection, const std::shared_ptr<CallerRequest> &request, const CallArrived &event);

    // Waits for the end of a call and completes its response in its turn.
    Task<> respond(ConnectionPtr connection, std::shared_ptr<CallerRequest> request, TraceId trace, std::shared_ptr<OpenRequest> openRequest);

    WorldRunner &worldRunner_;
    const CallAdapter &adapter_;
    tcp::acceptor acceptor_;
    CallerLimits limits_;
    std::set<ConnectionPtr> connections_;
    AsyncCondition connectionClosed_;
    // Spreads the retry delays of refused requests.
    Random random_;
    // Time at which a connection was last opened or closed.
    Millis portUsedAt_;
    // True once startDraining() was called.
    bool isDraining_ = false;
    std::shared_ptr<std::size_t> openRequests_ = std::make_shared<std::size_t>(0);
    std::uint64_t lastHandle_ = 0;
    std::map<CallHandle, std::shared_ptr<CallerRequest>> requests_;
};

} // namespace radishford
