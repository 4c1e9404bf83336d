// Exchanges with inbound sides.
#include "net/exchange_client.h"

#include "core/error.h"

#include <utility>

namespace radishford {

namespace {

// A connection to a daemon must open within this time.
constexpr std::chrono::milliseconds ConnectTimeout(250);
// Idle connections kept for each peer.
constexpr std::size_t MaxIdle = 32;
// Answers up to this size are held back until they are whole, so that a broken one can be tried again.
constexpr std::size_t HoldBytes = std::size_t{64} << 10U;
// A dropped exchange waits so long for its withdrawal's confirmation before the connection is closed.
constexpr std::chrono::milliseconds DropGrace(1000);

// Attempt id of a frame; zero for frames that belong to no attempt.
std::uint64_t attemptOf(const Frame &frame)
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

} // namespace

ExchangeClient::ExchangeClient(Engine &engine, CallerServer &callers)
    : engine_(engine)
    , callers_(callers)
{
}

void ExchangeClient::start(const StartExchange &effect)
{
    asio::co_spawn(engine_.context(), run(effect), asio::detached);
}

void ExchangeClient::go(AttemptId attempt)
{
    const auto found = exchanges_.find(attempt);
    if (found == exchanges_.end() || !found->second->connection_) {
        return;
    }
    const ExchangePtr &exchange = found->second;
    exchange->connection_->send(Go{attempt.packed()});
    if (!exchange->bodySent_) {
        asio::co_spawn(engine_.context(), sendBody(exchange), asio::detached);
    }
}

void ExchangeClient::withdraw(AttemptId attempt)
{
    const auto found = exchanges_.find(attempt);
    if (found == exchanges_.end()) {
        return;
    }
    found->second->withdrawn_ = true;
    if (found->second->connection_) {
        found->second->connection_->send(Withdraw{attempt.packed()});
    }
}

void ExchangeClient::grant(AttemptId attempt)
{
    const auto found = exchanges_.find(attempt);
    if (found != exchanges_.end()) {
        found->second->granted_ = true;
    }
}

void ExchangeClient::drop(AttemptId attempt)
{
    const auto found = exchanges_.find(attempt);
    if (found == exchanges_.end()) {
        return;
    }
    const ExchangePtr exchange = found->second;
    exchanges_.erase(found);
    exchange->dropped_ = true;
    if (!exchange->connection_) {
        return;
    }
    if (!exchange->replied_) {
        // The peer is silent; its idle connections may be so too.
        closeIdle(exchange->peer_);
    }
    if (!exchange->withdrawn_) {
        exchange->connection_->close();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(engine_.context(), DropGrace);
    timer->async_wait([timer, exchange](const error_code & /*problem*/) {
        if (exchange->connection_) {
            exchange->connection_->close();
        }
    });
}

void ExchangeClient::closeIdle(const Address &peer)
{
    const auto found = idle_.find(peer);
    if (found == idle_.end()) {
        return;
    }
    for (const auto &connection : found->second) {
        connection->close();
    }
    idle_.erase(found);
}

void ExchangeClient::pullTickets(const SendTicketPull &effect)
{
    asio::co_spawn(engine_.context(), runPull(effect), asio::detached);
}

void ExchangeClient::pushTickets(const SendTicketBatch &effect)
{
    asio::co_spawn(engine_.context(), runPush(effect), asio::detached);
}

Task<> ExchangeClient::run(StartExchange effect)
{
    const auto exchange = std::make_shared<OutboundExchange>();
    exchange->attempt_ = effect.attempt_;
    exchange->call_ = effect.call_;
    exchange->peer_ = effect.peer_;
    exchange->bodyRides_ = effect.offer_.bodyRides_;
    exchange->isRetry_ = effect.purpose_ == Purpose::Retry;
    exchanges_[effect.attempt_] = exchange;
    const std::shared_ptr<FrameConnection> connection = co_await connect(effect.peer_);
    // An offer that was withdrawn before it could be sent is not sent any more.
    if (exchange->dropped_ || exchange->withdrawn_ || !connection) {
        exchanges_.erase(effect.attempt_);
        if (connection) {
            release(effect.peer_, connection);
        }
        if (!exchange->dropped_) {
            engine_.post(ExchangeLost{effect.attempt_, true});
        }
        co_return;
    }
    exchange->connection_ = connection;
    const std::uint64_t before = connection->bytesSent();
    connection->send(effect.offer_);
    if (exchange->bodyRides_) {
        co_await sendBody(exchange);
    }
    const bool reusable = co_await follow(exchange);
    (exchange->isRetry_ ? engine_.counters().retryBytes_ : engine_.counters().callBytes_) += connection->bytesSent() - before;
    exchange->connection_.reset();
    exchanges_.erase(effect.attempt_);
    if (reusable) {
        release(effect.peer_, connection);
    } else {
        connection->close();
    }
}

Task<std::shared_ptr<FrameConnection>> ExchangeClient::connect(Address peer)
{
    while (!idle_[peer].empty()) {
        const auto connection = idle_[peer].back();
        idle_[peer].pop_back();
        if (connection->isOpen() && !connection->isStale()) {
            co_return connection;
        }
        connection->close();
    }
    beast::tcp_stream stream(engine_.context());
    stream.expires_after(ConnectTimeout);
    error_code problem;
    co_await stream.async_connect(toEndpoint<tcp>(peer), asio::redirect_error(asio::use_awaitable, problem));
    if (problem) {
        co_return nullptr;
    }
    co_return std::make_shared<FrameConnection>(stream.release_socket());
}

void ExchangeClient::release(const Address &peer, const std::shared_ptr<FrameConnection> &connection)
{
    auto &idle = idle_[peer];
    if (connection->isOpen() && idle.size() < MaxIdle) {
        idle.push_back(connection);
    } else {
        connection->close();
    }
}

Task<bool> ExchangeClient::follow(ExchangePtr exchange)
{
    bool ended = false;
    while (!ended) {
        std::optional<Frame> frame;
        try {
            frame = co_await exchange->connection_->receive();
        } catch (const Error &) {
            ++engine_.counters().badMessages_;
        }
        if (!frame) {
            if (!exchange->dropped_) {
                engine_.post(ExchangeLost{exchange->attempt_, false});
            }
            co_return false;
        }
        // Frames of an earlier exchange on this connection are left over and belong to nobody.
        if (attemptOf(*frame) == exchange->attempt_.packed()) {
            exchange->replied_ = true;
            ended = co_await take(exchange, std::move(*frame));
        }
    }
    co_return exchange->connection_->isOpen();
}

Task<bool> ExchangeClient::take(ExchangePtr exchange, Frame frame)
{
    const AttemptId attempt = exchange->attempt_;
    if (const auto *reply = std::get_if<OfferReply>(&frame)) {
        engine_.post(OfferReplied{attempt, *reply});
        co_return reply->verdict_ == Verdict::Refused;
    }
    if (const auto *withdrawn = std::get_if<Withdrawn>(&frame)) {
        engine_.post(WithdrawReplied{attempt, withdrawn->handedOver_});
        co_return !withdrawn->handedOver_;
    }
    if (const auto *failed = std::get_if<Failed>(&frame)) {
        engine_.post(AttemptFailed{attempt, static_cast<ResultCode>(failed->code_)});
        co_return true;
    }
    if (auto *head = std::get_if<AnswerHead>(&frame)) {
        exchange->answerHead_ = std::move(*head);
        co_return false;
    }
    if (auto *chunk = std::get_if<BodyChunk>(&frame)) {
        co_return co_await takeAnswerChunk(exchange, std::move(*chunk));
    }
    if (const auto *end = std::get_if<AnswerEnd>(&frame)) {
        co_return co_await takeAnswerEnd(exchange, *end);
    }
    ++engine_.counters().badMessages_;
    exchange->connection_->close();
    co_return false;
}

Task<bool> ExchangeClient::takeAnswerChunk(ExchangePtr exchange, BodyChunk chunk)
{
    exchange->answerBytes_ += chunk.bytes_.size();
    if (!exchange->relaying_) {
        exchange->answerBody_ += chunk.bytes_;
        if (exchange->answerBody_.size() <= HoldBytes) {
            co_return false;
        }
        if (!co_await beginRelay(exchange)) {
            exchange->connection_->close();
        }
        co_return false;
    }
    const auto request = callers_.find(exchange->call_);
    if (!request || !co_await request->writeChunk(chunk.bytes_)) {
        engine_.post(CallerGone{exchange->call_});
        callers_.cut(exchange->call_);
        exchange->connection_->close();
    }
    co_return false;
}

Task<bool> ExchangeClient::takeAnswerEnd(ExchangePtr exchange, AnswerEnd end)
{
    const bool whole = end.bodyBytes_ == exchange->answerBytes_;
    if (!whole) {
        // Part of the answer is missing: the connection's loss tells the world.
        exchange->connection_->close();
        co_return false;
    }
    if (!exchange->relaying_) {
        // The whole answer is here, so its length is known.
        exchange->answerHead_.hasLength_ = true;
        exchange->answerHead_.length_ = exchange->answerBytes_;
        if (!co_await beginRelay(exchange)) {
            co_return true;
        }
    }
    const auto request = callers_.find(exchange->call_);
    if (request) {
        const bool written = co_await request->writeEnd();
        request->finish(std::nullopt, !written);
    }
    engine_.post(AnswerCompleted{exchange->attempt_, end.report_});
    co_return true;
}

Task<bool> ExchangeClient::beginRelay(ExchangePtr exchange)
{
    engine_.post(AnswerStarted{exchange->attempt_});
    // The tick that takes the event decides before this coroutine goes on, since both run on one thread in order.
    co_await asio::post(engine_.context(), asio::use_awaitable);
    const auto request = callers_.find(exchange->call_);
    if (!exchange->granted_ || !request || request->isFinished()) {
        co_return false;
    }
    exchange->relaying_ = true;
    if (isLeaving(engine_.world())) {
        request->closeAfterwards();
    }
    const std::string held = std::exchange(exchange->answerBody_, std::string());
    const bool written = co_await request->writeHead(exchange->answerHead_) && co_await request->writeChunk(held);
    if (!written) {
        engine_.post(CallerGone{exchange->call_});
        request->finish(std::nullopt, true);
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
        std::optional<std::string> part = co_await request->readChunk();
        if (!part) {
            // The caller's body broke: without its end the inbound side cannot take it for whole.
            engine_.post(CallerGone{exchange->call_});
            callers_.cut(exchange->call_);
            connection->close();
            co_return;
        }
        if (part->empty()) {
            break;
        }
        sent += part->size();
        connection->send(BodyChunk{exchange->attempt_.packed(), std::move(*part)});
        co_await connection->drained();
        if (exchange->dropped_ || !connection->isOpen()) {
            co_return;
        }
    }
    connection->send(BodyEnd{exchange->attempt_.packed(), sent});
}

Task<> ExchangeClient::runPull(SendTicketPull effect)
{
    TicketBatchArrived event{effect.to_, false, {}};
    const auto connection = co_await connect(effect.to_);
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
            ++engine_.counters().badMessages_;
        }
    }
    engine_.post(event);
}

Task<> ExchangeClient::runPush(SendTicketBatch effect)
{
    const auto connection = co_await connect(effect.to_);
    if (connection) {
        connection->send(effect.batch_);
        release(effect.to_, connection);
    }
}

} // namespace radishford
