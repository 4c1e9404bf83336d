// Small HTTP client and server for the platform's store, announcements and admin pages.
#include "net/http_client_server.h"

#include "core/result_code.h"
#include "net/accept_loop.h"
#include "net/failure_response.h"
#include "net/message_framing.h"
#include "net/socket_options.h"

namespace radishford {

namespace {

// HTTP/1.1 in Beast's notation.
constexpr unsigned HttpVersion = 11;
// Limit for the head of a request or a response.
constexpr std::uint32_t MaxHeadBytes = 16384;
// Maximum number of bytes that are buffered while the head or the chunk framing of a message is incomplete.
constexpr std::size_t MaxBufferedBytes = std::size_t{128} << 10U;
// Limit of the server for the body of a request.
constexpr std::uint64_t MaxRequestBodyBytes = std::uint64_t{1} << 20U;
// Maximum number of open connections of a server.
constexpr std::size_t MaxConnections = 256;
// A request must arrive completely within this time after the connection was opened or the previous response was written, so this also limits
// the idle time of a connection. Writing a response must end within the same time.
constexpr std::chrono::seconds TransferTimeout(10);

// Reads a message into the parser.
template<typename Parser>
Task<error_code> readMessage(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser)
{
    error_code errorCode = co_await readHead(stream, buffer, parser, MaxHeadBytes);
    if (!errorCode && !parser.is_done()) {
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, errorCode));
    }
    co_return errorCode;
}

} // namespace

Task<std::optional<HttpResponse>> sendHttpRequest(asio::io_context &context, Address address, HttpRequest request, std::chrono::milliseconds timeout,
                                                  std::uint64_t maxBodyBytes)
{
    beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    error_code errorCode;
    co_await stream.async_connect(toEndpoint<tcp>(address), asio::redirect_error(asio::use_awaitable, errorCode));
    if (errorCode) {
        co_return std::nullopt;
    }
    setConnectionOptions(stream.socket());
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, errorCode));
    if (errorCode) {
        co_return std::nullopt;
    }
    beast::flat_buffer buffer(MaxBufferedBytes);
    http::response_parser<http::string_body> parser;
    parser.header_limit(MaxHeadBytes);
    parser.body_limit(maxBodyBytes);
    errorCode = co_await readMessage(stream, buffer, parser);
    if (errorCode) {
        co_return std::nullopt;
    }
    co_return parser.release();
}

HttpRequest makeRequest(http::verb method, const std::string &target, const std::string &body)
{
    HttpRequest request(method, target, HttpVersion);
    request.set(http::field::host, "radishford");
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    return request;
}

HttpResponse makeResponse(unsigned status, const std::string &contentType, std::string body)
{
    HttpResponse response(static_cast<http::status>(status), HttpVersion);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    return response;
}

HttpServer::HttpServer(asio::io_context &context, const Address &address, HttpHandler handler)
    : acceptor_(context, toEndpoint<tcp>(address))
    , handler_(std::move(handler))
{
}

void HttpServer::start()
{
    AcceptOptions options;
    options.maxConnections_ = MaxConnections;
    options.connectionCount_ = [this]() { return connections_; };
    options.serve_ = [this](tcp::socket socket) { asio::co_spawn(acceptor_.get_executor(), serveConnection(std::move(socket)), asio::detached); };
    options.rejectedCount_ = &rejectedCount_;
    asio::co_spawn(acceptor_.get_executor(), acceptLoop(acceptor_, options), asio::detached);
}

std::uint64_t HttpServer::badRequestCount() const
{
    return badRequestCount_;
}

Task<> HttpServer::serveConnection(tcp::socket socket)
{
    ++connections_;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(MaxBufferedBytes);
    error_code errorCode;
    bool keepAlive = true;
    while (keepAlive) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(MaxHeadBytes);
        parser.body_limit(MaxRequestBodyBytes);
        stream.expires_after(TransferTimeout);
        errorCode = co_await readMessage(stream, buffer, parser);
        HttpResponse response;
        if (errorCode) {
            const bool canRespond = errorCode != http::error::end_of_stream && errorCode != beast::error::timeout && parser.got_some();
            if (!canRespond) {
                break;
            }
            ++badRequestCount_;
            // There is no trace id, and the keep-alive flag is overwritten below.
            response = failureResponse(ResultCode::BadRequest, "", false);
        } else {
            // The handler may take longer than TransferTimeout.
            stream.expires_never();
            response = co_await handler_(parser.get());
        }
        response.keep_alive(!errorCode && parser.keep_alive());
        response.prepare_payload();
        keepAlive = response.keep_alive();
        stream.expires_after(TransferTimeout);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, errorCode));
        keepAlive = keepAlive && !errorCode;
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, errorCode);
    --connections_;
}

} // namespace radishford
