// Requests to the backend server beside this daemon.
#pragma once

#include "net/engine.h"
#include "net/frame_connection.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace radishford {

// A request's body on its way from the outbound side to the backend server.
class BodyPipe
{
public:
    explicit BodyPipe(const asio::any_io_executor &executor);

    // Adds a part.
    void push(std::string bytes);

    // Ends the body; broken when it is not whole.
    void end(bool whole);

    // Waits until there is room for further parts.
    Task<> hasRoom();

    // The next part; empty at the end. Nothing when the body is broken.
    Task<std::optional<std::string>> pop();

    // Bytes added so far.
    [[nodiscard]] std::uint64_t total() const;

    // True once the whole body was added.
    [[nodiscard]] bool isWhole() const;

    // True once it is known that the body ends early.
    [[nodiscard]] bool isBroken() const;

private:
    std::deque<std::string> parts_;
    std::size_t waiting_ = 0;
    std::uint64_t total_ = 0;
    bool ended_ = false;
    bool whole_ = false;
    Signal changed_;
};

// One request for the backend server.
struct BackendRequest {
    ExchangeHandle exchange_;
    std::uint64_t attempt_ = 0;
    RequestHead head_;
    std::string traceParent_;
    std::shared_ptr<BodyPipe> body_;
    // Where the answer goes.
    std::shared_ptr<FrameConnection> answerTo_;
    // Body bytes of the answer so far.
    std::uint64_t answerBytes_ = 0;
    // True once the request was cancelled.
    bool cancelled_ = false;
    // Connection in use, to be closed on cancellation.
    std::shared_ptr<beast::tcp_stream> stream_;
};

// Speaks HTTP with the backend server on kept connections.
class BackendClient
{
public:
    explicit BackendClient(Engine &engine);

    // Hands a request over; its end is posted as an event.
    void start(const std::shared_ptr<BackendRequest> &request, const Address &backend, Millis remaining);

    // Stops a request.
    static void cancel(BackendRequest &request);

private:
    // Runs one request.
    Task<> run(std::shared_ptr<BackendRequest> request, Address backend, Millis remaining);

    // A kept or new connection; nullptr when none can be opened.
    Task<std::shared_ptr<beast::tcp_stream>> connect(Address backend);

    // Writes the request. False when the connection broke.
    static Task<bool> writeRequest(BackendRequest &request, Millis remaining);

    // Relays the answer. False when it is not whole.
    static Task<bool> relayAnswer(BackendRequest &request, http::response_parser<http::buffer_body> &parser);

    Engine &engine_;
    // Address of kept connections.
    Address keptFor_;
    std::vector<std::shared_ptr<beast::tcp_stream>> kept_;
};

} // namespace radishford
