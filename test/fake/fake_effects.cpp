// Applies the effects of a world to the fake network, backend servers and store.
#include "fake/fake_fleet.h"

namespace radishford {

namespace {

constexpr std::uint64_t PermilleScale = 1000;
// Duration of a health check, and interval at which a pending watch is checked for changes.
constexpr Millis CheckDuration = Millis::fromMicros(200);
constexpr Millis WatchPollInterval{5};

} // namespace

void FakeFleet::apply(std::size_t index, const StartExchange &effect)
{
    const auto server = find(effect.peer_);
    if (!server || isPartitioned(index, *server)) {
        const int generation = instances_[index].generation_;
        at(now_ + DisconnectDelay, [this, index, generation, effect]() { deliver(index, generation, ExchangeConnectionLost{effect.attempt_, true}); });
        return;
    }
    const auto exchange = std::make_shared<FakeExchange>();
    exchange->client_ = index;
    exchange->server_ = *server;
    exchange->clientGeneration_ = instances_[index].generation_;
    exchange->serverGeneration_ = instances_[*server].generation_;
    exchange->attempt_ = effect.attempt_;
    exchange->handle_ = ExchangeHandle(++lastHandle_);
    exchange->call_ = effect.call_;
    exchange->bodyInline_ = effect.offer_.isBodyInline_;
    byAttempt_[{index, effect.attempt_}] = exchange;
    byHandle_[{*server, exchange->handle_}] = exchange;
    Offer offer = effect.offer_;
    // The clocks of two instances are unrelated.
    offer.sentAt_ = offer.sentAt_ + Millis(100000) * static_cast<std::int64_t>(index);
    sendToServer(exchange, OfferArrived{exchange->handle_, offer});
    if (exchange->bodyInline_) {
        exchange->bodySent_ = true;
        sendToServer(exchange, BodyArrived{exchange->handle_});
    }
}

void FakeFleet::apply(std::size_t index, const SendConfirmation &effect)
{
    const ExchangePtr exchange = byAttempt_[{index, effect.attempt_}];
    sendToServer(exchange, ConfirmationArrived{exchange->handle_});
    if (!std::exchange(exchange->bodySent_, true)) {
        sendToServer(exchange, BodyArrived{exchange->handle_});
    }
}

void FakeFleet::apply(std::size_t index, const SendWithdrawal &effect)
{
    const ExchangePtr exchange = byAttempt_[{index, effect.attempt_}];
    if (exchange) {
        sendToServer(exchange, WithdrawalArrived{exchange->handle_});
    }
}

void FakeFleet::apply(std::size_t index, const AbandonExchange &effect)
{
    const ExchangePtr exchange = byAttempt_[{index, effect.attempt_}];
    if (!exchange || exchange->ended_) {
        return;
    }
    const Millis when = std::max(exchange->lastToServer_, now_ + drawDelay(exchange->client_, exchange->server_));
    at(when, [this, exchange]() {
        if (!std::exchange(exchange->ended_, true)) {
            deliver(exchange->server_, exchange->serverGeneration_, PeerDisconnected{exchange->handle_});
        }
    });
}

void FakeFleet::apply(std::size_t index, const RelayResponse &effect)
{
    CallResult *result = resultOf(index, effect.call_);
    const ExchangePtr exchange = byAttempt_[{index, effect.attempt_}];
    if (result != nullptr && exchange) {
        crossRegionRelays_ += sameRegion(exchange->client_, exchange->server_) ? 0 : 1;
        result->responseToken_ = calls_[exchange->call_.value() - 1].token_;
        result->endedAt_ = now_;
    }
}

void FakeFleet::apply(std::size_t index, const FailCall &effect)
{
    if (CallResult *result = resultOf(index, effect.call_)) {
        result->failure_ = effect.code_;
        result->endedAt_ = now_;
    }
}

void FakeFleet::apply(std::size_t index, const AbortCall &effect)
{
    if (CallResult *result = resultOf(index, effect.call_)) {
        result->responseToken_.reset();
        result->connectionAborted_ = true;
    }
}

void FakeFleet::apply(std::size_t index, const ReplyToOffer &effect)
{
    const ExchangePtr exchange = byHandle_[{index, effect.exchange_}];
    if (exchange) {
        sendToClient(exchange, OfferReplied{exchange->attempt_, effect.reply_});
    }
}

void FakeFleet::apply(std::size_t index, const ReplyToWithdrawal &effect)
{
    const ExchangePtr exchange = byHandle_[{index, effect.exchange_}];
    if (exchange) {
        sendToClient(exchange, WithdrawalReplied{exchange->attempt_, effect.reply_.handedOver_});
    }
}

void FakeFleet::apply(std::size_t index, const HandOver &effect)
{
    instances_[index].handOverTimes_.push_back(now_);
    // Tests may offer requests of their own, which no instance has sent.
    if (const ExchangePtr exchange = byHandle_[{index, effect.exchange_}]) {
        runRequest(index, exchange, effect.backend_);
    }
}

void FakeFleet::apply(std::size_t index, const FailExchange &effect)
{
    const ExchangePtr exchange = byHandle_[{index, effect.exchange_}];
    if (exchange) {
        sendToClient(exchange, AttemptFailed{exchange->attempt_, static_cast<ResultCode>(effect.reply_.code_)});
    }
}

void FakeFleet::apply(std::size_t index, const EndExchange &effect)
{
    const ExchangePtr exchange = byHandle_[{index, effect.exchange_}];
    if (exchange && !exchange->ended_) {
        const bool isLeaving = notice_ && notice_(index).isLeaving_;
        const BackendStart leaving{backendIdOf(index), Incarnation(static_cast<std::uint64_t>(instances_[index].backendGeneration_) + 1)};
        sendToClient(exchange, ResponseStarted{exchange->attempt_, false, isLeaving ? hashOf(leaving) : BackendStartHash()});
        sendToClient(exchange, ResponseCompleted{exchange->attempt_, effect.report_});
    }
}

void FakeFleet::apply(std::size_t index, const CancelBackendRequest &effect)
{
    const ExchangePtr exchange = byHandle_[{index, effect.exchange_}];
    if (exchange && std::exchange(exchange->running_, false)) {
        --instances_[index].running_;
    }
}

void FakeFleet::apply(std::size_t index, const SendDatagram &effect)
{
    const auto target = find(effect.to_);
    if (!target || isPartitioned(index, *target) || random_.uniformBelow(PermilleScale) < datagramFaultPermille_) {
        return;
    }
    const int copies = random_.uniformBelow(PermilleScale) < datagramFaultPermille_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const DatagramArrived event{instances_[index].settings_.address_, effect.datagram_};
        at(now_ + drawDelay(index, *target), [this, target = *target, event]() { deliver(target, instances_[target].generation_, event); });
    }
}

void FakeFleet::apply(std::size_t index, const SendTicketPull &effect)
{
    const auto target = find(effect.to_);
    const int generation = instances_[index].generation_;
    const Millis requestDelay = target ? drawDelay(index, *target) : DisconnectDelay;
    at(now_ + requestDelay, [this, index, generation, target, effect]() {
        const bool reached = target && instances_[*target].world_ && !instances_[*target].paused_ && !isPartitioned(index, *target);
        const TicketBatch batch = reached ? objectsSetAfter(*instances_[*target].world_, effect.pull_.after_) : TicketBatch{};
        at(now_ + Millis(1), [this, index, generation, reached, batch, effect]() {
            deliver(index, generation, TicketBatchArrived{effect.to_, reached, batch});
        });
    });
}

void FakeFleet::apply(std::size_t index, const SendTicketBatch &effect)
{
    const auto target = find(effect.to_);
    if (target && !isPartitioned(index, *target)) {
        const TicketBatchArrived event{instances_[index].settings_.address_, true, effect.batch_};
        at(now_ + drawDelay(index, *target), [this, target = *target, event]() { deliver(target, instances_[target].generation_, event); });
    }
}

void FakeFleet::apply(std::size_t index, const CheckBackendHealth &effect)
{
    const FakeInstance &instance = instances_[index];
    if (ignoresChecks_ && ignoresChecks_(index)) {
        return;
    }
    const int generation = instance.generation_;
    BackendChecked event;
    event.number_ = effect.number_;
    event.ok_ = instance.backendRuns_;
    event.id_ = instance.backendRuns_ ? backendIdOf(index) : BackendId();
    event.load_ = BackendLoad{Slots(instance.running_), Slots(), Slots(instance.slots_), Percent(slownessOf(index))};
    if (instance.backendRuns_) {
        ++healthChecks_;
    }
    const BackendStart backend{event.id_, effect.backend_.incarnation_};
    at(now_ + CheckDuration, [this, index, generation, event, backend, askedAt = now_]() {
        if (event.ok_) {
            deliverNotice(index, generation, backend, askedAt);
        }
        deliver(index, generation, event);
    });
}

// Delays the response to a watch until the data has changed or its hold time is over.
void FakeFleet::respondToWatch(std::size_t index, int generation, const SendStoreRequest &effect, Millis until)
{
    const auto &watch = std::get<RoutingWatch>(effect.operation_);
    if (storeUnavailableFor_.contains(index)) {
        at(now_ + Millis(2), [this, index, generation, effect]() { deliver(index, generation, StoreResponded{effect.request_, {}}); });
        return;
    }
    if (!store_.canRespondNow(watch) && now_ < until) {
        at(now_ + WatchPollInterval, [this, index, generation, effect, until]() { respondToWatch(index, generation, effect, until); });
        return;
    }
    const StoreResponse response = store_.run(effect.operation_);
    at(now_ + Millis(2), [this, index, generation, effect, response]() { deliver(index, generation, StoreResponded{effect.request_, response}); });
}

void FakeFleet::apply(std::size_t index, const SendStoreRequest &effect)
{
    const int generation = instances_[index].generation_;
    if (const auto *watch = std::get_if<RoutingWatch>(&effect.operation_)) {
        respondToWatch(index, generation, effect, now_ + watch->maxWait_);
        return;
    }
    at(now_ + Millis(2), [this, index, generation, effect]() {
        const StoreResponse response = storeUnavailableFor_.contains(index) ? StoreResponse{} : store_.run(effect.operation_);
        const Millis wait = response.ok_ ? Millis(2) : Millis(1000);
        at(now_ + wait, [this, index, generation, effect, response]() { deliver(index, generation, StoreResponded{effect.request_, response}); });
    });
}

void FakeFleet::apply(std::size_t /*index*/, const ReplyToTicket &effect)
{
    ticketResults_[effect.handle_ - 1] = effect;
}

void FakeFleet::apply(std::size_t /*index*/, const LogStateChange & /*effect*/)
{
}

void FakeFleet::apply(std::size_t /*index*/, const LogDecision & /*effect*/)
{
}

void FakeFleet::apply(std::size_t /*index*/, const RecordSpan & /*effect*/)
{
}

void FakeFleet::apply(std::size_t index, const Exit & /*effect*/)
{
    instances_[index].exited_ = true;
}

} // namespace radishford
