// Client side of exchanges with inbound daemons over pooled connections. Each connection carries one exchange at a time.
#pragma once

#include "net/caller_server.h"
#include "net/frame_connection.h"
#include "net/world_runner.h"

#include <map>
#include <memory>
#include <vector>

namespace radishford {

// The exchange of one attempt, as the outbound daemon sees it.
struct OutboundExchange {
    AttemptId attempt_;
    CallHandle call_;
    Address peer_;
    // True once any frame of this exchange has arrived.
    bool peerResponded_ = false;
    std::shared_ptr<FrameConnection> connection_;
    bool isBodyInline_ = false;
    bool isRetry_ = false;
    // True once the world has abandoned the attempt.
    bool abandoned_ = false;
    // True once a withdrawal was requested. Its confirmation is awaited even when the exchange is abandoned.
    bool withdrawalRequested_ = false;
    // Part of the response that is buffered and not yet relayed.
    ResponseHead responseHead_;
    std::string responseBody_;
    std::uint64_t responseBytes_ = 0;
    // True once the world has chosen this attempt to respond to the caller.
    bool relayAllowed_ = false;
    // True once the response is relayed to the caller as it arrives.
    bool relaying_ = false;
    // True once sendBody() has started.
    bool bodySent_ = false;
};

// Opens exchanges with inbound daemons and runs them until they end.
class ExchangeClient
{
public:
    // Reads requests from the caller server and writes responses to it. Both references must outlive the client.
    ExchangeClient(WorldRunner &worldRunner, CallerServer &callers);

    // Opens an exchange and sends the offer. Posts ExchangeConnectionLost when no connection can be opened.
    void start(const StartExchange &effect);

    // Confirms an admission, and sends the body unless it was sent with the offer.
    void sendConfirmation(AttemptId attempt);

    // Withdraws an offer. An offer that was not sent yet is not sent any more.
    void sendWithdrawal(AttemptId attempt);

    // Allows an exchange to relay its response to the caller.
    void allowRelay(AttemptId attempt);

    // Abandons an exchange. Its connection is closed, after a timeout if a withdrawal is unconfirmed.
    void abandon(AttemptId attempt);

    // Requests tickets from a peer and posts the batch that it responds with.
    void pullTickets(const SendTicketPull &effect);

    // Sends active ticket objects to a peer. Expects no response.
    void pushTickets(const SendTicketBatch &effect);

private:
    using ExchangePtr = std::shared_ptr<OutboundExchange>;

    // Runs one exchange from connecting to its end.
    Task<> runExchange(StartExchange effect);

    // Takes an idle connection to a peer from the pool, or opens a new one; nullptr when none can be opened.
    Task<std::shared_ptr<FrameConnection>> acquireConnection(Address peer);

    // Returns a connection to the pool, or closes it when the pool is full.
    void release(const Address &peer, const std::shared_ptr<FrameConnection> &connection);

    // Closes all idle connections to a peer.
    void closeIdle(const Address &peer);

    // Reads frames until the exchange ends. True when the connection can be reused.
    Task<bool> readUntilEnd(ExchangePtr exchange);

    // Handles one frame. True when the exchange has ended.
    Task<bool> handleFrame(ExchangePtr exchange, Frame frame);

    // Handle frames of a response body. True when the exchange has ended.
    Task<bool> handleResponseChunk(ExchangePtr exchange, BodyChunk chunk);
    Task<bool> handleResponseEnd(ExchangePtr exchange, ResponseEnd end);

    // Asks the world to choose this attempt and writes the buffered part of the response, or the whole of it, to the caller. False when the response is
    // not relayed.
    Task<bool> beginRelay(ExchangePtr exchange, bool isWhole);

    // Sends head and body of the request to the peer.
    Task<> sendBody(ExchangePtr exchange);

    // Runs one ticket pull.
    Task<> runPull(SendTicketPull effect);

    // Runs one ticket push.
    Task<> runPush(SendTicketBatch effect);

    WorldRunner &worldRunner_;
    CallerServer &callers_;
    std::map<AttemptId, ExchangePtr> exchanges_;
    std::map<Address, std::vector<std::shared_ptr<FrameConnection>>> idleConnections_;
};

} // namespace radishford
