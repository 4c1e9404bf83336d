// Small HTTP client and server for the platform's store, announcements and admin pages.
#pragma once

#include "net/net.h"

#include <functional>
#include <optional>
#include <string>

namespace radishford {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Bytes that the body of a response may have when the caller of sendHttpRequest() sets no limit.
constexpr std::uint64_t DefaultResponseBodyLimit = std::uint64_t{64} << 20U;

// Sends a request on a new connection and reads the response. Nothing when the response is not complete within the timeout.
Task<std::optional<HttpResponse>> sendHttpRequest(asio::io_context &context, Address address, HttpRequest request, std::chrono::milliseconds timeout,
                                                  std::uint64_t maxBodyBytes = DefaultResponseBodyLimit);

// Builds a request with a JSON body; an empty body is left out.
HttpRequest makeRequest(http::verb method, const std::string &target, const std::string &body = {});

// Builds a response.
HttpResponse makeResponse(unsigned status, const std::string &contentType, std::string body);

// Creates the response to a request.
using HttpHandler = std::function<Task<HttpResponse>(HttpRequest)>;

// HTTP server for small requests, with limits on header size, body size and connections.
class HttpServer
{
public:
    // Listens on the address. Throws boost::system::system_error when the address is in use.
    HttpServer(asio::io_context &context, const Address &address, HttpHandler handler);

    // Starts to accept connections.
    void start();

    // Number of requests that could not be parsed.
    [[nodiscard]] std::uint64_t badRequestCount() const;

private:
    // Serves requests of one connection until it is closed.
    Task<> serveConnection(tcp::socket socket);

    tcp::acceptor acceptor_;
    HttpHandler handler_;
    std::size_t connections_ = 0;
    std::uint64_t badRequestCount_ = 0;
    std::uint64_t rejectedCount_ = 0;
};

} // namespace radishford
