// HTTP server for calls from callers.
#include "net/caller_server.h"

#include "call/call_func.h"
#include "call/load_shedding_func.h"
#include "net/accept_loop.h"
#include "net/message_framing.h"
#include "net/peer_socket.h"
#include "net/peer_state.h"
#include "net/request_fingerprint.h"
#include "net/socket_options.h"
#include "net/trace_context.h"
#include "world/shutdown_func.h"

#include <algorithm>
#include <random>

namespace radishford {

namespace {

// Size of one read while a request head is incomplete.
constexpr std::size_t HeaderReadBytes = 4096;
// Maximum number of bytes that are buffered beyond the limit of the head, while the chunk framing of a body is incomplete.
constexpr std::size_t MaxBufferedBytes = std::size_t{32} << 10U;
// Bodies up to this size are sent together with the offer.
constexpr std::uint64_t MaxInlineBodyBytes = std::uint64_t{64} << 10U;

// While the daemon exits, a new connection must send its request within this time.
constexpr Millis LastRequestTimeout{200};

// The port is closed once no connection was opened or closed for this time, since a caller whose connection ends may open the next one at once.
constexpr Millis PortQuietTime{20};
// Upper bound for the wait until the port is quiet.
constexpr Millis MaxPortQuietWait{200};

// After its last response, a connection is read until the caller closes it or sends nothing for this time: unread bytes would make the kernel reset
// the connection, which could destroy the response.
constexpr Millis LingerTimeout{500};
// Upper bound for the whole time after the last response.
constexpr Millis MaxLingerTime{5000};

// While unread bytes keep a socket readable, its connection is checked at this interval.
constexpr Millis DisconnectCheckInterval{50};

// Returns 64 random bits for trace ids and seeds.
std::uint64_t randomBits()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

// The bytes that were read and not yet parsed.
std::string_view unparsedBytes(const beast::flat_buffer &buffer)
{
    return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

// Tells how the caller of a connection has left.
UnansweredReason departureReason(tcp::socket &socket)
{
    return peerState(socket) == PeerState::Gone ? UnansweredReason::CallerReset : UnansweredReason::CallerClosed;
}

// True when the caller of a connection has left. One that has only closed its sending side awaits its responses.
bool hasLeft(tcp::socket &socket)
{
    const PeerState state = peerState(socket);
    return state == PeerState::Gone || (state == PeerState::SendingClosed && !isPeerSocketOpen(socket));
}

// True when a connection was opened from the address of the local backend server, which makes calls while it runs requests.
bool isFromBackend(const World &world, const tcp::socket &socket)
{
    error_code errorCode;
    const tcp::endpoint peer = socket.remote_endpoint(errorCode);
    return !errorCode && peer.address().is_v4() && peer.address().to_v4().to_uint() == world.settings_.backendAddress_.ip_;
}

// Time by which a routed call must have its response; never() for other calls, whose limit the world determines.
Millis responseDueAt(const CallArrived &event, Millis headerReadAt)
{
    return event.policy_.routed_ ? headerReadAt + timeoutOf(event, event.policy_) : Millis::never();
}

// Fills in the fields of a call event that depend on the body.
void completeEvent(CallArrived &event, const CallerRequest &request, std::string_view traceParent)
{
    const RequestHead head = request.head();
    event.handle_ = request.handle();
    event.isReplayable_ = request.isBuffered();
    event.canInlineBody_ = request.isBuffered() && request.bufferedBody().size() <= MaxInlineBodyBytes;
    event.bodySize_ = Bytes(static_cast<std::int64_t>(head.length_));
    event.fingerprint_ = fingerprintOf(head, event.callerService_, request.bufferedBody(), request.isBuffered());
    if (!event.trace_.value().empty()) {
        return;
    }
    const TraceContext context = readTraceParent(traceParent, randomBits(), randomBits());
    event.trace_ = context.trace_;
    event.parentSpan_ = context.parent_;
}

} // namespace

CallerServer::CallerServer(WorldRunner &worldRunner, const Address &address, const CallerLimits &limits, const CallAdapter &adapter)
    : worldRunner_(worldRunner)
    , adapter_(adapter)
    , acceptor_(worldRunner.context(), toEndpoint<tcp>(address))
    , limits_(limits)
    , connectionClosed_(worldRunner.context().get_executor())
    , random_(randomBits())
{
}

void CallerServer::start()
{
    AcceptOptions options;
    options.maxConnections_ = limits_.maxConnections_;
    options.connectionCount_ = [this]() { return connections_.size(); };
    options.serve_ = [this](tcp::socket socket) { serve(std::move(socket)); };
    options.rejectedCount_ = &worldRunner_.counters().refusedConnections_;
    asio::co_spawn(acceptor_.get_executor(), acceptLoop(acceptor_, options), asio::detached);
}

std::shared_ptr<CallerRequest> CallerServer::find(CallHandle handle)
{
    const auto found = requests_.find(handle);
    return found == requests_.end() ? nullptr : found->second;
}

void CallerServer::fail(const FailCall &effect)
{
    if (const auto request = find(effect.call_)) {
        request->fail(effect.code_, effect.retryAfter_);
    }
}

void CallerServer::abort(CallHandle handle, UnansweredReason reason)
{
    const auto request = find(handle);
    if (request && !request->isFinished()) {
        reportUnanswered(*request, reason);
        request->abort(reason);
    }
}

void CallerServer::endBody(CallHandle handle)
{
    const auto request = find(handle);
    if (!request || request->isFinished()) {
        return;
    }
    switch (request->callerState()) {
    case PeerState::Open:
        worldRunner_.post(CallerBodyFailed{handle, request->isBodyTooLarge() ? ResultCode::BodyTooLarge : ResultCode::BodyBroken});
        break;
    case PeerState::SendingClosed:
        reportUnanswered(*request, UnansweredReason::CallerClosed);
        break;
    case PeerState::Gone:
        abort(handle, UnansweredReason::BodyIncomplete);
        break;
    }
}

void CallerServer::reportUnanswered(CallerRequest &request, UnansweredReason reason)
{
    // A caller that has closed its sending side may still get a response, or fail to take it.
    const bool isFinal = reason != UnansweredReason::CallerClosed;
    if (isFinal && !request.markUnanswered()) {
        return;
    }
    worldRunner_.post(CallerDisconnected{request.handle(), request.trace(), reason, request.number(), request.written()});
}

std::size_t CallerServer::openRequestCount() const
{
    return *openRequests_;
}

void CallerServer::startDraining()
{
    isDraining_ = true;
    for (const ConnectionPtr &connection : connections_) {
        if (connection->bufferingRequest_) {
            connection->bufferingRequest_->interruptBuffering(ResultCode::DaemonLeaving);
        } else if (!connection->pipeline_.empty()) {
            connection->inputWatch_->wake();
        } else if (connection->isAwaitingHead_) {
            connection->stream_.cancel();
        }
    }
}

Task<> CallerServer::waitUntilDrained()
{
    const std::set<ConnectionPtr> openConnections = connections_;
    for (const ConnectionPtr &connection : openConnections) {
        while (connections_.contains(connection)) {
            co_await connectionClosed_.wait();
        }
    }
    co_await waitUntilPortIsQuiet();
    closeAcceptor(acceptor_, [this](tcp::socket socket) { serve(std::move(socket)); });
    worldRunner_.log("port for callers closed");
    // A connection that acceptLoop() has accepted is served before this resumes.
    co_await asio::post(worldRunner_.context(), asio::use_awaitable);
    while (!connections_.empty()) {
        co_await connectionClosed_.wait();
    }
}

Task<> CallerServer::waitUntilPortIsQuiet()
{
    const Millis end = WorldRunner::now() + MaxPortQuietWait;
    asio::steady_timer timer(worldRunner_.context());
    for (;;) {
        const Millis quietAt = std::min(portUsedAt_ + PortQuietTime, end);
        if (WorldRunner::now() >= quietAt) {
            co_return;
        }
        timer.expires_after(toChrono(quietAt - WorldRunner::now()));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void CallerServer::serve(tcp::socket socket)
{
    portUsedAt_ = WorldRunner::now();
    // No user timeout: a caller may stop reading for a while. CallerRequest limits the time of a write.
    setIdleOptions(socket, MaxUnansweredByCaller);
    // For readAvailable(). Fails only on a socket that is already closed; its next use reports the error.
    error_code ignored;
    socket.non_blocking(true, ignored);
    const auto connection = std::make_shared<CallerConnection>(std::move(socket), limits_.maxHeaderBytes_ + MaxBufferedBytes);
    connections_.insert(connection);
    asio::co_spawn(worldRunner_.context(), serveConnection(connection), asio::detached);
}

Task<> CallerServer::serveConnection(ConnectionPtr connection)
{
    bool isOpen = true;
    while (isOpen) {
        isOpen = co_await awaitRequest(connection);
        if (isOpen) {
            isOpen = co_await serveRequest(connection);
        }
    }
    co_await awaitPipeline(connection, false);
    error_code ignored;
    connection->stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (connection->hasResponded_) {
        co_await discardInput(connection);
    }
    connection->stream_.close();
    portUsedAt_ = WorldRunner::now();
    connections_.erase(connection);
    connectionClosed_.notify();
}

Task<> CallerServer::discardInput(ConnectionPtr connection)
{
    const Millis end = WorldRunner::now() + MaxLingerTime;
    error_code errorCode;
    while (!errorCode && WorldRunner::now() < end) {
        connection->buffer_.clear();
        errorCode = co_await readMore(connection, LingerTimeout);
    }
}

Task<error_code> CallerServer::readMore(ConnectionPtr connection, Millis timeout)
{
    error_code errorCode;
    beast::tcp_stream &stream = connection->stream_;
    stream.expires_after(toChrono(timeout));
    const std::size_t bytesRead
        = co_await stream.async_read_some(connection->buffer_.prepare(HeaderReadBytes), asio::redirect_error(asio::use_awaitable, errorCode));
    connection->buffer_.commit(bytesRead);
    co_return errorCode;
}

Task<error_code> CallerServer::readHeader(ConnectionPtr connection, CallerRequest::Parser &parser)
{
    beast::tcp_stream &stream = connection->stream_;
    beast::flat_buffer &buffer = connection->buffer_;
    error_code errorCode;
    std::size_t end = std::string_view::npos;
    while (!errorCode && (end = findHeadEnd(unparsedBytes(buffer))) == std::string_view::npos && buffer.size() < headerLimit()) {
        if (isDraining_) {
            errorCode = asio::error::operation_aborted;
        } else {
            errorCode = co_await readMore(connection, worldRunner_.world().routes_.requestLimits_.headerTimeout_);
        }
    }
    if (!errorCode && hasFoldedField(unparsedBytes(buffer).substr(0, end))) {
        errorCode = http::error::bad_field;
    }
    if (!errorCode) {
        // The complete head is in the buffer, so this reads no further bytes.
        co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, errorCode));
    }
    if (!errorCode && hasUnsupportedTransferEncoding(parser.get())) {
        errorCode = http::error::bad_transfer_encoding;
    }
    stream.expires_never();
    co_return errorCode;
}

std::uint32_t CallerServer::headerLimit() const
{
    const auto configuredLimit = static_cast<std::uint32_t>(worldRunner_.world().routes_.requestLimits_.maxHeader_.value());
    return std::min(limits_.maxHeaderBytes_, configuredLimit);
}

Task<bool> CallerServer::awaitRequest(ConnectionPtr connection)
{
    co_await awaitPipeline(connection, true);
    if (connection->isEnding_) {
        co_return false;
    }
    if (connection->buffer_.size() > 0) {
        co_return true;
    }
    // A request that crosses the close of an idle connection must stay unread.
    connection->hasResponded_ = false;
    const Millis timeout = isDraining_ ? LastRequestTimeout : worldRunner_.world().routes_.requestLimits_.idleTimeout_;
    error_code errorCode = co_await readMore(connection, timeout);
    if (errorCode == asio::error::operation_aborted && isDraining_) {
        // Interrupted by startDraining(). A caller that has just connected is about to send its first request.
        error_code ignored;
        const bool requestExpected = connection->requestCount_ == 0 || connection->stream_.socket().available(ignored) > 0;
        if (requestExpected) {
            errorCode = co_await readMore(connection, LastRequestTimeout);
        }
    }
    // A watch that is still pending has seen the same bytes.
    connection->inputWatch_->clearInput();
    co_return !errorCode;
}

Task<> CallerServer::awaitPipeline(ConnectionPtr connection, bool readsAhead)
{
    InputWatch &watch = *connection->inputWatch_;
    while (!connection->pipeline_.empty()) {
        const bool mayRead = readsAhead && mayReadAhead(*connection);
        if (mayRead && findHeadEnd(unparsedBytes(connection->buffer_)) != std::string_view::npos) {
            co_return;
        }
        if (!watch.hasInput()) {
            co_await watch.wait();
        } else if (!mayRead || !readAvailable(*connection)) {
            if (hasLeft(connection->stream_.socket())) {
                endAbandoned(*connection);
            }
            // Unread bytes and the end of the input keep the socket readable.
            co_await watch.pause(DisconnectCheckInterval);
        }
    }
}

bool CallerServer::mayReadAhead(const CallerConnection &connection) const
{
    const bool staysOpen = !connection.isEnding_ && connection.pipeline_.back()->mayKeepAlive() && !isShuttingDown(worldRunner_.world());
    return staysOpen && connection.pipeline_.size() < limits_.maxPipelinedRequests_ && connection.buffer_.size() < headerLimit();
}

bool CallerServer::readAvailable(CallerConnection &connection)
{
    error_code errorCode;
    connection.inputWatch_->clearInput();
    const std::size_t bytesRead = connection.stream_.socket().read_some(connection.buffer_.prepare(HeaderReadBytes), errorCode);
    connection.buffer_.commit(bytesRead);
    return !errorCode || errorCode == asio::error::would_block;
}

void CallerServer::endPipeline(CallerConnection &connection, UnansweredReason reason)
{
    connection.isEnding_ = true;
    for (const auto &request : connection.pipeline_) {
        if (!request->isFinished()) {
            reportUnanswered(*request, reason);
            request->abort(reason);
        }
    }
}

void CallerServer::endAbandoned(CallerConnection &connection)
{
    const UnansweredReason reason = departureReason(connection.stream_.socket());
    if (reason == UnansweredReason::CallerReset) {
        connection.isOver_ = true;
        endPipeline(connection, reason);
        return;
    }
    if (connection.isEnding_) {
        return;
    }
    connection.isEnding_ = true;
    for (const auto &request : connection.pipeline_) {
        if (!request->isFinished()) {
            reportUnanswered(*request, reason);
        }
    }
    if (!connection.pipeline_.empty()) {
        connection.pipeline_.back()->closeAfterResponse();
    }
}

Task<bool> CallerServer::serveRequest(ConnectionPtr connection)
{
    const auto openRequest = std::make_shared<OpenRequest>(openRequests_);
    auto parser = std::make_unique<CallerRequest::Parser>();
    parser->header_limit(headerLimit());
    parser->body_limit(boost::none);
    connection->isAwaitingHead_ = true;
    const error_code errorCode = co_await readHeader(connection, *parser);
    connection->isAwaitingHead_ = false;
    ++connection->requestCount_;
    const auto request
        = std::make_shared<CallerRequest>(connection->stream_, connection->buffer_, std::move(parser), CallHandle(++lastHandle_), connection->requestCount_);
    if (!errorCode) {
        const bool mayKeepAlive = co_await serveCall(connection, request, openRequest);
        connection->isAwaitingHead_ = mayKeepAlive;
        co_return mayKeepAlive;
    }
    co_await awaitPipeline(connection, false);
    if (connection->isEnding_) {
        co_return false;
    }
    if (errorCode == asio::error::operation_aborted && isDraining_) {
        co_return co_await rejectRequest(connection, request, ResultCode::DaemonLeaving, TraceId());
    }
    const bool isUnreadable = errorCode.category() == http::make_error_code(http::error::bad_field).category() && errorCode != http::error::end_of_stream;
    if (isUnreadable) {
        ++worldRunner_.counters().badRequests_;
        request->closeAfterResponse();
        co_await rejectRequest(connection, request, ResultCode::BadRequest, TraceId());
    } else {
        reportUnanswered(*request, UnansweredReason::HeadIncomplete);
    }
    co_return false;
}

Task<bool> CallerServer::rejectRequest(ConnectionPtr connection, std::shared_ptr<CallerRequest> request, ResultCode code, TraceId trace)
{
    connection->hasResponded_ = true;
    worldRunner_.post(RequestRefused{code, trace});
    const CallFailure failure{code, trace.value(), retryDelay(worldRunner_.world(), code, random_.uniformReal()), false};
    const bool mayKeepAlive = co_await writeFailure(request, failure);
    if (!request->isAnswered()) {
        reportUnanswered(*request, UnansweredReason::ResponseNotTaken);
    }
    co_return mayKeepAlive;
}

Task<bool> CallerServer::writeFailure(std::shared_ptr<CallerRequest> request, CallFailure failure)
{
    if (isShuttingDown(worldRunner_.world())) {
        request->closeAfterResponse();
    }
    failure.keepAlive_ = request->mayKeepAlive();
    const HttpResponse response = adapter_.makeFailureResponse(failure);
    co_return co_await request->writeResponse(response);
}

bool CallerServer::mayRunBesideOthers(const CallerRequest &request, const ParsedCallHeader &header) const
{
    return limits_.maxPipelinedRequests_ > 1 && header.code_ == ResultCode::Ok && header.event_.policy_.isIdempotent_ && request.mayKeepAlive() && !isDraining_;
}

Task<bool> CallerServer::serveCall(ConnectionPtr connection, std::shared_ptr<CallerRequest> request, std::shared_ptr<OpenRequest> openRequest)
{
    const Millis headerReadAt = WorldRunner::now();
    ParsedCallHeader parsedHeader = adapter_.readCall(worldRunner_.world(), request->header());
    const bool runsBesideOthers = mayRunBesideOthers(*request, parsedHeader);
    if (!runsBesideOthers && !connection->pipeline_.empty()) {
        co_await awaitPipeline(connection, false);
        if (connection->isEnding_) {
            co_return false;
        }
        // The configuration may have changed meanwhile. The service as which the request began stays.
        ParsedCallHeader current = adapter_.readCall(worldRunner_.world(), request->header());
        if (parsedHeader.code_ == ResultCode::Ok) {
            current.event_.callerService_ = parsedHeader.event_.callerService_;
            current.fields_ = std::move(parsedHeader.fields_);
        }
        parsedHeader = std::move(current);
    }
    const TraceId trace = parsedHeader.event_.trace_;
    request->setTrace(trace);
    if (parsedHeader.code_ != ResultCode::Ok) {
        co_return co_await rejectRequest(connection, request, parsedHeader.code_, trace);
    }
    const Millis dueAt = responseDueAt(parsedHeader.event_, headerReadAt);
    if (isDraining_ || refusesCall(worldRunner_.world(), dueAt)) {
        co_await awaitPipeline(connection, false);
        if (connection->isEnding_) {
            co_return false;
        }
        co_return co_await rejectRequest(connection, request, ResultCode::DaemonLeaving, trace);
    }
    request->setFields(std::move(parsedHeader.fields_));
    const auto limit = static_cast<std::uint64_t>(parsedHeader.maxBody_.value());
    request->limitStreamedBody(limit);
    const BodyLimits limits{limit, parsedHeader.isStreamed_ ? MaxReplayableBodyBytes : limit};
    const ResultCode body = co_await bufferBody(connection, request, limits, dueAt);
    if (body != ResultCode::Ok) {
        co_return co_await rejectRequest(connection, request, body, trace);
    }
    if (hasLeft(connection->stream_.socket())) {
        // The caller left while its request waited to be read.
        worldRunner_.post(RequestRefused{ResultCode::Withdrawn, trace});
        const bool mayRead = departureReason(connection->stream_.socket()) == UnansweredReason::CallerClosed;
        endAbandoned(*connection);
        if (!mayRead) {
            reportUnanswered(*request, UnansweredReason::CallerReset);
            co_return false;
        }
        request->closeAfterResponse();
        co_await awaitPipeline(connection, false);
        if (!connection->isOver_) {
            connection->hasResponded_ = true;
            const CallFailure failure{ResultCode::Withdrawn, trace.value(), Millis(), false};
            co_await writeFailure(request, failure);
        }
        co_return false;
    }
    parsedHeader.event_.bodyTime_ = WorldRunner::now() - headerReadAt;
    parsedHeader.event_.isFromBackend_ = isFromBackend(worldRunner_.world(), connection->stream_.socket());
    completeEvent(parsedHeader.event_, *request, request->header()["traceparent"]);
    request->setTrace(parsedHeader.event_.trace_);
    start(*connection, request, parsedHeader.event_);
    asio::co_spawn(acceptor_.get_executor(), respond(connection, request, parsedHeader.event_.trace_, openRequest), asio::detached);
    if (!runsBesideOthers) {
        co_await awaitPipeline(connection, false);
    }
    co_return !connection->isEnding_;
}

Task<ResultCode> CallerServer::bufferBody(ConnectionPtr connection, std::shared_ptr<CallerRequest> request, BodyLimits limits, Millis dueAt)
{
    connection->bufferingRequest_ = request;
    asio::steady_timer timer(worldRunner_.context());
    if (dueAt != Millis::never()) {
        timer.expires_after(toChrono(dueAt - WorldRunner::now()));
        timer.async_wait([request](const error_code &error) {
            if (!error) {
                request->interruptBuffering(ResultCode::DeadlineNotRun);
            }
        });
    }
    const ResultCode result = co_await request->bufferBody(limits.maxBody_, limits.maxBuffered_);
    connection->bufferingRequest_.reset();
    co_return result;
}

void CallerServer::start(CallerConnection &connection, const std::shared_ptr<CallerRequest> &request, const CallArrived &event)
{
    if (connection.pipeline_.empty()) {
        request->grantTurn();
    } else {
        ++worldRunner_.counters().pipelinedRequests_;
    }
    connection.pipeline_.push_back(request);
    requests_[request->handle()] = request;
    worldRunner_.post(event);
}

Task<> CallerServer::respond(ConnectionPtr connection, std::shared_ptr<CallerRequest> request, TraceId trace, std::shared_ptr<OpenRequest> /*openRequest*/)
{
    co_await request->waitUntilFinished();
    requests_.erase(request->handle());
    co_await request->waitForTurn();
    if (!connection->isOver_) {
        connection->hasResponded_ = !request->isAborted();
        bool mayKeepAlive = !request->mustClose();
        if (request->failure()) {
            const CallFailure failure{*request->failure(), trace.value(), request->retryAfter(), false};
            mayKeepAlive = co_await writeFailure(request, failure);
        }
        if (!request->isAborted() && !request->isAnswered()) {
            reportUnanswered(*request, UnansweredReason::ResponseNotTaken);
        }
        connection->isOver_ = connection->isOver_ || !mayKeepAlive;
    }
    connection->pipeline_.pop_front();
    if (connection->isOver_) {
        endPipeline(*connection, UnansweredReason::ConnectionEnding);
    }
    if (!connection->pipeline_.empty()) {
        connection->pipeline_.front()->grantTurn();
    }
    connection->inputWatch_->wake();
}

} // namespace radishford
