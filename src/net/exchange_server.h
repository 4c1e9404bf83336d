// Takes exchanges of other daemons and hands requests to the backend server.
#pragma once

#include "net/backend_client.h"
#include "net/engine.h"
#include "net/frame_connection.h"

#include <map>
#include <memory>
#include <set>

namespace radishford {

// Limits of the daemons' side.
struct ExchangeLimits {
    std::size_t maxConnections_ = 8192;
    // Bytes of bodies that are held whole at a time.
    std::uint64_t maxHeldBytes_ = std::uint64_t{24} << 20U;
};

// One exchange at the inbound side.
struct InboundExchange {
    ExchangeHandle handle_;
    Offer offer_;
    std::shared_ptr<FrameConnection> connection_;
    std::shared_ptr<BackendRequest> request_;
    // Bytes counted against the limit of held bodies.
    std::uint64_t heldBytes_ = 0;
    // True once the world was told that the body is here.
    bool bodyTold_ = false;
    // True once a frame has ended the exchange.
    bool ended_ = false;
};

// Listens for other daemons.
class ExchangeServer
{
public:
    ExchangeServer(Engine &engine, const Address &address, const ExchangeLimits &limits, const BackendDialect &dialect);

    // Starts to accept.
    void start();

    // Answers an offer.
    void reply(const ReplyOffer &effect);

    // Answers a withdrawal.
    void reply(const ReplyWithdraw &effect);

    // Hands a request over.
    void handOver(const HandOver &effect);

    // Ends an exchange without an answer.
    void fail(const FailExchange &effect);

    // Ends an answer.
    void end(const EndExchange &effect);

    // Asks the backend server for its health and load.
    void check(const CheckBackend &effect);

    // Stops a request at the backend server.
    void cancel(const CancelBackend &effect);

private:
    using ExchangePtr = std::shared_ptr<InboundExchange>;
    using ConnectionPtr = std::shared_ptr<FrameConnection>;

    // Closes connections on which a frame has stalled.
    Task<> watchStalls();

    // Serves one connection.
    Task<> serve(ConnectionPtr connection);

    // Reads frames until the connection ends.
    Task<> readFrames(ConnectionPtr connection, ExchangePtr &current);

    // Takes a frame. Throws Error on one that may not come now.
    Task<> take(ConnectionPtr connection, ExchangePtr &current, Frame frame);

    // Starts an exchange.
    ExchangePtr open(const ConnectionPtr &connection, const Offer &offer);

    // Takes part of a body.
    Task<> takeChunk(ExchangePtr exchange, BodyChunk chunk);

    // Tells the world once the request can be handed over.
    void tellBody(InboundExchange &exchange);

    // Marks an exchange as ended and frees what it holds.
    void close(InboundExchange &exchange);

    // The exchange of a handle, or nullptr.
    ExchangePtr find(ExchangeHandle handle);

    Engine &engine_;
    tcp::acceptor acceptor_;
    ExchangeLimits limits_;
    BackendClient backend_;
    std::set<ConnectionPtr> connections_;
    std::uint64_t lastHandle_ = 0;
    std::map<ExchangeHandle, ExchangePtr> exchanges_;
    std::uint64_t heldBytes_ = 0;
};

} // namespace radishford
