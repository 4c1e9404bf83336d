// Hand-written fake of the environment of several worlds.
#include "fake/fake_fleet.h"

#include "core/hash.h"

namespace radishford {

namespace {

constexpr std::uint16_t DaemonPort = 7401;
constexpr std::uint32_t FirstIp = 0x7F000101;
constexpr Millis AnnounceInterval{500};
constexpr std::uint64_t PermilleScale = 1000;
// Wall clock at time zero, in milliseconds.
constexpr std::uint64_t ClockStart = 1000000;

// Address of an instance.
Address addressOf(std::size_t index)
{
    return Address{FirstIp + static_cast<std::uint32_t>(index), DaemonPort};
}

} // namespace

FakeFleet::FakeFleet(std::size_t instances, std::uint64_t seed, const WorldSettings &common)
    : instances_(instances)
    , random_(seed)
{
    const std::vector<Place> places{{"r0-a", "r0"}, {"r0-b", "r0"}, {"r1-a", "r1"}, {"r1-b", "r1"}, {"r2-a", "r2"}, {"r2-b", "r2"}};
    for (std::size_t index = 0; index < instances; ++index) {
        WorldSettings &settings = instances_[index].settings_;
        settings = common;
        settings.name_ = InstanceName("i" + std::to_string(index));
        settings.address_ = addressOf(index);
        settings.adminAddress_ = Address{settings.address_.ip_, 7404};
        settings.places_ = places;
        settings.failureDomain_ = places[index % places.size()].failureDomain_;
        settings.seeds_ = {addressOf(0), addressOf(1), addressOf(2)};
        settings.backendService_ = ServiceName(service_);
        settings.backendAddress_ = Address{settings.address_.ip_, 7410};
        if (settings.isRouted_) {
            settings.seeds_.clear();
        }
        start(index);
        announce(index);
    }
}

void FakeFleet::start(std::size_t index)
{
    FakeInstance &instance = instances_[index];
    if (instance.world_) {
        kill(index);
    }
    ++instance.generation_;
    instance.paused_ = false;
    instance.exited_ = false;
    instance.queuedEvents_.clear();
    instance.settings_.incarnation_ = Incarnation(static_cast<std::uint64_t>((now_ + clockOffset_).count()) + ClockStart);
    instance.world_ = std::make_unique<World>(instance.settings_, random_.bits64(), now_);
    instance.nextWakeUp_ = Millis::never();
    tick(index, {});
}

void FakeFleet::kill(std::size_t index)
{
    FakeInstance &instance = instances_[index];
    ++instance.generation_;
    instance.world_.reset();
    instance.queuedEvents_.clear();
    breakExchangesOf(index);
    for (std::size_t call = 0; call < calls_.size(); ++call) {
        // Callers of a killed daemon see their connection fail.
        CallResult &result = results_[call];
        if (!result.isOver() && callInstances_.at(call) == index) {
            result.connectionAborted_ = true;
            result.endedAt_ = now_;
        }
    }
}

void FakeFleet::pause(std::size_t index)
{
    instances_[index].paused_ = true;
}

void FakeFleet::resume(std::size_t index)
{
    FakeInstance &instance = instances_[index];
    instance.paused_ = false;
    if (instance.world_) {
        tick(index, std::exchange(instance.queuedEvents_, {}));
    }
}

void FakeFleet::failBackend(std::size_t index, Millis downFor)
{
    FakeInstance &instance = instances_[index];
    instance.backendRuns_ = false;
    ++instance.backendGeneration_;
    instance.running_ = 0;
    at(now_ + downFor, [this, index]() { instances_[index].backendRuns_ = true; });
    for (const auto &[key, exchange] : std::map(byHandle_)) {
        if (key.first == index && exchange && std::exchange(exchange->running_, false)) {
            deliver(index, exchange->serverGeneration_, BackendFailed{exchange->handle_, BackendFault::ConnectionClosed, {}});
        }
    }
}

void FakeFleet::setPartitioned(std::size_t first, std::size_t second, bool isPartitioned)
{
    const auto pair = std::minmax(first, second);
    if (!isPartitioned) {
        partitions_.erase(pair);
        return;
    }
    partitions_.insert(pair);
    for (const auto &[key, exchange] : std::map(byAttempt_)) {
        if (exchange && std::pair(std::minmax(exchange->client_, exchange->server_)) == std::pair(pair)) {
            breakExchange(exchange);
        }
    }
}

void FakeFleet::runUntil(Millis time)
{
    while (!queue_.empty() && queue_.top().time_ <= time) {
        const ScheduledAction nextAction = queue_.top();
        queue_.pop();
        now_ = std::max(now_, nextAction.time_);
        nextAction.action_();
    }
    now_ = std::max(now_, time);
}

void FakeFleet::runFor(Millis duration)
{
    runUntil(now_ + duration);
}

std::size_t FakeFleet::call(std::size_t index, const FakeCall &call)
{
    calls_.push_back(call);
    CallResult result;
    result.startedAt_ = now_;
    results_.push_back(result);
    const std::size_t number = calls_.size() - 1;
    callInstances_[number] = index;
    CallArrived event;
    event.handle_ = CallHandle(number + 1);
    event.service_ = ServiceName(service_);
    event.class_ = ClassName(call.class_);
    event.isReplayable_ = true;
    event.canInlineBody_ = call.canInlineBody_;
    event.fingerprint_ = Fingerprint(call.fingerprint_ != 0 ? call.fingerprint_ : hashBytes(call.action_));
    event.idempotencyKey_ = call.key_;
    event.policy_ = call.policy_;
    event.bodySize_ = call.bodySize_;
    event.timeout_ = call.timeout_;
    event.isFromBackend_ = call.isFromBackend_;
    event.trace_ = TraceId(call.token_);
    if (!instances_[index].world_ || instances_[index].exited_) {
        results_[number].connectionAborted_ = true;
        return number;
    }
    deliver(index, instances_[index].generation_, event);
    return number;
}

void FakeFleet::callAfterExit(std::size_t index, const CallArrived &event)
{
    callInstances_[event.handle_.value() - 1] = index;
    CallArrived routed = event;
    routed.service_ = ServiceName(service_);
    routed.policy_ = CallPolicy{true, true, false, 0, 1, Millis(1000), Millis(300)};
    tick(index, {routed});
}

std::size_t FakeFleet::submit(std::size_t index, const Ticket &ticket)
{
    ticketResults_.emplace_back();
    post(index, TicketSubmitted{ticketResults_.size(), ticket});
    return ticketResults_.size() - 1;
}

void FakeFleet::post(std::size_t index, Event event)
{
    deliver(index, instances_[index].generation_, std::move(event));
}

void FakeFleet::at(Millis time, std::function<void()> action)
{
    queue_.push(ScheduledAction{time, ++order_, std::move(action)});
}

Millis FakeFleet::now() const
{
    return now_;
}

World &FakeFleet::world(std::size_t index)
{
    return *instances_[index].world_;
}

std::size_t FakeFleet::size() const
{
    return instances_.size();
}

std::pair<std::size_t, AttemptId> FakeFleet::attemptOf(std::size_t index, ExchangeHandle handle) const
{
    const ExchangePtr &exchange = byHandle_.at({index, handle});
    return {exchange->client_, exchange->attempt_};
}

int FakeFleet::executions(const std::string &action) const
{
    const auto found = executions_.find(action);
    return found == executions_.end() ? 0 : found->second;
}

bool FakeFleet::allUseTicket(std::uint64_t number) const
{
    return std::all_of(instances_.begin(), instances_.end(), [&](const FakeInstance &instance) {
        return !instance.world_ || instance.exited_ || (instance.world_->tickets_.isCurrent_ && instance.world_->tickets_.highestTicket_.value() >= number);
    });
}

void FakeFleet::deliver(std::size_t index, int generation, Event event)
{
    FakeInstance &instance = instances_[index];
    if (!instance.world_ || instance.generation_ != generation) {
        return;
    }
    if (instance.paused_) {
        instance.queuedEvents_.push_back(std::move(event));
        return;
    }
    tick(index, {std::move(event)});
}

void FakeFleet::tick(std::size_t index, Inbox inbox)
{
    FakeInstance &instance = instances_[index];
    const int generation = instance.generation_;
    const Outbox outbox = instance.world_->tick(now_, std::move(inbox));
    for (const Effect &effect : outbox) {
        if (effectObserver_) {
            effectObserver_(index, effect);
        }
        std::visit([&](const auto &body) { apply(index, body); }, effect);
        if (instance.generation_ != generation) {
            return;
        }
    }
    scheduleWakeUp(index);
}

void FakeFleet::scheduleWakeUp(std::size_t index)
{
    FakeInstance &instance = instances_[index];
    const Millis next = instance.world_->nextDeadline();
    if (next >= instance.nextWakeUp_ || next == Millis::never()) {
        return;
    }
    instance.nextWakeUp_ = next;
    at(next, [this, index, next, generation = instance.generation_]() {
        FakeInstance &woken = instances_[index];
        if (!woken.world_ || woken.generation_ != generation || woken.nextWakeUp_ != next) {
            return;
        }
        woken.nextWakeUp_ = Millis::never();
        if (!woken.paused_) {
            tick(index, {});
        }
    });
}

void FakeFleet::announce(std::size_t index)
{
    FakeInstance &instance = instances_[index];
    if (instance.backendRuns_ && instance.sendsAnnouncements_) {
        const Address address{FirstIp + static_cast<std::uint32_t>(index), 7410};
        const Incarnation generation(static_cast<std::uint64_t>(instance.backendGeneration_) + 1);
        BackendAnnounced event{ServiceName(service_),        address, Slots(instance.slots_), instance.announcedState_, generation, backendIdOf(index),
                               ++instance.announcementCount_};
        deliver(index, instance.generation_, event);
    }
    at(now_ + AnnounceInterval, [this, index]() { announce(index); });
}

int FakeFleet::slownessOf(std::size_t index) const
{
    return slowness_ ? slowness_(index) : 0;
}

BackendId FakeFleet::backendIdOf(std::size_t index) const
{
    const BackendId &set = instances_[index].backendId_;
    return !set.value().empty() ? set : BackendId("b" + std::to_string(index) + "-" + std::to_string(instances_[index].backendGeneration_));
}

bool FakeFleet::sameRegion(std::size_t first, std::size_t second)
{
    constexpr std::size_t DomainsPerRegion = 2;
    constexpr std::size_t Domains = 6;
    return (first % Domains) / DomainsPerRegion == (second % Domains) / DomainsPerRegion;
}

Millis FakeFleet::drawDelay(std::size_t from, std::size_t to)
{
    const std::int64_t base = from == to ? 20 : (sameRegion(from, to) ? 1000 : 8000);
    const bool isDelayed = random_.uniformBelow(PermilleScale) < delayedMessagePermille_;
    const std::int64_t extra = static_cast<std::int64_t>(random_.uniformBelow(isDelayed ? 2000000 : 300));
    return Millis::fromMicros(base + extra);
}

std::optional<std::size_t> FakeFleet::find(const Address &address) const
{
    const std::size_t index = address.ip_ - FirstIp;
    const bool running = index < instances_.size() && instances_[index].world_ && !instances_[index].exited_;
    return running ? std::optional(index) : std::nullopt;
}

bool FakeFleet::isPartitioned(std::size_t first, std::size_t second) const
{
    return partitions_.contains(std::minmax(first, second));
}

void FakeFleet::sendToServer(const ExchangePtr &exchange, Event event)
{
    exchange->lastToServer_ = std::max(exchange->lastToServer_, now_ + drawDelay(exchange->client_, exchange->server_));
    at(exchange->lastToServer_, [this, exchange, event]() {
        if (!exchange->ended_) {
            deliver(exchange->server_, exchange->serverGeneration_, event);
        }
    });
}

void FakeFleet::sendToClient(const ExchangePtr &exchange, Event event)
{
    const Millis sentAt = std::max(now_, instances_[exchange->server_].linkFreeAt_);
    exchange->lastToClient_ = std::max(exchange->lastToClient_, sentAt + drawDelay(exchange->server_, exchange->client_));
    at(exchange->lastToClient_, [this, exchange, event]() {
        if (!isPartitioned(exchange->client_, exchange->server_)) {
            deliver(exchange->client_, exchange->clientGeneration_, event);
        }
    });
}

void FakeFleet::breakExchange(const ExchangePtr &exchange)
{
    if (!exchange || exchange->ended_) {
        return;
    }
    exchange->ended_ = true;
    at(now_ + DisconnectDelay, [this, exchange]() {
        deliver(exchange->client_, exchange->clientGeneration_, ExchangeConnectionLost{exchange->attempt_, false});
        deliver(exchange->server_, exchange->serverGeneration_, PeerDisconnected{exchange->handle_});
    });
}

void FakeFleet::breakExchangesOf(std::size_t index)
{
    for (const auto &[key, exchange] : std::map(byAttempt_)) {
        if (exchange && (exchange->client_ == index || exchange->server_ == index)) {
            breakExchange(exchange);
        }
    }
}

void FakeFleet::deliverNotice(std::size_t index, int generation, const BackendStart &backend, Millis askedAt)
{
    const BackendNotice notice = notice_ ? notice_(index) : BackendNotice{};
    deliver(index, generation, BackendStated{backend, askedAt, now_, notice});
}

void FakeFleet::runRequest(std::size_t index, const ExchangePtr &exchange, const BackendStart &backend)
{
    FakeInstance &instance = instances_[index];
    const ExchangeHandle handle = exchange->handle_;
    const int generation = exchange->serverGeneration_;
    if (!instance.backendRuns_) {
        at(now_ + Millis(1), [this, index, generation, handle]() { deliver(index, generation, BackendFailed{handle, BackendFault::Unreachable, {}}); });
        return;
    }
    const Millis askedAt = now_;
    if (refuses_ && refuses_(index)) {
        at(now_ + Millis(1), [this, index, generation, handle, backend, askedAt]() {
            deliverNotice(index, generation, backend, askedAt);
            deliver(index, generation, BackendFailed{handle, BackendFault::Refused, {}});
        });
        return;
    }
    const FakeCall &call = calls_[exchange->call_.value() - 1];
    exchange->running_ = true;
    ++executions_[call.action_];
    ++executionsByToken_[call.token_];
    if (call.crashesBackend_) {
        ++backendCrashes_;
        at(now_ + Millis(1), [this, index]() { failBackend(index, Millis(200)); });
        return;
    }
    ++instance.running_;
    instance.maxRunning_ = std::max(instance.maxRunning_, instance.running_);
    if (hangs_ && hangs_(index)) {
        return;
    }
    constexpr std::int64_t WholePercent = 100;
    const Millis baseTime = serviceTimeOf_ ? serviceTimeOf_(index) : instance.serviceTime_;
    // The service time at the start of a request applies to the whole request.
    const int slowness = slownessOf(index);
    const Millis serviceTime = slowness == 0 ? baseTime : Millis::fromMicros(baseTime.micros() * slowness / WholePercent);
    at(now_ + serviceTime, [this, index, generation, handle, exchange, backend, askedAt, backendGeneration = instance.backendGeneration_]() {
        const bool runs = std::exchange(exchange->running_, false);
        if (runs && instances_[index].backendGeneration_ == backendGeneration) {
            --instances_[index].running_;
            const FakeInstance &done = instances_[index];
            const BackendLoad load{Slots(done.running_), Slots(), Slots(done.slots_), Percent(slownessOf(index))};
            const Bytes size = calls_[exchange->call_.value() - 1].responseSize_;
            at(sendOverLink(index, size), [this, index, generation, handle, load, size, backend, askedAt]() {
                deliverNotice(index, generation, backend, askedAt);
                deliver(index, generation, BackendResponded{handle, 200, load, size});
            });
        }
    });
}

Millis FakeFleet::sendOverLink(std::size_t index, Bytes size)
{
    constexpr std::int64_t MicrosPerSecond = 1000000;
    const Millis duration = linkBytesPerSecond_ == Bytes() ? Millis() : Millis::fromMicros(size.value() * MicrosPerSecond / linkBytesPerSecond_.value());
    Millis &freeAt = instances_[index].linkFreeAt_;
    freeAt = std::max(now_, freeAt) + duration;
    return freeAt;
}

CallResult *FakeFleet::resultOf(std::size_t index, CallHandle handle)
{
    const std::size_t number = handle.value() - 1;
    return callInstances_.at(number) == index ? &results_[number] : nullptr;
}

Ticket standardTicket(std::uint64_t number, const std::string &submission)
{
    const auto makeClass = [](const char *name, bool idempotent, bool keyed, int share, int queue, std::int64_t deadline) {
        RequestClass row;
        row.name_ = ClassName(name);
        row.pathPrefix_ = "/";
        row.isIdempotent_ = idempotent;
        row.isKeyRequired_ = keyed;
        row.slotShare_ = Permille(share);
        row.queueLimit_ = Slots(queue);
        row.deadline_ = Millis(deadline);
        row.maxBody_ = Bytes(65536);
        return row;
    };
    ServiceSpec spec;
    spec.classes_
        = {makeClass("read", true, false, 1000, 16, 1500), makeClass("check", true, false, 250, 8, 5000), makeClass("write", false, false, 1000, 16, 3000),
           makeClass("keyed", false, true, 1000, 16, 3000), makeClass("upload", true, false, 500, 4, 900000)};
    spec.classes_.back().isStreamed_ = true;
    spec.retryBudget_ = Permille(200);
    spec.coldStart_ = Millis(0);
    spec.quarantine_ = Millis(60000);
    MeasurementBudgetSpec budget;
    budget.bytesPerSecond_ = Bytes(20000);
    budget.probesPerSecond_ = 10;
    budget.daemonsPerRegion_ = 2;
    for (const char *from : {"r0", "r1", "r2"}) {
        for (const char *to : {"r0", "r1", "r2"}) {
            if (std::string(from) != to) {
                budget.regionPairs_.push_back(RegionPairBudget{from, to, Bytes(2000), 4});
            }
        }
    }
    Ticket ticket;
    ticket.number_ = TicketNumber(number);
    ticket.submission_ = submission;
    ticket.author_ = "tester";
    ticket.reason_ = "test";
    ticket.objects_ = {TicketObject{"booking", TicketNumber(number), spec}, TicketObject{"measuring", TicketNumber(number), budget}};
    return ticket;
}

} // namespace radishford
