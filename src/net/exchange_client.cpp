// Client side of exchanges with inbound daemons.
#include "net/exchange_client.h"

#include "core/error.h"

#include <utility>

namespace radishford {

namespace {

// A connection to a daemon must open within this time.
constexpr std::chrono::milliseconds ConnectTimeout(250);
// Maximum number of idle connections in the pool for each peer.
constexpr std::size_t MaxIdlePerPeer = 32;
// Responses up to this size are buffered until they are complete, so that a truncated one can be retried.
constexpr std::size_t MaxBufferedResponseBytes = std::size_t{64} << 10U;
// How long an abandoned exchange waits for the confirmation of its withdrawal before the connection is closed.
constexpr std::chrono::milliseconds WithdrawalGracePeriod(1000);

// Attempt id of a frame; zero for frames that belong to no attempt.
std::uint64_t attemptIdOf(const Frame &frame)
{
    return std::visit(
        [](const auto &body) -> std::uint64_t {
            if constexpr (requires { body.attempt_; }) {
                return body.attempt_;
            } else {
                return 0;
            }
        },
        frame);
}

// True when an exchange has ended or been abandoned, so that nothing more may be sent for it.
bool isOver(const OutboundExchange &exchange)
{
    return exchange.abandoned_ || !exchange.connection_;
}

} // namespace

ExchangeClient::ExchangeClient(WorldRunner &worldRunner, CallerServer &callers)
    : worldRunner_(worldRunner)
    , callers_(callers)
{
}

void ExchangeClient::start(const StartExchange &effect)
{
    asio::co_spawn(worldRunner_.context(), runExchange(effect), asio::detached);
}

void ExchangeClient::sendConfirmation(AttemptId attempt)
{
    const auto found = exchanges_.find(attempt);
    if (found == exchanges_.end() || !found->second->connection_) {
        return;
    }
    const ExchangePtr &exchange = found->second;
    exchange->connection_->send(Confirmation{attempt.packed()});
    if (!exchange->bodySent_) {
        asio::co_spawn(worldRunner_.context(), sendBody(exchange), asio::detached);
    }
}

void ExchangeClient::sendWithdrawal(AttemptId attempt)
{
    const auto found = exchanges_.find(attempt);
    if (found == exchanges_.end()) {
        return;
    }
    found->second->withdrawalRequested_ = true;
    if (found->second->connection_) {
        found->second->connection_->send(WithdrawalRequest{attempt.packed()});
    }
}

void ExchangeClient::allowRelay(AttemptId attempt)
{
    const auto found = exchanges_.find(attempt);
    if (found != exchanges_.end()) {
        found->second->relayAllowed_ = true;
    }
}

void ExchangeClient::abandon(AttemptId attempt)
{
    const auto found = exchanges_.find(attempt);
    if (found == exchanges_.end()) {
        return;
    }
    const ExchangePtr exchange = found->second;
    exchanges_.erase(found);
    exchange->abandoned_ = true;
    if (!exchange->connection_) {
        return;
    }
    if (!exchange->peerResponded_) {
        // The peer has not responded at all, so its idle connections may be dead too.
        closeIdle(exchange->peer_);
    }
    if (!exchange->withdrawalRequested_) {
        exchange->connection_->close();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(worldRunner_.context(), WithdrawalGracePeriod);
    timer->async_wait([timer, exchange](const error_code & /*problem*/) {
        if (exchange->connection_) {
            exchange->connection_->close();
        }
    });
}

void ExchangeClient::closeIdle(const Address &peer)
{
    const auto found = idleConnections_.find(peer);
    if (found == idleConnections_.end()) {
        return;
    }
    for (const auto &connection : found->second) {
        connection->close();
    }
    idleConnections_.erase(found);
}

void ExchangeClient::pullTickets(const SendTicketPull &effect)
{
    asio::co_spawn(worldRunner_.context(), runPull(effect), asio::detached);
}

void ExchangeClient::pushTickets(const SendTicketBatch &effect)
{
    asio::co_spawn(worldRunner_.context(), runPush(effect), asio::detached);
}

Task<> ExchangeClient::runExchange(StartExchange effect)
{
    const auto exchange = std::make_shared<OutboundExchange>();
    exchange->attempt_ = effect.attempt_;
    exchange->call_ = effect.call_;
    exchange->peer_ = effect.peer_;
    exchange->isBodyInline_ = effect.offer_.isBodyInline_;
    exchange->isRetry_ = effect.purpose_ == MessagePurpose::Retry;
    exchanges_[effect.attempt_] = exchange;
    const std::shared_ptr<FrameConnection> connection = co_await acquireConnection(effect.peer_);
    // An offer that was withdrawn or abandoned while connecting is not sent any more.
    if (exchange->abandoned_ || exchange->withdrawalRequested_ || !connection) {
        exchanges_.erase(effect.attempt_);
        if (connection) {
            release(effect.peer_, connection);
        }
        if (!exchange->abandoned_) {
            worldRunner_.post(ExchangeConnectionLost{effect.attempt_, true});
        }
        co_return;
    }
    exchange->connection_ = connection;
    const std::uint64_t bytesSentBefore = connection->bytesSent();
    connection->send(effect.offer_);
    if (exchange->isBodyInline_) {
        co_await sendBody(exchange);
    }
    const bool isReusable = co_await readUntilEnd(exchange);
    (exchange->isRetry_ ? worldRunner_.counters().retryBytes_ : worldRunner_.counters().callBytes_) += connection->bytesSent() - bytesSentBefore;
    exchange->connection_.reset();
    exchanges_.erase(effect.attempt_);
    if (isReusable) {
        release(effect.peer_, connection);
    } else {
        connection->close();
    }
}

Task<std::shared_ptr<FrameConnection>> ExchangeClient::acquireConnection(Address peer)
{
    while (!idleConnections_[peer].empty()) {
        const auto connection = idleConnections_[peer].back();
        idleConnections_[peer].pop_back();
        if (connection->isOpen() && !connection->isUnusable()) {
            co_return connection;
        }
        connection->close();
    }
    beast::tcp_stream stream(worldRunner_.context());
    stream.expires_after(ConnectTimeout);
    error_code errorCode;
    co_await stream.async_connect(toEndpoint<tcp>(peer), asio::redirect_error(asio::use_awaitable, errorCode));
    if (errorCode) {
        co_return nullptr;
    }
    co_return std::make_shared<FrameConnection>(stream.release_socket());
}

void ExchangeClient::release(const Address &peer, const std::shared_ptr<FrameConnection> &connection)
{
    auto &connections = idleConnections_[peer];
    if (connection->isOpen() && connections.size() < MaxIdlePerPeer) {
        connections.push_back(connection);
    } else {
        connection->close();
    }
}

Task<bool> ExchangeClient::readUntilEnd(ExchangePtr exchange)
{
    bool ended = false;
    while (!ended) {
        std::optional<Frame> frame;
        try {
            frame = co_await exchange->connection_->receive();
        } catch (const Error &) {
            ++worldRunner_.counters().badMessages_;
        }
        const bool isEnd = frame && std::holds_alternative<ConnectionEnd>(*frame);
        if (!frame || isEnd) {
            if (!exchange->abandoned_) {
                worldRunner_.post(ExchangeConnectionLost{exchange->attempt_, isEnd && !exchange->peerResponded_});
            }
            co_return false;
        }
        // Late frames of an earlier exchange on this connection are ignored.
        if (attemptIdOf(*frame) == exchange->attempt_.packed()) {
            exchange->peerResponded_ = true;
            ended = co_await handleFrame(exchange, std::move(*frame));
        }
    }
    co_return exchange->connection_->isOpen();
}

Task<bool> ExchangeClient::handleFrame(ExchangePtr exchange, Frame frame)
{
    const AttemptId attempt = exchange->attempt_;
    if (const auto *reply = std::get_if<OfferReply>(&frame)) {
        worldRunner_.post(OfferReplied{attempt, *reply});
        co_return reply->verdict_ == Verdict::Refused;
    }
    if (const auto *withdrawn = std::get_if<WithdrawalReply>(&frame)) {
        worldRunner_.post(WithdrawalReplied{attempt, withdrawn->handedOver_});
        co_return !withdrawn->handedOver_;
    }
    if (const auto *failed = std::get_if<ExchangeFailure>(&frame)) {
        worldRunner_.post(AttemptFailed{attempt, static_cast<ResultCode>(failed->code_)});
        co_return true;
    }
    if (auto *head = std::get_if<ResponseHead>(&frame)) {
        exchange->responseHead_ = std::move(*head);
        co_return false;
    }
    if (auto *chunk = std::get_if<BodyChunk>(&frame)) {
        co_return co_await handleResponseChunk(exchange, std::move(*chunk));
    }
    if (const auto *end = std::get_if<ResponseEnd>(&frame)) {
        co_return co_await handleResponseEnd(exchange, *end);
    }
    ++worldRunner_.counters().badMessages_;
    exchange->connection_->close();
    co_return false;
}

Task<bool> ExchangeClient::handleResponseChunk(ExchangePtr exchange, BodyChunk chunk)
{
    exchange->responseBytes_ += chunk.bytes_.size();
    if (!exchange->relaying_) {
        exchange->responseBody_ += chunk.bytes_;
        if (exchange->responseBody_.size() <= MaxBufferedResponseBytes) {
            co_return false;
        }
        if (!co_await beginRelay(exchange, false)) {
            exchange->connection_->close();
        }
        co_return false;
    }
    const auto request = callers_.find(exchange->call_);
    bool isWritten = false;
    if (request) {
        isWritten = co_await request->writeChunk(chunk.bytes_);
    }
    if (!isWritten) {
        callers_.abort(exchange->call_, UnansweredReason::ResponseNotTaken);
        exchange->connection_->close();
    }
    co_return false;
}

Task<bool> ExchangeClient::handleResponseEnd(ExchangePtr exchange, ResponseEnd end)
{
    const bool isComplete = end.bodyBytes_ == exchange->responseBytes_;
    if (!isComplete) {
        // Part of the response is missing. Closing the connection makes readUntilEnd() post ExchangeConnectionLost.
        exchange->connection_->close();
        co_return false;
    }
    auto request = callers_.find(exchange->call_);
    if (!exchange->relaying_) {
        if (request && request->expectsBody(exchange->responseHead_.status_)) {
            // The response is complete, so its length is known.
            exchange->responseHead_.hasLength_ = true;
            exchange->responseHead_.length_ = exchange->responseBytes_;
        }
        if (!co_await beginRelay(exchange, true)) {
            co_return true;
        }
        request = callers_.find(exchange->call_);
    }
    if (request) {
        if (co_await request->writeEnd()) {
            request->finish();
        } else {
            callers_.abort(exchange->call_, UnansweredReason::ResponseNotTaken);
        }
    }
    worldRunner_.post(ResponseCompleted{exchange->attempt_, end.report_});
    co_return true;
}

Task<bool> ExchangeClient::beginRelay(ExchangePtr exchange, bool isWhole)
{
    worldRunner_.post(ResponseStarted{exchange->attempt_, isWhole, exchange->responseHead_.leavingBackend_});
    // The tick that handles the event runs before this coroutine resumes, since both run in order on one thread.
    co_await asio::post(worldRunner_.context(), asio::use_awaitable);
    const auto request = callers_.find(exchange->call_);
    if (!exchange->relayAllowed_ || !request || request->isFinished()) {
        co_return false;
    }
    exchange->relaying_ = true;
    if (isShuttingDown(worldRunner_.world())) {
        request->closeAfterResponse();
    }
    const std::string buffered = std::exchange(exchange->responseBody_, std::string());
    bool written = co_await request->writeHead(exchange->responseHead_);
    if (written) {
        written = co_await request->writeChunk(buffered);
    }
    if (!written) {
        callers_.abort(exchange->call_, UnansweredReason::ResponseNotTaken);
    }
    co_return written;
}

Task<> ExchangeClient::sendBody(ExchangePtr exchange)
{
    exchange->bodySent_ = true;
    const auto request = callers_.find(exchange->call_);
    const auto connection = exchange->connection_;
    if (!request || !connection) {
        co_return;
    }
    request->rewind();
    RequestHead head = request->head();
    head.attempt_ = exchange->attempt_.packed();
    connection->send(head);
    std::uint64_t sent = 0;
    for (;;) {
        std::optional<std::string> chunk = co_await request->readChunk();
        if (isOver(*exchange)) {
            // The connection may already carry another exchange.
            co_return;
        }
        if (!chunk) {
            // The caller's body is truncated. BodyEnd is not sent, so the inbound daemon cannot take the body as complete.
            callers_.endBody(exchange->call_);
            connection->close();
            co_return;
        }
        if (chunk->empty()) {
            break;
        }
        sent += chunk->size();
        connection->send(BodyChunk{exchange->attempt_.packed(), std::move(*chunk)});
        co_await connection->waitUntilDrained();
        if (isOver(*exchange) || !connection->isOpen()) {
            co_return;
        }
    }
    connection->send(BodyEnd{exchange->attempt_.packed(), sent});
}

Task<> ExchangeClient::runPull(SendTicketPull effect)
{
    TicketBatchArrived event{effect.to_, false, {}};
    const auto connection = co_await acquireConnection(effect.to_);
    if (connection) {
        connection->send(effect.pull_);
        try {
            const std::optional<Frame> frame = co_await connection->receive();
            if (const auto *batch = frame ? std::get_if<TicketBatch>(&*frame) : nullptr) {
                event.ok_ = true;
                event.batch_ = *batch;
                release(effect.to_, connection);
            }
        } catch (const Error &) {
            ++worldRunner_.counters().badMessages_;
        }
    }
    worldRunner_.post(event);
}

Task<> ExchangeClient::runPush(SendTicketBatch effect)
{
    const auto connection = co_await acquireConnection(effect.to_);
    if (connection) {
        connection->send(effect.batch_);
        release(effect.to_, connection);
    }
}

} // namespace radishford
