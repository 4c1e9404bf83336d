// Exchanges with inbound sides on pooled connections: one exchange at a time on each.
#pragma once

#include "net/caller_server.h"
#include "net/engine.h"
#include "net/frame_connection.h"

#include <map>
#include <memory>
#include <vector>

namespace radishford {

// One attempt's exchange.
struct OutboundExchange {
    AttemptId attempt_;
    CallHandle call_;
    Address peer_;
    // True once the peer has answered anything.
    bool replied_ = false;
    std::shared_ptr<FrameConnection> connection_;
    bool bodyRides_ = false;
    bool isRetry_ = false;
    // True once the world has dropped the attempt.
    bool dropped_ = false;
    // True once a withdrawal was sent; its confirmation is awaited even when dropped.
    bool withdrawn_ = false;
    // Answer as far as it is held back.
    AnswerHead answerHead_;
    std::string answerBody_;
    std::uint64_t answerBytes_ = 0;
    // True once the world let this attempt answer the caller.
    bool granted_ = false;
    // True once the answer is passed on as it comes.
    bool relaying_ = false;
    // Whole body of a request is on its way or sent.
    bool bodySent_ = false;
};

// Opens exchanges and follows them to their end.
class ExchangeClient
{
public:
    ExchangeClient(Engine &engine, CallerServer &callers);

    // Opens an exchange.
    void start(const StartExchange &effect);

    // Confirms an admission and sends the body unless it was sent.
    void go(AttemptId attempt);

    // Sends a withdrawal.
    void withdraw(AttemptId attempt);

    // Lets an exchange answer the caller.
    void grant(AttemptId attempt);

    // Forgets an exchange.
    void drop(AttemptId attempt);

    // Sends one request frame to a peer and posts the batch that answers it.
    void pullTickets(const SendTicketPull &effect);

    // Sends objects in force to a peer.
    void pushTickets(const SendTicketBatch &effect);

private:
    using ExchangePtr = std::shared_ptr<OutboundExchange>;

    // Runs one exchange.
    Task<> run(StartExchange effect);

    // An idle or new connection to a peer; nullptr when none can be opened.
    Task<std::shared_ptr<FrameConnection>> connect(Address peer);

    // Puts a connection back for the next exchange.
    void release(const Address &peer, const std::shared_ptr<FrameConnection> &connection);

    // Closes idle connections to a peer.
    void closeIdle(const Address &peer);

    // Reads frames until the exchange has ended. True when the connection can be used again.
    Task<bool> follow(ExchangePtr exchange);

    // Takes one frame. True when the exchange has ended.
    Task<bool> take(ExchangePtr exchange, Frame frame);

    // Takes frames of an answer.
    Task<bool> takeAnswerChunk(ExchangePtr exchange, BodyChunk chunk);
    Task<bool> takeAnswerEnd(ExchangePtr exchange, AnswerEnd end);

    // Passes the held back part of an answer on, if the world still wants it. False otherwise.
    Task<bool> beginRelay(ExchangePtr exchange);

    // Sends head and body of the request.
    Task<> sendBody(ExchangePtr exchange);

    // Asks a peer for tickets.
    Task<> runPull(SendTicketPull effect);

    // Sends tickets to a peer.
    Task<> runPush(SendTicketBatch effect);

    Engine &engine_;
    CallerServer &callers_;
    std::map<AttemptId, ExchangePtr> exchanges_;
    std::map<Address, std::vector<std::shared_ptr<FrameConnection>>> idle_;
};

} // namespace radishford
