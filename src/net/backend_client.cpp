// Requests to the backend server beside this daemon.
#include "net/backend_client.h"

#include "net/caller_request.h"
#include "net/http_fields.h"

namespace radishford {

namespace {

// A connection to the backend server must open within this time.
constexpr std::chrono::milliseconds ConnectTimeout(500);
// Bytes of a body that may wait.
constexpr std::size_t MaxWaiting = std::size_t{256} << 10U;
// Connections kept for further requests.
constexpr std::size_t MaxKept = 64;
constexpr unsigned HttpVersion = 11;

// True when a kept connection was closed by the backend server.
bool isStale(beast::tcp_stream &stream)
{
    char byte = 0;
    error_code problem;
    stream.socket().non_blocking(true, problem);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, problem);
    return problem != asio::error::would_block;
}

// Copies the head of an answer into a frame.
AnswerHead headOf(const http::response_parser<http::buffer_body> &parser, std::uint64_t attempt)
{
    AnswerHead head;
    head.attempt_ = attempt;
    head.status_ = static_cast<std::uint16_t>(parser.get().result_int());
    head.fields_ = forwardedFields(parser.get());
    const auto length = parser.content_length();
    head.hasLength_ = length.has_value() || parser.is_done();
    head.length_ = length.value_or(0);
    return head;
}

} // namespace

BodyPipe::BodyPipe(const asio::any_io_executor &executor)
    : changed_(executor)
{
}

void BodyPipe::push(std::string bytes)
{
    waiting_ += bytes.size();
    total_ += bytes.size();
    parts_.push_back(std::move(bytes));
    changed_.notify();
}

void BodyPipe::end(bool whole)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    whole_ = whole;
    changed_.notify();
}

Task<> BodyPipe::hasRoom()
{
    while (!ended_ && waiting_ > MaxWaiting) {
        co_await changed_.wait();
    }
}

Task<std::optional<std::string>> BodyPipe::pop()
{
    while (parts_.empty() && !ended_) {
        co_await changed_.wait();
    }
    if (ended_ && !whole_) {
        co_return std::nullopt;
    }
    if (parts_.empty()) {
        co_return std::string();
    }
    std::string part = std::move(parts_.front());
    parts_.pop_front();
    waiting_ -= part.size();
    changed_.notify();
    co_return part;
}

std::uint64_t BodyPipe::total() const
{
    return total_;
}

bool BodyPipe::isWhole() const
{
    return whole_;
}

bool BodyPipe::isBroken() const
{
    return ended_ && !whole_;
}

BackendClient::BackendClient(Engine &engine)
    : engine_(engine)
{
}

void BackendClient::start(const std::shared_ptr<BackendRequest> &request, const Address &backend, Millis remaining)
{
    asio::co_spawn(engine_.context(), run(request, backend, remaining), asio::detached);
}

void BackendClient::cancel(BackendRequest &request)
{
    request.cancelled_ = true;
    request.body_->end(false);
    if (request.stream_) {
        request.stream_->close();
    }
}

Task<> BackendClient::run(std::shared_ptr<BackendRequest> request, Address backend, Millis remaining)
{
    const auto stream = co_await connect(backend);
    if (!stream || request->cancelled_) {
        engine_.post(BackendFailed{request->exchange_, BackendFault::Unreachable});
        co_return;
    }
    request->stream_ = stream;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    parser.skip(request->head_.method_ == "HEAD");
    const bool whole = co_await writeRequest(*request, remaining) && co_await relayAnswer(*request, parser);
    request->stream_.reset();
    if (!whole) {
        stream->close();
        const bool bodyBroken = request->body_->isBroken();
        engine_.post(BackendFailed{request->exchange_, bodyBroken ? BackendFault::BodyBroken : BackendFault::Broken});
        co_return;
    }
    if (parser.keep_alive() && kept_.size() < MaxKept && keptFor_ == backend) {
        kept_.push_back(stream);
    }
    engine_.post(BackendAnswered{request->exchange_, static_cast<std::uint16_t>(parser.get().result_int())});
}

Task<std::shared_ptr<beast::tcp_stream>> BackendClient::connect(Address backend)
{
    if (keptFor_ != backend) {
        kept_.clear();
        keptFor_ = backend;
    }
    while (!kept_.empty()) {
        const auto stream = kept_.back();
        kept_.pop_back();
        if (!isStale(*stream)) {
            co_return stream;
        }
    }
    const auto stream = std::make_shared<beast::tcp_stream>(engine_.context());
    stream->expires_after(ConnectTimeout);
    error_code problem;
    co_await stream->async_connect(toEndpoint<tcp>(backend), asio::redirect_error(asio::use_awaitable, problem));
    stream->expires_never();
    if (problem) {
        co_return nullptr;
    }
    stream->socket().set_option(tcp::no_delay(true), problem);
    co_return stream;
}

Task<bool> BackendClient::writeRequest(BackendRequest &request, Millis remaining)
{
    http::request<http::empty_body> message;
    message.version(HttpVersion);
    message.method_string(request.head_.method_);
    message.target(request.head_.target_);
    setFields(message, request.head_.fields_);
    message.set("Radishford-Deadline-Ms", std::to_string(remaining.count()));
    message.set("traceparent", request.traceParent_);
    const bool hasBody = !request.head_.hasLength_ || request.head_.length_ > 0;
    const bool chunked = hasBody && !request.head_.hasLength_;
    // chunked() removes the length, so it goes first.
    message.chunked(chunked);
    if (hasBody && !chunked) {
        message.content_length(request.head_.length_);
    }
    http::request_serializer<http::empty_body> serializer(message);
    error_code problem;
    co_await http::async_write_header(*request.stream_, serializer, asio::redirect_error(asio::use_awaitable, problem));
    while (!problem && hasBody) {
        const std::optional<std::string> part = co_await request.body_->pop();
        if (!part) {
            co_return false;
        }
        if (part->empty()) {
            break;
        }
        if (chunked) {
            co_await asio::async_write(*request.stream_, http::make_chunk(asio::buffer(*part)), asio::redirect_error(asio::use_awaitable, problem));
        } else {
            co_await asio::async_write(*request.stream_, asio::buffer(*part), asio::redirect_error(asio::use_awaitable, problem));
        }
    }
    if (chunked && !problem) {
        co_await asio::async_write(*request.stream_, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, problem));
    }
    co_return !problem;
}

Task<bool> BackendClient::relayAnswer(BackendRequest &request, http::response_parser<http::buffer_body> &parser)
{
    beast::flat_buffer buffer;
    error_code problem;
    co_await http::async_read_header(*request.stream_, buffer, parser, asio::redirect_error(asio::use_awaitable, problem));
    if (problem) {
        co_return false;
    }
    request.answerTo_->send(headOf(parser, request.attempt_));
    std::string part;
    while (!parser.is_done()) {
        part.resize(ChunkBytes);
        auto &body = parser.get().body();
        body.data = part.data();
        body.size = part.size();
        co_await http::async_read_some(*request.stream_, buffer, parser, asio::redirect_error(asio::use_awaitable, problem));
        if (problem && problem != http::error::need_buffer) {
            co_return false;
        }
        part.resize(ChunkBytes - body.size);
        request.answerBytes_ += part.size();
        if (!part.empty()) {
            request.answerTo_->send(BodyChunk{request.attempt_, part});
        }
        co_await request.answerTo_->drained();
    }
    co_return true;
}

} // namespace radishford
