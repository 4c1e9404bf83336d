// HTTP client for the backend server on the same instance as this daemon.
#include "net/backend_client.h"

#include "net/caller_request.h"
#include "net/http_fields.h"
#include "net/message_framing.h"
#include "net/socket_options.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace radishford {

namespace {

// A connection to the backend server must open within this time.
constexpr std::chrono::milliseconds ConnectTimeout(500);
// Writing the health check and reading its response must end within this time together.
constexpr std::chrono::milliseconds CheckTimeout(400);
// A request that is not written completely this long after its deadline is given up. The world cancels routed requests at the deadline itself.
constexpr Millis WriteGracePeriod{100};
// Maximum number of idle connections in the pool.
constexpr std::size_t MaxIdleConnections = 64;
// Maximum number of interim responses and responses to earlier requests that are skipped before the connection is given up.
constexpr int MaxSkippedResponses = 4;
// Maximum number of bytes that are buffered while the head or the chunk framing of a response is incomplete.
constexpr std::size_t MaxBufferedBytes = std::size_t{32} << 10U;
// Maximum size of the body of a response that is not forwarded, framing included; the connection is closed when it is longer.
constexpr std::size_t MaxSkippedBytes = std::size_t{64} << 10U;
// Size of one read while such a body is skipped.
constexpr std::size_t SkipReadBytes = 4096;
// The body of a refusal must end within this time, otherwise the connection is closed.
constexpr std::chrono::milliseconds RefusalBodyTimeout(50);
// Maximum size of the head of a response.
constexpr std::size_t MaxResponseHeadBytes = std::size_t{16} << 10U;
// A connection is no longer reused within this time before the backend server is expected to close it.
constexpr Millis CloseMargin{1000};
// How long an idle connection is reused when the backend server sends no Keep-Alive timeout. CloseMargin is not subtracted from it.
constexpr Millis DefaultKeepAliveTime{4000};
// HTTP/1.1 in Beast's notation.
constexpr unsigned HttpVersion = 11;

// True when the backend server has closed an idle connection, or has sent bytes that no request asked for.
bool isUnusable(beast::tcp_stream &stream)
{
    char byte = 0;
    error_code errorCode;
    stream.socket().non_blocking(true, errorCode);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, errorCode);
    return errorCode != asio::error::would_block;
}

// Copies the head of a response into a frame. The attempt id is the packed value that frames carry.
ResponseHead makeResponseHead(const http::response_parser<http::buffer_body> &parser, std::uint64_t attemptId)
{
    ResponseHead head;
    head.attempt_ = attemptId;
    head.status_ = static_cast<std::uint16_t>(parser.get().result_int());
    head.fields_ = forwardedFields(parser.get());
    const auto length = parser.content_length();
    head.hasLength_ = length.has_value();
    head.length_ = length.value_or(0);
    return head;
}

// How long an idle connection may be reused: the "timeout" parameter of the Keep-Alive field less CloseMargin.
Millis readKeepAliveTime(const BackendResponseHeader &header)
{
    constexpr std::string_view Parameter = "timeout=";
    constexpr std::int64_t MillisPerSecond = 1000;
    // Longer times are reduced to this one.
    constexpr std::int64_t MaxSeconds = 3600;
    const std::string field(header[http::field::keep_alive]);
    const std::size_t position = field.find(Parameter);
    if (position == std::string::npos) {
        return DefaultKeepAliveTime;
    }
    std::int64_t seconds = 0;
    std::from_chars(field.data() + position + Parameter.size(), field.data() + field.size(), seconds);
    return std::max(Millis(), Millis(std::clamp<std::int64_t>(seconds, 0, MaxSeconds) * MillisPerSecond) - CloseMargin);
}

// True for a response that precedes the final one. Status 101 is not among them: it ends the use of HTTP on the connection.
bool isInterim(const BackendResponseHeader &header)
{
    constexpr unsigned FirstFinalStatus = 200;
    return header.result_int() < FirstFinalStatus && header.result() != http::status::switching_protocols;
}

// True when a response could not be parsed; false when its connection ended or failed.
bool isMalformed(const error_code &errorCode)
{
    return errorCode.category() == http::make_error_code(http::error::end_of_stream).category() && errorCode != http::error::end_of_stream
        && errorCode != http::error::partial_message;
}

// True when a response states that the request was not run.
bool isRefusal(ResponseKind kind)
{
    return kind == ResponseKind::Refused || kind == ResponseKind::WrongInstance;
}

// True when the outbound side no longer waits for a request that was not sent yet. Its disconnect may not have been read, since it follows the
// frames of the request.
bool isWithdrawn(const BackendRequest &request)
{
    return request.cancelled_ || request.responseConnection_->isEnded();
}

// The fault to post for a response that is not forwarded.
BackendFault toBackendFault(ResponseKind kind)
{
    switch (kind) {
    case ResponseKind::Refused:
        return BackendFault::Refused;
    case ResponseKind::WrongInstance:
        return BackendFault::WrongInstance;
    default:
        return BackendFault::InvalidResponse;
    }
}

} // namespace

BackendClient::BackendClient(WorldRunner &worldRunner, const BackendAdapter &adapter)
    : worldRunner_(worldRunner)
    , adapter_(adapter)
{
}

void BackendClient::startRequest(const RequestPtr &request, const HandOver &effect)
{
    request->requestContext_.id_ = effect.backend_.id_;
    request->incarnation_ = effect.backend_.incarnation_;
    request->handedOverAt_ = WorldRunner::now();
    request->deadline_ = request->handedOverAt_ + effect.remaining_;
    request->maxReuseIdleTime_ = effect.maxReuseIdleTime_;
    asio::co_spawn(worldRunner_.context(), runRequest(request, effect.address_), asio::detached);
}

void BackendClient::cancelRequest(BackendRequest &request)
{
    request.cancelled_ = true;
    request.body_->end(false);
    if (request.stream_) {
        request.stream_->close();
    }
}

void BackendClient::startHealthCheck(const CheckBackendHealth &effect)
{
    asio::co_spawn(worldRunner_.context(), runCheck(effect), asio::detached);
}

Task<> BackendClient::runRequest(RequestPtr request, Address address)
{
    const Target target{address, BackendStart{request->requestContext_.id_, request->incarnation_}};
    if (isWithdrawn(*request)) {
        worldRunner_.post(BackendFailed{request->exchange_, BackendFault::NotSent, {}});
        co_return;
    }
    const AcquiredConnection acquired = co_await acquireConnection(target, request->maxReuseIdleTime_);
    const StreamPtr stream = acquired.stream_;
    request->requestContext_.remaining_ = request->deadline_ - WorldRunner::now();
    if (!stream) {
        worldRunner_.post(BackendFailed{request->exchange_, BackendFault::Unreachable, {}});
        co_return;
    }
    // A connection from the pool is there at once, so that the first check still holds.
    const bool isCancelled = acquired.isReused_ ? request->cancelled_ : isWithdrawn(*request);
    if (isCancelled || request->requestContext_.remaining_ <= Millis()) {
        worldRunner_.post(BackendFailed{request->exchange_, BackendFault::NotSent, {}});
        co_return;
    }
    request->stream_ = stream;
    // A backend server may respond before it has read the whole body, so writing and reading run concurrently.
    asio::co_spawn(worldRunner_.context(), writeRequest(request, stream), asio::detached);
    const ResponseResult result = co_await readResponse(*request, acquired);
    request->stream_.reset();
    if (result.complete_ && result.reusable_ && request->requestWritten_) {
        returnToPool(target, stream, result.keepAliveTime_);
    } else {
        stream->close();
    }
    if (result.complete_ && result.kind_ == ResponseKind::Matching) {
        worldRunner_.post(BackendResponded{request->exchange_, result.status_, result.load_, Bytes(static_cast<std::int64_t>(request->responseBytes_))});
    } else if (result.kind_ != ResponseKind::Matching) {
        worldRunner_.post(BackendFailed{request->exchange_, toBackendFault(result.kind_), result.load_});
    } else {
        const BackendFault fault = request->body_->isTruncated() ? BackendFault::BodyIncomplete : BackendFault::ConnectionClosed;
        worldRunner_.post(BackendFailed{request->exchange_, fault, {}, result.status_ == 0 ? acquired.idleTime_ : Millis()});
    }
}

Task<> BackendClient::runCheck(CheckBackendHealth effect)
{
    BackendChecked event;
    event.number_ = effect.number_;
    const Millis startedAt = WorldRunner::now();
    const Target target{effect.address_, effect.backend_};
    const AcquiredConnection acquired = co_await acquireConnection(target, Millis::never());
    const StreamPtr stream = acquired.stream_;
    if (stream) {
        error_code errorCode;
        HttpRequest request = makeRequest(http::verb::get, effect.path_);
        stream->expires_after(CheckTimeout);
        co_await http::async_write(*stream, request, asio::redirect_error(asio::use_awaitable, errorCode));
        beast::flat_buffer buffer(MaxBufferedBytes);
        // The request has no id, so that responses with one count as responses to earlier requests.
        const RequestHead sentHead;
        ReceivedHead head;
        head.error_ = errorCode;
        if (!errorCode) {
            head = co_await receiveHead(sentHead, *stream, buffer);
        }
        if (!head.error_) {
            ResponseParser &parser = *head.parser_;
            event.ok_ = parser.get().result() == http::status::ok;
            event.id_ = adapter_.readBackendId(parser.get());
            event.load_ = adapter_.readLoad(parser.get());
            if (!event.id_.value().empty()) {
                const BackendStart answering{event.id_, effect.backend_.incarnation_};
                worldRunner_.post(BackendStated{answering, startedAt, head.startedAt_, adapter_.readNotice(parser.get())});
            }
            const bool isReusable = co_await skipBody(*stream, buffer, parser) && parser.keep_alive() && buffer.size() == 0 && !head.hasSkippedResponse_;
            stream->expires_never();
            returnToPool(target, stream, isReusable ? readKeepAliveTime(parser.get()) : Millis());
        }
    }
    worldRunner_.post(event);
}

Task<BackendClient::AcquiredConnection> BackendClient::acquireConnection(Target target, Millis maxIdleTime)
{
    if (poolTarget_ != target) {
        idleConnections_.clear();
        poolTarget_ = target;
    }
    while (!idleConnections_.empty()) {
        const IdleConnection connection = idleConnections_.back();
        idleConnections_.pop_back();
        error_code ignored;
        // Ends the wait of watchIdle().
        connection.stream_->socket().cancel(ignored);
        const Millis idleTime = WorldRunner::now() - connection.idleSince_;
        if (WorldRunner::now() < connection.expiresAt_ && idleTime <= maxIdleTime && !isUnusable(*connection.stream_)) {
            co_return AcquiredConnection{connection.stream_, idleTime, true};
        }
    }
    const auto stream = std::make_shared<beast::tcp_stream>(worldRunner_.context());
    stream->expires_after(ConnectTimeout);
    error_code errorCode;
    co_await stream->async_connect(toEndpoint<tcp>(target.address_), asio::redirect_error(asio::use_awaitable, errorCode));
    stream->expires_never();
    if (errorCode) {
        co_return AcquiredConnection{nullptr, Millis(), false};
    }
    // No user timeout: the server may stop reading a body for a while, and it is on the same instance, so that no partition separates it.
    setIdleOptions(stream->socket());
    co_return AcquiredConnection{stream, Millis(), false};
}

void BackendClient::returnToPool(const Target &target, const StreamPtr &stream, Millis keepAliveTime)
{
    if (keepAliveTime > Millis() && idleConnections_.size() < MaxIdleConnections && poolTarget_ == target) {
        idleConnections_.push_back(IdleConnection{stream, WorldRunner::now() + keepAliveTime, WorldRunner::now()});
        watchIdle(stream);
    }
}

void BackendClient::watchIdle(const StreamPtr &stream)
{
    stream->socket().async_wait(tcp::socket::wait_read, [this, watched = std::weak_ptr(stream)](const error_code &errorCode) {
        if (!errorCode) {
            std::erase_if(idleConnections_, [closed = watched.lock()](const IdleConnection &connection) { return connection.stream_ == closed; });
        }
    });
}

Task<> BackendClient::writeRequest(RequestPtr request, StreamPtr stream)
{
    asio::steady_timer deadlineTimer(worldRunner_.context(), toChrono(request->deadline_ + WriteGracePeriod - WorldRunner::now()));
    deadlineTimer.async_wait([request, stream](const error_code &error) {
        if (!error && !request->requestWritten_) {
            stream->close();
        }
    });
    http::request<http::empty_body> message;
    message.version(HttpVersion);
    message.method_string(request->head_.method_);
    message.target(request->head_.target_);
    setFields(message, request->head_.fields_);
    adapter_.addFields(message, request->requestContext_);
    const bool hasBody = !request->head_.hasLength_ || request->head_.length_ > 0;
    const bool chunked = hasBody && !request->head_.hasLength_;
    // chunked() removes the Content-Length field, so it is called first.
    message.chunked(chunked);
    const bool hasLengthField = request->head_.hasLength_ && (hasBody || request->head_.method_ == "POST" || request->head_.method_ == "PUT");
    if (hasLengthField) {
        message.content_length(request->head_.length_);
    }
    http::request_serializer<http::empty_body> serializer(message);
    error_code errorCode;
    co_await http::async_write_header(*stream, serializer, asio::redirect_error(asio::use_awaitable, errorCode));
    while (!errorCode && hasBody) {
        const std::optional<std::string> part = co_await request->body_->pop();
        if (!part) {
            // The rest of the body is missing. Closing keeps the backend server from taking the request as complete.
            stream->close();
            co_return;
        }
        // An empty chunk marks the end of the body.
        if (part->empty()) {
            break;
        }
        if (chunked) {
            co_await asio::async_write(*stream, http::make_chunk(asio::buffer(*part)), asio::redirect_error(asio::use_awaitable, errorCode));
        } else {
            co_await asio::async_write(*stream, asio::buffer(*part), asio::redirect_error(asio::use_awaitable, errorCode));
        }
    }
    if (chunked && !errorCode) {
        co_await asio::async_write(*stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, errorCode));
    }
    request->requestWritten_ = !errorCode;
    request->wasReset_ = errorCode == asio::error::connection_reset;
}

Task<BackendClient::ReceivedHead> BackendClient::receiveHead(const RequestHead &request, beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    ReceivedHead head;
    for (int skipped = 0; skipped <= MaxSkippedResponses; ++skipped) {
        head.parser_ = std::make_unique<ResponseParser>();
        ResponseParser &parser = *head.parser_;
        parser.header_limit(MaxResponseHeadBytes);
        parser.body_limit(boost::none);
        parser.skip(request.method_ == "HEAD");
        head.error_ = co_await awaitBytes(stream, buffer);
        head.startedAt_ = WorldRunner::now();
        if (!head.error_) {
            head.error_ = co_await readHead(stream, buffer, parser, MaxResponseHeadBytes);
        }
        if (head.error_) {
            co_return head;
        }
        if (isInterim(parser.get())) {
            continue;
        }
        const bool isUsable = parser.get().result() != http::status::switching_protocols && !hasUnsupportedTransferEncoding(parser.get());
        head.kind_ = isUsable ? adapter_.classifyResponse(parser.get(), request.fields_) : ResponseKind::Invalid;
        if (head.kind_ != ResponseKind::Stale) {
            co_return head;
        }
        head.hasSkippedResponse_ = true;
        if (!co_await skipBody(stream, buffer, parser)) {
            break;
        }
    }
    // Too many responses, or too many bytes, came before the response.
    head.error_ = http::error::body_limit;
    co_return head;
}

Task<error_code> BackendClient::awaitBytes(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    error_code errorCode;
    if (buffer.size() == 0) {
        const std::size_t size = co_await stream.async_read_some(buffer.prepare(SkipReadBytes), asio::redirect_error(asio::use_awaitable, errorCode));
        buffer.commit(size);
    }
    co_return errorCode == asio::error::eof ? error_code(http::error::end_of_stream) : errorCode;
}

void BackendClient::postNotice(const BackendRequest &request, const ReceivedHead &head, bool isAmbiguous)
{
    const BackendResponseHeader &header = head.parser_->get();
    const bool isOwn = head.kind_ != ResponseKind::WrongInstance && (adapter_.namesRequest(header) || head.kind_ == ResponseKind::Refused);
    if (!isOwn) {
        return;
    }
    BackendNotice notice = adapter_.readNotice(header);
    notice.isLimitKnown_ = notice.isLimitKnown_ && !isAmbiguous;
    const BackendStart backend{request.requestContext_.id_, request.incarnation_};
    worldRunner_.post(BackendStated{backend, request.handedOverAt_, head.startedAt_, notice});
}

Task<BackendClient::ResponseResult> BackendClient::readResponse(BackendRequest &request, const AcquiredConnection &connection)
{
    beast::tcp_stream &stream = *connection.stream_;
    beast::flat_buffer buffer(MaxBufferedBytes);
    ResponseResult result;
    const ReceivedHead head = co_await receiveHead(request.head_, stream, buffer);
    if (head.error_) {
        // Unless the head is malformed, the connection ended before a complete head. complete_ stays false, which is posted as ConnectionClosed.
        result.kind_ = isMalformed(head.error_) ? ResponseKind::Invalid : ResponseKind::Matching;
        co_return result;
    }
    ResponseParser &parser = *head.parser_;
    // A refusal that names no request may be the repetition of one that was sent for an earlier request.
    const bool namesRequest = adapter_.namesRequest(parser.get());
    const bool isAmbiguous = isRefusal(head.kind_) && !namesRequest && (connection.isReused_ || head.hasSkippedResponse_);
    postNotice(request, head, isAmbiguous);
    result.kind_ = isAmbiguous ? ResponseKind::Invalid : head.kind_;
    result.status_ = static_cast<std::uint16_t>(parser.get().result_int());
    result.load_ = adapter_.readLoad(parser.get());
    result.keepAliveTime_ = readKeepAliveTime(parser.get());
    if (result.kind_ == ResponseKind::Matching) {
        result.complete_ = co_await forwardBody(request, stream, buffer, parser);
    } else if (isRefusal(result.kind_)) {
        // The result is known; the body is only read so that the connection can be used again.
        stream.expires_after(RefusalBodyTimeout);
        result.complete_ = co_await skipBody(stream, buffer, parser);
        stream.expires_never();
    }
    // Bytes after the response belong to no request, so the connection is not reused.
    const bool canBeTakenForAnother = isRefusal(result.kind_) && !namesRequest;
    result.reusable_
        = result.complete_ && !canBeTakenForAnother && !parser.need_eof() && parser.keep_alive() && buffer.size() == 0 && !head.hasSkippedResponse_;
    co_return result;
}

Task<bool> BackendClient::skipBody(beast::tcp_stream &stream, beast::flat_buffer &buffer, ResponseParser &parser)
{
    std::array<char, SkipReadBytes> part{};
    std::size_t skippedBytes = 0;
    const bool isTooLong = parser.need_eof() || parser.content_length().value_or(0) > MaxSkippedBytes;
    while (!isTooLong && !parser.is_done()) {
        auto &body = parser.get().body();
        body.data = part.data();
        body.size = part.size();
        error_code errorCode;
        skippedBytes += co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, errorCode));
        if ((errorCode && errorCode != http::error::need_buffer) || skippedBytes > MaxSkippedBytes) {
            co_return false;
        }
    }
    co_return !isTooLong;
}

Task<bool> BackendClient::forwardBody(BackendRequest &request, beast::tcp_stream &stream, beast::flat_buffer &buffer, ResponseParser &parser)
{
    ResponseHead head = makeResponseHead(parser, request.attempt_);
    if (adapter_.readNotice(parser.get()).isLeaving_) {
        head.leavingBackend_ = hashOf(BackendStart{request.requestContext_.id_, request.incarnation_});
    }
    request.responseConnection_->send(head);
    std::string part;
    while (!parser.is_done()) {
        part.resize(MaxChunkBytes);
        auto &body = parser.get().body();
        body.data = part.data();
        body.size = part.size();
        error_code errorCode;
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, errorCode));
        if (errorCode && errorCode != http::error::need_buffer) {
            co_return false;
        }
        part.resize(MaxChunkBytes - body.size);
        request.responseBytes_ += part.size();
        if (!part.empty()) {
            request.responseConnection_->send(BodyChunk{request.attempt_, part});
        }
        co_await request.responseConnection_->waitUntilDrained();
    }
    // A reset is reported once only: after a write has failed with it, reads see an ordinary end, which would end a response without length.
    co_return !parser.need_eof() || !request.wasReset_;
}

} // namespace radishford
