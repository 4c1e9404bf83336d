// Server side of exchanges with other daemons.
#include "net/exchange_server.h"

#include "core/error.h"

#include "net/accept_loop.h"
#include "net/trace_context.h"
#include "ticket/ticket_func.h"

namespace radishford {

namespace {

// Time between two searches for stalled frames.
constexpr std::chrono::seconds StallCheckInterval(1);

// Returns the message of a frame if it has this type and belongs to the exchange in progress; nullptr otherwise.
template<typename Message>
Message *messageOfExchange(Frame &frame, const std::shared_ptr<InboundExchange> &exchange)
{
    auto *message = std::get_if<Message>(&frame);
    const bool belongs = message != nullptr && exchange && !exchange->ended_ && message->attempt_ == exchange->offer_.attempt_;
    return belongs ? message : nullptr;
}

// True for frames that can arrive after their exchange has ended; they are ignored.
bool canArriveLate(const Frame &frame)
{
    return std::holds_alternative<Confirmation>(frame) || std::holds_alternative<WithdrawalRequest>(frame) || std::holds_alternative<RequestHead>(frame)
        || std::holds_alternative<BodyChunk>(frame) || std::holds_alternative<BodyEnd>(frame);
}

} // namespace

ExchangeServer::ExchangeServer(WorldRunner &worldRunner, const Address &address, const ExchangeLimits &limits, const BackendAdapter &adapter)
    : worldRunner_(worldRunner)
    , acceptor_(worldRunner.context(), toEndpoint<tcp>(address))
    , limits_(limits)
    , backend_(worldRunner, adapter)
{
}

void ExchangeServer::start()
{
    AcceptOptions options;
    options.maxConnections_ = limits_.maxConnections_;
    options.connectionCount_ = [this]() { return connections_.size(); };
    options.serve_ = [this](tcp::socket socket) { serve(std::move(socket)); };
    options.rejectedCount_ = &worldRunner_.counters().refusedConnections_;
    asio::co_spawn(acceptor_.get_executor(), acceptLoop(acceptor_, options), asio::detached);
    asio::co_spawn(acceptor_.get_executor(), closeStalledConnections(), asio::detached);
}

void ExchangeServer::reply(const ReplyToOffer &effect)
{
    const ExchangePtr exchange = find(effect.exchange_);
    if (!exchange) {
        return;
    }
    exchange->connection_->send(effect.reply_);
    if (effect.reply_.verdict_ == Verdict::Refused) {
        close(*exchange);
    }
}

void ExchangeServer::reply(const ReplyToWithdrawal &effect)
{
    const ExchangePtr exchange = find(effect.exchange_);
    if (!exchange) {
        return;
    }
    exchange->connection_->send(effect.reply_);
    if (!effect.reply_.handedOver_) {
        close(*exchange);
    }
}

void ExchangeServer::handOver(const HandOver &effect)
{
    const ExchangePtr exchange = find(effect.exchange_);
    if (exchange) {
        backend_.startRequest(exchange->request_, effect);
    }
}

void ExchangeServer::fail(const FailExchange &effect)
{
    const ExchangePtr exchange = find(effect.exchange_);
    if (exchange) {
        exchange->connection_->send(effect.reply_);
        close(*exchange);
    }
}

void ExchangeServer::end(const EndExchange &effect)
{
    const ExchangePtr exchange = find(effect.exchange_);
    if (exchange) {
        exchange->connection_->send(ResponseEnd{exchange->offer_.attempt_, exchange->request_->responseBytes_, effect.report_});
        close(*exchange);
    }
}

void ExchangeServer::check(const CheckBackendHealth &effect)
{
    backend_.startHealthCheck(effect);
}

void ExchangeServer::cancel(const CancelBackendRequest &effect)
{
    const ExchangePtr exchange = find(effect.exchange_);
    if (exchange) {
        BackendClient::cancelRequest(*exchange->request_);
        close(*exchange);
    }
}

void ExchangeServer::startDraining()
{
    isDraining_ = true;
    std::set<ConnectionPtr> idleConnections = connections_;
    for (const auto &[handle, exchange] : exchanges_) {
        idleConnections.erase(exchange->connection_);
    }
    for (const ConnectionPtr &connection : idleConnections) {
        connection->send(ConnectionEnd{});
    }
}

Task<> ExchangeServer::waitUntilDrained()
{
    closeAcceptor(acceptor_, [this](tcp::socket socket) { serve(std::move(socket)); });
    // A connection that acceptLoop() has accepted is served before this resumes.
    co_await asio::post(worldRunner_.context(), asio::use_awaitable);
    const std::set<ConnectionPtr> connections = connections_;
    for (const ConnectionPtr &connection : connections) {
        co_await connection->waitUntilWritten();
    }
}

void ExchangeServer::serve(tcp::socket socket)
{
    const auto connection = std::make_shared<FrameConnection>(std::move(socket));
    connections_.insert(connection);
    if (isDraining_) {
        connection->send(ConnectionEnd{});
    }
    asio::co_spawn(acceptor_.get_executor(), serveConnection(connection), asio::detached);
}

Task<> ExchangeServer::closeStalledConnections()
{
    asio::steady_timer timer(worldRunner_.context());
    for (;;) {
        timer.expires_after(StallCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const std::set<ConnectionPtr> connections = connections_;
        for (const ConnectionPtr &connection : connections) {
            if (connection->isStalled()) {
                ++worldRunner_.counters().badMessages_;
                connection->close();
            }
        }
    }
}

Task<> ExchangeServer::serveConnection(ConnectionPtr connection)
{
    ExchangePtr current;
    try {
        co_await readFrames(connection, current);
    } catch (const Error &) {
        ++worldRunner_.counters().badMessages_;
    }
    connection->close();
    if (current && !current->ended_) {
        current->request_->body_->end(false);
        worldRunner_.post(PeerDisconnected{current->handle_});
    }
    connections_.erase(connection);
}

Task<> ExchangeServer::readFrames(ConnectionPtr connection, ExchangePtr &current)
{
    for (;;) {
        std::optional<Frame> frame = co_await connection->receive();
        if (!frame) {
            co_return;
        }
        co_await handleFrame(connection, current, std::move(*frame));
    }
}

Task<> ExchangeServer::handleFrame(ConnectionPtr connection, ExchangePtr &current, Frame frame)
{
    const bool isExchangeOpen = current && !current->ended_;
    if (isDraining_ && !isExchangeOpen) {
        // The end of the connection is announced, so that its peer takes the frame as unread. Discarding it avoids a reset when the process ends.
        co_return;
    }
    if (const auto *offer = std::get_if<Offer>(&frame)) {
        if (isExchangeOpen) {
            throw Error(ResultCode::MessageMalformed, "offer received while an exchange is open");
        }
        current = openExchange(connection, *offer);
        worldRunner_.post(OfferArrived{current->handle_, *offer});
    } else if (const auto *pull = std::get_if<TicketPull>(&frame)) {
        connection->send(objectsSetAfter(worldRunner_.world(), pull->after_));
    } else if (const auto *batch = std::get_if<TicketBatch>(&frame)) {
        worldRunner_.post(TicketBatchArrived{connection->remoteAddress(), true, *batch});
    } else if (auto *head = messageOfExchange<RequestHead>(frame, current)) {
        current->request_->head_ = std::move(*head);
        postBodyIfReady(*current);
    } else if (auto *chunk = messageOfExchange<BodyChunk>(frame, current)) {
        co_await handleBodyChunk(current, std::move(*chunk));
    } else if (const auto *end = messageOfExchange<BodyEnd>(frame, current)) {
        current->request_->body_->end(end->bodyBytes_ == current->request_->body_->totalBytes());
        postBodyIfReady(*current);
    } else if (messageOfExchange<Confirmation>(frame, current) != nullptr) {
        worldRunner_.post(ConfirmationArrived{current->handle_});
    } else if (messageOfExchange<WithdrawalRequest>(frame, current) != nullptr) {
        worldRunner_.post(WithdrawalArrived{current->handle_});
    } else if (!canArriveLate(frame)) {
        throw Error(ResultCode::MessageMalformed, "unexpected frame type at the inbound side");
    }
}

ExchangeServer::ExchangePtr ExchangeServer::openExchange(const ConnectionPtr &connection, const Offer &offer)
{
    const auto exchange = std::make_shared<InboundExchange>();
    exchange->handle_ = ExchangeHandle(++lastHandle_);
    exchange->offer_ = offer;
    exchange->connection_ = connection;
    exchange->request_ = std::make_shared<BackendRequest>();
    exchange->request_->exchange_ = exchange->handle_;
    exchange->request_->attempt_ = offer.attempt_;
    exchange->request_->requestContext_.traceParent_ = writeTraceParent(offer.trace_, offer.parentSpan_);
    exchange->request_->body_ = std::make_shared<BodyPipe>(acceptor_.get_executor());
    exchange->request_->responseConnection_ = connection;
    exchanges_[exchange->handle_] = exchange;
    return exchange;
}

Task<> ExchangeServer::handleBodyChunk(ExchangePtr exchange, BodyChunk chunk)
{
    if (!exchange->offer_.requiresWholeBody_) {
        exchange->request_->body_->push(std::move(chunk.bytes_));
        co_await exchange->request_->body_->waitForSpace();
        co_return;
    }
    const std::uint64_t size = chunk.bytes_.size();
    if (bufferedBytes_ + size > limits_.maxHeldBytes_) {
        // The buffer limit is reached. The request cannot be handed over without its complete body, so it is treated as withdrawn.
        exchange->request_->body_->end(false);
        worldRunner_.post(WithdrawalArrived{exchange->handle_});
        co_return;
    }
    bufferedBytes_ += size;
    exchange->bufferedBytes_ += size;
    exchange->request_->body_->push(std::move(chunk.bytes_));
}

void ExchangeServer::postBodyIfReady(InboundExchange &exchange)
{
    const bool headReceived = !exchange.request_->head_.method_.empty();
    const bool bodyReceived = !exchange.offer_.requiresWholeBody_ || exchange.request_->body_->isComplete();
    if (!exchange.bodyArrivedPosted_ && headReceived && bodyReceived) {
        exchange.bodyArrivedPosted_ = true;
        worldRunner_.post(BodyArrived{exchange.handle_});
    }
}

void ExchangeServer::close(InboundExchange &exchange)
{
    exchange.ended_ = true;
    bufferedBytes_ -= exchange.bufferedBytes_;
    exchange.bufferedBytes_ = 0;
    exchange.request_->body_->end(false);
    exchanges_.erase(exchange.handle_);
    if (isDraining_) {
        exchange.connection_->send(ConnectionEnd{});
    }
}

ExchangeServer::ExchangePtr ExchangeServer::find(ExchangeHandle handle)
{
    const auto found = exchanges_.find(handle);
    return found == exchanges_.end() ? nullptr : found->second;
}

} // namespace radishford
