// Server side of exchanges: accepts connections of other daemons and forwards requests to the backend server.
#pragma once

#include "net/backend_client.h"
#include "net/frame_connection.h"
#include "net/world_runner.h"

#include <map>
#include <memory>
#include <set>

namespace radishford {

// Limits of the port for other daemons.
struct ExchangeLimits {
    std::size_t maxConnections_ = 8192;
    // Total size of the bodies that are buffered completely before hand-over, over all exchanges.
    std::uint64_t maxHeldBytes_ = std::uint64_t{24} << 20U;
};

// One exchange, as the inbound daemon sees it.
struct InboundExchange {
    ExchangeHandle handle_;
    Offer offer_;
    std::shared_ptr<FrameConnection> connection_;
    std::shared_ptr<BackendRequest> request_;
    // Bytes of this exchange that count against ExchangeLimits::maxHeldBytes_.
    std::uint64_t bufferedBytes_ = 0;
    // True once BodyArrived was posted.
    bool bodyArrivedPosted_ = false;
    // True once the exchange has ended.
    bool ended_ = false;
};

// Listens for other daemons and runs the exchanges that they open.
class ExchangeServer
{
public:
    // Listens on the address. Throws boost::system::system_error when the address is in use.
    ExchangeServer(WorldRunner &worldRunner, const Address &address, const ExchangeLimits &limits, const BackendAdapter &adapter);

    // Starts to accept connections.
    void start();

    // Sends the reply to an offer. A refusal ends the exchange.
    void reply(const ReplyToOffer &effect);

    // Sends the reply to a withdrawal. The exchange ends unless the request was handed over already.
    void reply(const ReplyToWithdrawal &effect);

    // Sends a request to the backend server.
    void handOver(const HandOver &effect);

    // Ends an exchange without a response.
    void fail(const FailExchange &effect);

    // Ends an exchange after its response was sent.
    void end(const EndExchange &effect);

    // Starts a health check of the backend server.
    void check(const CheckBackendHealth &effect);

    // Cancels the request at the backend server and ends the exchange.
    void cancel(const CancelBackendRequest &effect);

    // Announces the end of each connection, of one with an open exchange after that exchange. Frames that would open another one are discarded.
    void startDraining();

    // Closes the port and waits until all frames are written.
    Task<> waitUntilDrained();

private:
    using ExchangePtr = std::shared_ptr<InboundExchange>;
    using ConnectionPtr = std::shared_ptr<FrameConnection>;

    // Adds a connection and starts to serve it.
    void serve(tcp::socket socket);

    // Periodically closes connections on which a frame has stalled.
    Task<> closeStalledConnections();

    // Serves one connection until it is closed.
    Task<> serveConnection(ConnectionPtr connection);

    // Reads and handles frames until the connection is closed.
    Task<> readFrames(ConnectionPtr connection, ExchangePtr &current);

    // Handles a frame. Throws Error on a frame that is not allowed at this point.
    Task<> handleFrame(ConnectionPtr connection, ExchangePtr &current, Frame frame);

    // Creates the exchange of an offer.
    ExchangePtr openExchange(const ConnectionPtr &connection, const Offer &offer);

    // Handles a chunk of the request body.
    Task<> handleBodyChunk(ExchangePtr exchange, BodyChunk chunk);

    // Posts BodyArrived once the request can be handed over.
    void postBodyIfReady(InboundExchange &exchange);

    // Marks an exchange as ended and releases its buffered bytes.
    void close(InboundExchange &exchange);

    // Returns the exchange of a handle, or nullptr once it has ended.
    ExchangePtr find(ExchangeHandle handle);

    WorldRunner &worldRunner_;
    tcp::acceptor acceptor_;
    ExchangeLimits limits_;
    BackendClient backend_;
    std::set<ConnectionPtr> connections_;
    std::uint64_t lastHandle_ = 0;
    std::map<ExchangeHandle, ExchangePtr> exchanges_;
    std::uint64_t bufferedBytes_ = 0;
    // True while the daemon exits.
    bool isDraining_ = false;
};

} // namespace radishford
