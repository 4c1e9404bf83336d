// One HTTP request and its answer, for the platform's store, announcements and admin pages.
#pragma once

#include "net/net.h"

#include <functional>
#include <optional>
#include <string>

namespace radishford {

using TextRequest = http::request<http::string_body>;
using TextResponse = http::response<http::string_body>;

// Sends a request on a new connection and reads the answer. Nothing when it did not arrive whole in time.
Task<std::optional<TextResponse>> askHttp(asio::io_context &context, Address address, TextRequest request, std::chrono::milliseconds timeout);

// Builds a request without a body, or with a JSON one.
TextRequest makeRequest(http::verb method, const std::string &target, const std::string &body = {});

// Builds an answer.
TextResponse makeResponse(unsigned status, const std::string &contentType, std::string body);

// Answers a request.
using TextHandler = std::function<Task<TextResponse>(TextRequest)>;

// Serves small requests with bounded headers, bodies and connections.
class TextServer
{
public:
    // Listens at the address.
    TextServer(asio::io_context &context, const Address &address, TextHandler handler);

    // Starts to accept.
    void start();

    // Requests that could not be read.
    [[nodiscard]] std::uint64_t badRequests() const;

private:
    // Serves one connection.
    Task<> serve(tcp::socket socket);

    tcp::acceptor acceptor_;
    TextHandler handler_;
    std::size_t connections_ = 0;
    std::uint64_t badRequests_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace radishford
