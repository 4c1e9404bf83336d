// One request of a caller while it is being served.
#include "net/caller_request.h"

#include "net/http_fields.h"

#include <algorithm>
#include <array>
#include <utility>

namespace radishford {

namespace {

// A caller must send or accept the next chunk within this time.
constexpr std::chrono::seconds StallTimeout(20);
// HTTP/1.1 in Beast's notation.
constexpr unsigned HttpVersion = 11;

} // namespace

CallerRequest::CallerRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, std::unique_ptr<Parser> parser, CallHandle handle, std::uint64_t number)
    : stream_(stream)
    , buffer_(buffer)
    , parser_(std::move(parser))
    , handle_(handle)
    , number_(number)
    , stateChanged_(stream.get_executor())
{
}

Task<ResultCode> CallerRequest::bufferBody(std::uint64_t limit, std::uint64_t maxBuffered)
{
    const auto length = parser_->content_length();
    if (length && *length > limit) {
        co_return ResultCode::BodyTooLarge;
    }
    isBuffering_ = true;
    const ResultCode result = co_await bufferChunks(limit, maxBuffered);
    isBuffering_ = false;
    buffered_ = parser_->is_done();
    co_return result;
}

Task<ResultCode> CallerRequest::bufferChunks(std::uint64_t limit, std::uint64_t maxBuffered)
{
    while (!parser_->is_done() && body_.size() <= maxBuffered) {
        const std::optional<std::string> chunk = co_await readFromStream();
        if (interruption_) {
            co_return *interruption_;
        }
        if (!chunk) {
            co_return isBodyTooLarge_ ? ResultCode::BodyTooLarge : ResultCode::BodyBroken;
        }
        body_ += *chunk;
        if (body_.size() > limit) {
            co_return ResultCode::BodyTooLarge;
        }
    }
    co_return ResultCode::Ok;
}

void CallerRequest::interruptBuffering(ResultCode reason)
{
    if (isBuffering_ && !interruption_) {
        interruption_ = reason;
        stream_.cancel();
    }
}

void CallerRequest::setFields(std::vector<HeaderField> fields)
{
    fields_ = std::move(fields);
}

void CallerRequest::closeAfterResponse()
{
    closeAfterResponse_ = true;
}

bool CallerRequest::mayKeepAlive() const
{
    return parser_->is_done() && parser_->keep_alive() && !closeAfterResponse_;
}

Millis CallerRequest::retryAfter() const
{
    return retryAfter_;
}

void CallerRequest::limitStreamedBody(std::uint64_t limit)
{
    remainingBytes_ = limit;
}

Task<std::optional<std::string>> CallerRequest::readChunk()
{
    if (buffered_ || readPosition_ < body_.size()) {
        std::string chunk = body_.substr(readPosition_, MaxChunkBytes);
        readPosition_ += chunk.size();
        co_return chunk;
    }
    co_return co_await readFromStream();
}

void CallerRequest::rewind()
{
    readPosition_ = 0;
}

Task<std::optional<std::string>> CallerRequest::readFromStream()
{
    if (finished_) {
        co_return std::nullopt;
    }
    if (parser_->is_done()) {
        co_return std::string();
    }
    const PendingOperation operation(*this);
    co_await sendContinue();
    // An interruption between two reads finds nothing to cancel.
    if (interruption_) {
        co_return std::nullopt;
    }
    std::string chunk(MaxChunkBytes, '\0');
    auto &body = parser_->get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    stream_.expires_after(StallTimeout);
    error_code errorCode;
    co_await http::async_read_some(stream_, buffer_, *parser_, asio::redirect_error(asio::use_awaitable, errorCode));
    stream_.expires_never();
    if (errorCode && errorCode != http::error::need_buffer) {
        co_return std::nullopt;
    }
    chunk.resize(MaxChunkBytes - body.size);
    if (chunk.size() > remainingBytes_) {
        isBodyTooLarge_ = true;
        co_return std::nullopt;
    }
    remainingBytes_ -= chunk.size();
    if (chunk.empty() && !parser_->is_done()) {
        co_return co_await readFromStream();
    }
    co_return chunk;
}

Task<> CallerRequest::sendContinue()
{
    const bool expected = beast::iequals(parser_->get()[http::field::expect], "100-continue");
    if (!expected || continueSent_) {
        co_return;
    }
    continueSent_ = true;
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ignored;
    stream_.expires_after(StallTimeout);
    co_await asio::async_write(stream_, asio::buffer(Continue), asio::redirect_error(asio::use_awaitable, ignored));
}

Task<bool> CallerRequest::writeHead(const ResponseHead &head)
{
    if (!co_await mayWrite()) {
        co_return false;
    }
    const PendingOperation operation(*this);
    http::response<http::empty_body> response(static_cast<http::status>(head.status_), HttpVersion);
    radishford::setFields(response, head.fields_);
    chunked_ = expectsBody(head.status_) && !head.hasLength_;
    // chunked() removes the Content-Length field, so it is called first.
    response.chunked(chunked_);
    if (head.hasLength_ && head.status_ != 204) {
        response.content_length(head.length_);
    }
    // The rest of the body may still arrive; the announced end holds.
    closeAfterResponse_ = !mayKeepAlive();
    response.keep_alive(!closeAfterResponse_);
    http::response_serializer<http::empty_body> serializer(response);
    error_code errorCode;
    stream_.expires_after(StallTimeout);
    countWritten(co_await http::async_write_header(stream_, serializer, asio::redirect_error(asio::use_awaitable, errorCode)));
    co_return !errorCode;
}

Task<bool> CallerRequest::writeChunk(const std::string &bytes)
{
    if (finished_) {
        co_return false;
    }
    if (bytes.empty()) {
        co_return true;
    }
    const PendingOperation operation(*this);
    error_code errorCode;
    stream_.expires_after(StallTimeout);
    if (chunked_) {
        co_await asio::async_write(stream_, http::make_chunk(asio::buffer(bytes)), asio::redirect_error(asio::use_awaitable, errorCode));
    } else {
        co_await asio::async_write(stream_, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, errorCode));
    }
    countWritten(errorCode ? 0 : bytes.size());
    co_return !errorCode;
}

Task<bool> CallerRequest::writeEnd()
{
    if (finished_) {
        co_return false;
    }
    if (!chunked_) {
        answered_ = true;
        co_return true;
    }
    const PendingOperation operation(*this);
    error_code errorCode;
    stream_.expires_after(StallTimeout);
    co_await asio::async_write(stream_, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, errorCode));
    answered_ = !errorCode;
    co_return answered_;
}

bool CallerRequest::expectsBody(std::uint16_t status) const
{
    constexpr std::uint16_t NoContent = 204;
    constexpr std::uint16_t NotModified = 304;
    return parser_->get().method() != http::verb::head && status != NoContent && status != NotModified;
}

Task<bool> CallerRequest::writeResponse(HttpResponse response)
{
    response.keep_alive(mayKeepAlive());
    response.prepare_payload();
    const bool keepAlive = response.keep_alive();
    error_code errorCode;
    http::response_serializer<http::string_body> serializer(response);
    stream_.expires_after(StallTimeout);
    if (expectsBody(static_cast<std::uint16_t>(response.result_int()))) {
        countWritten(co_await http::async_write(stream_, serializer, asio::redirect_error(asio::use_awaitable, errorCode)));
    } else {
        countWritten(co_await http::async_write_header(stream_, serializer, asio::redirect_error(asio::use_awaitable, errorCode)));
    }
    answered_ = !errorCode;
    co_return answered_ &&keepAlive;
}

void CallerRequest::finish()
{
    end();
}

void CallerRequest::fail(ResultCode code, Millis retryAfter)
{
    if (finished_) {
        return;
    }
    if (written_ > Bytes()) {
        // A failure response cannot follow a part of another one.
        aborted_ = UnansweredReason::ResponseCut;
    } else {
        failure_ = code;
        retryAfter_ = retryAfter;
    }
    end();
}

void CallerRequest::abort(UnansweredReason reason)
{
    if (!finished_) {
        aborted_ = reason;
        end();
    }
}

void CallerRequest::end()
{
    finished_ = true;
    stateChanged_.notify();
}

void CallerRequest::countWritten(std::size_t size)
{
    written_ += Bytes(static_cast<std::int64_t>(size));
}

Task<> CallerRequest::waitUntilFinished()
{
    while (!finished_) {
        co_await stateChanged_.wait();
    }
    while (pendingOperations_ > 0) {
        stream_.cancel();
        co_await stateChanged_.wait();
    }
}

void CallerRequest::grantTurn()
{
    hasTurn_ = true;
    stateChanged_.notify();
}

Task<> CallerRequest::waitForTurn()
{
    while (!hasTurn_) {
        co_await stateChanged_.wait();
    }
}

Task<bool> CallerRequest::mayWrite()
{
    while (!hasTurn_ && !finished_) {
        co_await stateChanged_.wait();
    }
    co_return !finished_;
}

const http::request_header<> &CallerRequest::header() const
{
    return parser_->get();
}

RequestHead CallerRequest::head() const
{
    const auto &message = parser_->get();
    RequestHead head;
    head.method_ = std::string(message.method_string());
    head.target_ = std::string(message.target());
    head.fields_ = fields_;
    const auto length = parser_->content_length();
    head.hasLength_ = buffered_ || length.has_value();
    head.length_ = buffered_ ? body_.size() : length.value_or(0);
    return head;
}

CallHandle CallerRequest::handle() const
{
    return handle_;
}

std::uint64_t CallerRequest::number() const
{
    return number_;
}

void CallerRequest::setTrace(TraceId trace)
{
    trace_ = std::move(trace);
}

const TraceId &CallerRequest::trace() const
{
    return trace_;
}

Bytes CallerRequest::written() const
{
    return written_;
}

bool CallerRequest::markUnanswered()
{
    return !std::exchange(unansweredNoted_, true);
}

PeerState CallerRequest::callerState() const
{
    return peerState(stream_.socket());
}

bool CallerRequest::isBodyTooLarge() const
{
    return isBodyTooLarge_;
}

bool CallerRequest::isAnswered() const
{
    return answered_;
}

const std::string &CallerRequest::bufferedBody() const
{
    return body_;
}

bool CallerRequest::isBuffered() const
{
    return buffered_;
}

const std::optional<ResultCode> &CallerRequest::failure() const
{
    return failure_;
}

bool CallerRequest::mustClose() const
{
    return isAborted() || !mayKeepAlive();
}

bool CallerRequest::isAborted() const
{
    return aborted_.has_value();
}

bool CallerRequest::isFinished() const
{
    return finished_;
}

} // namespace radishford
