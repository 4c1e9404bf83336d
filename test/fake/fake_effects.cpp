// What the fake network, backend servers and store do with each effect of a world.
#include "fake/fake_fleet.h"

namespace radishford {

namespace {

constexpr std::uint64_t PermilleScale = 1000;
// Time of a health check, and between looks at a watch that is held back.
constexpr Millis CheckTime = Millis::fromMicros(200);
constexpr Millis WatchPoll{5};

} // namespace

void FakeFleet::apply(std::size_t index, const StartExchange &effect)
{
    const auto server = find(effect.peer_);
    if (!server || isCut(index, *server)) {
        const int life = instances_[index].life_;
        at(now_ + LossNotice, [this, index, life, effect]() { deliver(index, life, ExchangeLost{effect.attempt_, true}); });
        return;
    }
    const auto link = std::make_shared<FakeLink>();
    link->client_ = index;
    link->server_ = *server;
    link->clientLife_ = instances_[index].life_;
    link->serverLife_ = instances_[*server].life_;
    link->attempt_ = effect.attempt_;
    link->handle_ = ExchangeHandle(++lastHandle_);
    link->call_ = effect.call_;
    link->rides_ = effect.offer_.bodyRides_;
    byAttempt_[{index, effect.attempt_}] = link;
    byHandle_[{*server, link->handle_}] = link;
    toServer(link, OfferArrived{link->handle_, effect.offer_});
    if (link->rides_) {
        link->bodySent_ = true;
        toServer(link, BodyArrived{link->handle_});
    }
}

void FakeFleet::apply(std::size_t index, const SendGo &effect)
{
    const LinkPtr link = byAttempt_[{index, effect.attempt_}];
    toServer(link, GoArrived{link->handle_});
    if (!std::exchange(link->bodySent_, true)) {
        toServer(link, BodyArrived{link->handle_});
    }
}

void FakeFleet::apply(std::size_t index, const SendWithdraw &effect)
{
    const LinkPtr link = byAttempt_[{index, effect.attempt_}];
    if (link) {
        toServer(link, WithdrawArrived{link->handle_});
    }
}

void FakeFleet::apply(std::size_t index, const DropExchange &effect)
{
    const LinkPtr link = byAttempt_[{index, effect.attempt_}];
    if (!link || link->ended_) {
        return;
    }
    const Millis when = std::max(link->toServerAt_, now_ + delay(link->client_, link->server_));
    at(when, [this, link]() {
        if (!std::exchange(link->ended_, true)) {
            deliver(link->server_, link->serverLife_, PeerGone{link->handle_});
        }
    });
}

void FakeFleet::apply(std::size_t index, const RelayAnswer &effect)
{
    CallResult *result = resultOf(index, effect.call_);
    const LinkPtr link = byAttempt_[{index, effect.attempt_}];
    if (result != nullptr && link) {
        farAnswers_ += sameRegion(link->client_, link->server_) ? 0 : 1;
        result->answer_ = calls_[link->call_.value() - 1].token_;
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
        result->answer_.reset();
        result->cut_ = true;
    }
}

void FakeFleet::apply(std::size_t index, const ReplyOffer &effect)
{
    const LinkPtr link = byHandle_[{index, effect.exchange_}];
    if (link) {
        toClient(link, OfferReplied{link->attempt_, effect.reply_});
    }
}

void FakeFleet::apply(std::size_t index, const ReplyWithdraw &effect)
{
    const LinkPtr link = byHandle_[{index, effect.exchange_}];
    if (link) {
        toClient(link, WithdrawReplied{link->attempt_, effect.reply_.handedOver_});
    }
}

void FakeFleet::apply(std::size_t index, const HandOver &effect)
{
    instances_[index].handOvers_.push_back(now_);
    runRequest(index, byHandle_[{index, effect.exchange_}]);
}

void FakeFleet::apply(std::size_t index, const FailExchange &effect)
{
    const LinkPtr link = byHandle_[{index, effect.exchange_}];
    if (link) {
        toClient(link, AttemptFailed{link->attempt_, static_cast<ResultCode>(effect.reply_.code_)});
    }
}

void FakeFleet::apply(std::size_t index, const EndExchange &effect)
{
    const LinkPtr link = byHandle_[{index, effect.exchange_}];
    if (link && !link->ended_) {
        toClient(link, AnswerStarted{link->attempt_});
        toClient(link, AnswerCompleted{link->attempt_, effect.report_});
    }
}

void FakeFleet::apply(std::size_t index, const CancelBackend &effect)
{
    const LinkPtr link = byHandle_[{index, effect.exchange_}];
    if (link && std::exchange(link->running_, false)) {
        --instances_[index].running_;
    }
}

void FakeFleet::apply(std::size_t index, const SendDatagram &effect)
{
    const auto target = find(effect.to_);
    if (!target || isCut(index, *target) || random_.below(PermilleScale) < datagramLoss_) {
        return;
    }
    const int copies = random_.below(PermilleScale) < datagramLoss_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const DatagramArrived event{instances_[index].settings_.address_, effect.datagram_};
        at(now_ + delay(index, *target), [this, target = *target, event]() { deliver(target, instances_[target].life_, event); });
    }
}

void FakeFleet::apply(std::size_t index, const SendTicketPull &effect)
{
    const auto target = find(effect.to_);
    const int life = instances_[index].life_;
    const Millis there = target ? delay(index, *target) : LossNotice;
    at(now_ + there, [this, index, life, target, effect]() {
        const bool reached = target && instances_[*target].world_ && !instances_[*target].paused_ && !isCut(index, *target);
        const TicketBatch batch = reached ? objectsAfter(*instances_[*target].world_, effect.pull_.after_) : TicketBatch{};
        at(now_ + Millis(1), [this, index, life, reached, batch, effect]() { deliver(index, life, TicketBatchArrived{effect.to_, reached, batch}); });
    });
}

void FakeFleet::apply(std::size_t index, const SendTicketBatch &effect)
{
    const auto target = find(effect.to_);
    if (target && !isCut(index, *target)) {
        const TicketBatchArrived event{instances_[index].settings_.address_, true, effect.batch_};
        at(now_ + delay(index, *target), [this, target = *target, event]() { deliver(target, instances_[target].life_, event); });
    }
}

void FakeFleet::apply(std::size_t index, const CheckBackend & /*effect*/)
{
    const FakeInstance &instance = instances_[index];
    const int life = instance.life_;
    BackendChecked event;
    event.ok_ = instance.backendUp_;
    event.id_ = backendIdOf(index);
    event.load_ = BackendLoad{Slots(instance.running_), Slots(), Slots(instance.slots_), Percent(slownessOf(index))};
    if (instance.backendUp_) {
        ++checks_;
    }
    at(now_ + CheckTime, [this, index, life, event]() { deliver(index, life, event); });
}

// Holds a watch back until there is news or its time is over.
void FakeFleet::answerWatch(std::size_t index, int life, const SendStore &effect, Millis until)
{
    const auto &watch = std::get<RoutingWatch>(effect.operation_);
    if (storeDownFor_.contains(index)) {
        at(now_ + Millis(2), [this, index, life, effect]() { deliver(index, life, StoreAnswered{effect.request_, {}}); });
        return;
    }
    if (!store_.hasNews(watch) && now_ < until) {
        at(now_ + WatchPoll, [this, index, life, effect, until]() { answerWatch(index, life, effect, until); });
        return;
    }
    const StoreAnswer answer = store_.run(effect.operation_);
    at(now_ + Millis(2), [this, index, life, effect, answer]() { deliver(index, life, StoreAnswered{effect.request_, answer}); });
}

void FakeFleet::apply(std::size_t index, const SendStore &effect)
{
    const int life = instances_[index].life_;
    if (const auto *watch = std::get_if<RoutingWatch>(&effect.operation_)) {
        answerWatch(index, life, effect, now_ + watch->hold_);
        return;
    }
    at(now_ + Millis(2), [this, index, life, effect]() {
        const StoreAnswer answer = storeDownFor_.contains(index) ? StoreAnswer{} : store_.run(effect.operation_);
        const Millis wait = answer.ok_ ? Millis(2) : Millis(1000);
        at(now_ + wait, [this, index, life, effect, answer]() { deliver(index, life, StoreAnswered{effect.request_, answer}); });
    });
}

void FakeFleet::apply(std::size_t /*index*/, const ReplyTicket &effect)
{
    ticketResults_[effect.handle_ - 1] = effect;
}

void FakeFleet::apply(std::size_t /*index*/, const LogChange & /*effect*/)
{
}

void FakeFleet::apply(std::size_t /*index*/, const LogDecision & /*effect*/)
{
}

void FakeFleet::apply(std::size_t /*index*/, const EndSpan & /*effect*/)
{
}

void FakeFleet::apply(std::size_t index, const Exit & /*effect*/)
{
    instances_[index].exited_ = true;
}

} // namespace radishford
