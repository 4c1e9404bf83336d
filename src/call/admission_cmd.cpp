// Admission of requests at the only way to the backend server.
#include "call/admission_func.h"
#include "call/suspect_func.h"
#include "core/error.h"
#include "fleet/gossip_func.h"
#include "fleet/instance_func.h"
#include "measure/budget_func.h"
#include "store/claim_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// An announcement that is not repeated for this long lapses, and with it the backend server's readiness.
constexpr Millis AnnouncementLease{2500};
// An admitted request that is not confirmed in this time gives its slot back.
constexpr Millis GoTimeout{500};
// Slots of a cold backend server at first, in parts of all.
constexpr double ColdShare = 0.25;
// The limit of a cold backend server is worked out anew this often while requests wait.
constexpr Millis WarmInterval{100};
// Weight of a new latency in the moving average.
constexpr double LatencyWeight = 0.1;
// Bytes that a load report adds to a message.
constexpr Bytes ReportBytes{11};
constexpr double PermilleScale = 1000.0;

// The row of an exchange, or an invalid id. Exchanges that have ended are counted.
AdmissionId findAdmission(World &world, ExchangeHandle exchange)
{
    const auto found = world.admissions_.byExchange_.find(exchange);
    if (found == world.admissions_.byExchange_.end()) {
        world.counters_.add(Counter::LateMessages);
        return AdmissionId{};
    }
    return found->second;
}

// Requests that may hold a slot now: fewer while the backend server is cold.
Slots limitNow(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    const ServiceSpec *spec = findService(world, backend.service_);
    const Millis warmAfter = spec == nullptr ? Millis() : spec->coldStart_;
    const Millis age = world.now_ - backend.readyAt_;
    if (age >= warmAfter) {
        return backend.slots_;
    }
    const double share = ColdShare + (1 - ColdShare) * age.fraction() / warmAfter.fraction();
    return Slots(std::max(1, static_cast<std::int32_t>(backend.slots_.value() * share)));
}

// Slots that a class may hold.
Slots classLimit(const World &world, const RequestClass &requestClass)
{
    const double share = requestClass.slotShare_.value() / PermilleScale;
    return Slots(std::max(1, static_cast<std::int32_t>(world.admissions_.backend_.slots_.value() * share)));
}

// The queue of a class, created on first use.
ClassQueue &queueOf(World &world, std::size_t classIndex)
{
    auto &classes = world.admissions_.classes_;
    if (classes.size() <= classIndex) {
        classes.resize(classIndex + 1);
    }
    return classes[classIndex];
}

// The class of an offer by the ticket in force here; nullptr when there is none.
const RequestClass *findClass(const World &world, const Offer &offer)
{
    const ServiceSpec *spec = findService(world, offer.service_);
    if (spec == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(spec->classes_.begin(), spec->classes_.end(), [&](const RequestClass &row) { return row.name_ == offer.class_; });
    return found == spec->classes_.end() ? nullptr : &*found;
}

// Why the state of this daemon or its backend server forbids any new work, or Ok.
ResultCode stateRefusal(const World &world, const Offer &offer)
{
    const LocalBackend &backend = world.admissions_.backend_;
    if (!world.tickets_.current_) {
        return ResultCode::NotReady;
    }
    if (backend.state_ == BackendState::Draining || isLeaving(world) || isDrainedByTicket(world, world.settings_.name_)) {
        return ResultCode::BackendDraining;
    }
    const bool ready = backend.state_ == BackendState::Ready && backend.service_ == offer.service_;
    return ready ? ResultCode::Ok : ResultCode::BackendNotReady;
}

// Why an offer is refused, or Ok.
ResultCode refusalOf(const World &world, const Offer &offer, const RequestClass *requestClass)
{
    const ResultCode state = stateRefusal(world, offer);
    if (state != ResultCode::Ok) {
        return state;
    }
    if (requestClass == nullptr) {
        return ResultCode::UnknownService;
    }
    if (requestClass->keyRequired_ && offer.key_.empty()) {
        return ResultCode::KeyRequired;
    }
    if (isQuarantined(world, offer.fingerprint_)) {
        return ResultCode::Quarantined;
    }
    if (offer.remaining_ <= Millis()) {
        return ResultCode::DeadlineNotRun;
    }
    return world.admissions_.rows_.size() >= world.settings_.maxCalls_ ? ResultCode::TooManyCalls : ResultCode::Ok;
}

// True when a request may take a slot now.
bool mayTakeSlot(World &world, const RequestClass &requestClass, std::size_t classIndex, Fingerprint fingerprint)
{
    const AdmissionTable &table = world.admissions_;
    const bool slotFree = table.inFlight_ < limitNow(world);
    const bool shareFree = queueOf(world, classIndex).inFlight_ < classLimit(world, requestClass);
    const bool suspectFree = table.suspectsInFlight_ == 0 || !isSuspect(world, fingerprint);
    return slotFree && shareFree && suspectFree;
}

// True when a request that waits now is likely to miss its deadline.
bool wouldWaitTooLong(World &world, const RequestClass &requestClass, std::size_t classIndex, Millis remaining)
{
    const ClassQueue &queue = queueOf(world, classIndex);
    if (queue.waitingCount_ >= requestClass.queue_) {
        return true;
    }
    const double turns = static_cast<double>(queue.waitingCount_.value() + 1) / classLimit(world, requestClass).value();
    return turns * world.admissions_.backend_.latency_.fraction() > remaining.fraction();
}

// Gives a slot to a request.
void takeSlot(World &world, AdmissionId id)
{
    AdmissionTable &table = world.admissions_;
    Admission &row = *table.rows_.get(id);
    table.inFlight_ += Slots(1);
    queueOf(world, row.classIndex_).inFlight_ += Slots(1);
    row.suspected_ = isSuspect(world, row.offer_.fingerprint_);
    table.suspectsInFlight_ += row.suspected_ ? 1 : 0;
    world.counters_.add(Counter::Admitted);
}

// Gives a request's slot or place in the queue back.
void releasePlace(World &world, const Admission &row)
{
    AdmissionTable &table = world.admissions_;
    ClassQueue &queue = queueOf(world, row.classIndex_);
    if (row.state_ == AdmissionState::Queued) {
        queue.waitingCount_ -= Slots(1);
        table.queued_ -= Slots(1);
        return;
    }
    table.inFlight_ -= Slots(1);
    queue.inFlight_ -= Slots(1);
    table.suspectsInFlight_ -= row.suspected_ ? 1 : 0;
}

// Removes a request and ends its span.
void removeAdmission(World &world, AdmissionId id, ResultCode code)
{
    const Admission row = *world.admissions_.rows_.get(id);
    releasePlace(world, row);
    world.admissions_.byExchange_.erase(row.exchange_);
    world.admissions_.rows_.remove(id);
    const std::string detail = world.settings_.name_.value() + " " + row.offer_.service_.value() + "/" + row.offer_.class_.value();
    world.emit(EndSpan{row.offer_.trace_, row.span_, row.offer_.parentSpan_, "admission", detail, row.arrivedAt_, world.now_, code});
}

// Removes a request that was not handed over, and frees its idempotency key.
void removeNotRun(World &world, AdmissionId id, ResultCode code)
{
    const Admission &row = *world.admissions_.rows_.get(id);
    if (row.maybeClaimed_) {
        releaseClaim(world, id, row.offer_);
    }
    removeAdmission(world, id, code);
}

// Answers an offer.
void replyOffer(World &world, const Admission &row, Verdict verdict)
{
    world.emit(ReplyOffer{row.exchange_, OfferReply{row.offer_.attempt_, verdict, 0}});
}

// Refuses an offer.
void refuse(World &world, const OfferArrived &event, ResultCode code)
{
    world.counters_.add(Counter::Refused);
    ++world.counters_.results_[code];
    if (code == ResultCode::Quarantined) {
        world.counters_.add(Counter::Quarantines);
    }
    world.emit(ReplyOffer{event.exchange_, OfferReply{event.offer_.attempt_, Verdict::Refused, numberOf(code)}});
    const std::string detail = world.settings_.name_.value() + " " + event.offer_.service_.value() + "/" + event.offer_.class_.value();
    world.emit(EndSpan{event.offer_.trace_, drawSpan(world), event.offer_.parentSpan_, "admission", detail, world.now_, world.now_, code});
}

// Adds a row for an offer that is not refused.
AdmissionId addAdmission(World &world, const OfferArrived &event, const RequestClass &requestClass, std::size_t classIndex)
{
    Admission row;
    row.exchange_ = event.exchange_;
    row.offer_ = event.offer_;
    row.classIndex_ = classIndex;
    row.idempotent_ = requestClass.idempotent_;
    row.arrivedAt_ = world.now_;
    row.deadline_ = world.now_ + event.offer_.remaining_;
    row.span_ = drawSpan(world);
    const AdmissionId id = world.admissions_.rows_.create(row);
    world.admissions_.byExchange_[event.exchange_] = id;
    world.timers_.add(row.deadline_, TimerKind::AdmissionDeadline, id.packed());
    return id;
}

// Admits an offer at once: a body that rides runs as soon as it is here.
void admitNow(World &world, AdmissionId id)
{
    takeSlot(world, id);
    Admission &row = *world.admissions_.rows_.get(id);
    row.needsGo_ = !row.offer_.bodyRides_;
    row.state_ = row.needsGo_ ? AdmissionState::AwaitingGo : AdmissionState::AwaitingBody;
    if (row.needsGo_) {
        world.timers_.add(world.now_ + GoTimeout, TimerKind::GoWait, id.packed());
    }
    replyOffer(world, row, Verdict::Admitted);
}

// Puts an offer into its class's queue.
void enqueue(World &world, AdmissionId id)
{
    Admission &row = *world.admissions_.rows_.get(id);
    row.state_ = AdmissionState::Queued;
    row.needsGo_ = world.settings_.lateBinding_ || !row.offer_.bodyRides_;
    ClassQueue &queue = queueOf(world, row.classIndex_);
    queue.waiting_.push_back(id);
    queue.waitingCount_ += Slots(1);
    world.admissions_.queued_ += Slots(1);
    world.counters_.add(Counter::Queued);
    replyOffer(world, row, Verdict::Queued);
}

void proceed(World &world, AdmissionId id);

// Admits a request that waited; it needs Go, since its outbound side may have gone elsewhere.
void admitWaiting(World &world, AdmissionId id)
{
    Admission &row = *world.admissions_.rows_.get(id);
    releasePlace(world, row);
    row.state_ = AdmissionState::AwaitingGo;
    takeSlot(world, id);
    if (!row.needsGo_) {
        proceed(world, id);
        return;
    }
    world.timers_.add(world.now_ + GoTimeout, TimerKind::GoWait, id.packed());
    replyOffer(world, row, Verdict::Admitted);
}

// The first request of a queue that may take a slot; ids of removed rows are dropped. Invalid when there is none.
AdmissionId takeWaiting(World &world, const RequestClass &requestClass, std::size_t classIndex)
{
    ClassQueue &queue = queueOf(world, classIndex);
    for (std::size_t position = 0; position < queue.waiting_.size();) {
        const AdmissionId id = queue.waiting_[position];
        const Admission *row = world.admissions_.rows_.get(id);
        if (row == nullptr) {
            queue.waiting_.erase(queue.waiting_.begin() + static_cast<std::ptrdiff_t>(position));
            continue;
        }
        if (mayTakeSlot(world, requestClass, classIndex, row->offer_.fingerprint_)) {
            queue.waiting_.erase(queue.waiting_.begin() + static_cast<std::ptrdiff_t>(position));
            return id;
        }
        ++position;
    }
    return AdmissionId{};
}

// Goes on with a request that holds a slot, once Go and the body are here.
void proceed(World &world, AdmissionId id)
{
    Admission &row = *world.admissions_.rows_.get(id);
    if (row.needsGo_) {
        return;
    }
    if (!row.bodyHere_) {
        row.state_ = AdmissionState::AwaitingBody;
        return;
    }
    if (world.now_ >= row.deadline_) {
        failAdmission(world, id, ResultCode::DeadlineNotRun);
        return;
    }
    if (row.offer_.key_.empty()) {
        handOver(world, id);
        return;
    }
    row.state_ = AdmissionState::Claiming;
    queueClaim(world, id);
}

// Refuses everything that waits: the backend server takes no new work.
void refuseWaiting(World &world, ResultCode code)
{
    std::vector<AdmissionId> waiting;
    world.admissions_.rows_.forEach([&](AdmissionId id, const Admission &row) {
        if (row.state_ == AdmissionState::Queued) {
            waiting.push_back(id);
        }
    });
    for (const AdmissionId id : waiting) {
        failAdmission(world, id, code);
    }
}

// Changes the state of the backend server and tells the fleet.
void setBackendState(World &world, BackendState state)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (backend.state_ == state) {
        return;
    }
    constexpr std::array<const char *, 4> Texts{"absent", "starting", "ready", "draining"};
    world.emit(LogChange{"backend server " + backend.service_.value() + " " + Texts[static_cast<std::size_t>(state)]});
    backend.state_ = state;
    if (state == BackendState::Ready) {
        backend.readyAt_ = world.now_;
    }
    backend.drainingSince_ = state == BackendState::Draining ? world.now_ : Millis::never();
    if (state == BackendState::Absent || state == BackendState::Draining) {
        refuseWaiting(world, state == BackendState::Absent ? ResultCode::BackendNotReady : ResultCode::BackendDraining);
    }
    publishSelf(world, Health::Alive);
    announceWidely(world);
}

// Lets a lapsed announcement end.
void checkLease(World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    const bool announced = backend.state_ != BackendState::Absent;
    if (announced && world.now_ - backend.announcedAt_ >= AnnouncementLease) {
        setBackendState(world, BackendState::Absent);
    }
}

// Reports once that a drain takes longer than operators allow; nothing is cut.
void checkDrain(World &world)
{
    LocalBackend &backend = world.admissions_.backend_;
    const ServiceSpec *spec = findService(world, backend.service_);
    if (backend.drainingSince_ == Millis::never() || spec == nullptr || world.now_ < backend.drainingSince_ + spec->drainTimeout_) {
        return;
    }
    backend.drainingSince_ = Millis::never();
    world.emit(LogChange{"drain overdue: " + std::to_string(world.admissions_.inFlight_.value()) + " requests in flight"});
}

// Adds a latency to the moving average.
void noteLatency(LocalBackend &backend, Millis latency)
{
    const bool first = backend.latency_ == Millis();
    const double mean = first ? latency.fraction() : backend.latency_.fraction() * (1 - LatencyWeight) + latency.fraction() * LatencyWeight;
    constexpr double MicrosPerMilli = 1000.0;
    backend.latency_ = Millis::fromMicros(static_cast<std::int64_t>(mean * MicrosPerMilli));
}

} // namespace

void handle(World &world, const BackendAnnounced &event)
{
    LocalBackend &backend = world.admissions_.backend_;
    const bool moved = backend.service_ != event.service_ || backend.address_ != event.address_ || backend.slots_ != event.slots_;
    const bool restarted = backend.incarnation_ != event.incarnation_;
    if (moved || restarted) {
        setBackendState(world, BackendState::Absent);
        backend.service_ = event.service_;
        backend.address_ = event.address_;
        backend.slots_ = event.slots_;
        backend.incarnation_ = event.incarnation_;
        backend.latency_ = Millis();
    }
    backend.announcedAt_ = world.now_;
    setBackendState(world, event.state_);
}

void handle(World &world, const OfferArrived &event)
{
    const RequestClass *requestClass = findClass(world, event.offer_);
    const ResultCode refusal = refusalOf(world, event.offer_, requestClass);
    if (refusal != ResultCode::Ok) {
        refuse(world, event, refusal);
        return;
    }
    const ServiceSpec &spec = *findService(world, event.offer_.service_);
    const auto classIndex = static_cast<std::size_t>(requestClass - spec.classes_.data());
    const bool othersWait = queueOf(world, classIndex).waitingCount_ > Slots();
    if (!othersWait && mayTakeSlot(world, *requestClass, classIndex, event.offer_.fingerprint_)) {
        admitNow(world, addAdmission(world, event, *requestClass, classIndex));
        return;
    }
    if (wouldWaitTooLong(world, *requestClass, classIndex, event.offer_.remaining_)) {
        refuse(world, event, ResultCode::Overloaded);
        return;
    }
    enqueue(world, addAdmission(world, event, *requestClass, classIndex));
}

void handle(World &world, const GoArrived &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    Admission *row = world.admissions_.rows_.get(id);
    if (row != nullptr && row->state_ == AdmissionState::AwaitingGo) {
        row->needsGo_ = false;
        proceed(world, id);
    }
}

void handle(World &world, const BodyArrived &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    row->bodyHere_ = true;
    if (row->state_ == AdmissionState::AwaitingBody) {
        proceed(world, id);
    }
}

void handle(World &world, const WithdrawArrived &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    const Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    const bool handedOver = row->state_ == AdmissionState::Running;
    const Withdrawn reply{row->offer_.attempt_, handedOver};
    if (!handedOver) {
        removeNotRun(world, id, ResultCode::Withdrawn);
    }
    world.emit(ReplyWithdraw{event.exchange_, reply});
}

void handle(World &world, const PeerGone &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    const Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    if (row->state_ != AdmissionState::Running) {
        removeNotRun(world, id, ResultCode::Withdrawn);
        return;
    }
    if (row->idempotent_) {
        world.emit(CancelBackend{event.exchange_});
        removeAdmission(world, id, ResultCode::AnswerLost);
    }
    // A non-idempotent request runs to its end and holds its slot until then.
}

void handle(World &world, const BackendAnswered &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    const Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    noteLatency(world.admissions_.backend_, world.now_ - row->handedOverAt_);
    clearSuspect(world, row->offer_.fingerprint_);
    const InstanceName sender = row->offer_.sender_;
    removeAdmission(world, id, ResultCode::Ok);
    world.emit(EndExchange{event.exchange_, reportFor(world, sender)});
}

void handle(World &world, const BackendFailed &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    const Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    if (event.fault_ == BackendFault::BodyBroken) {
        failAdmission(world, id, ResultCode::AnswerLost);
        return;
    }
    if (event.fault_ == BackendFault::Unreachable) {
        failAdmission(world, id, ResultCode::BackendUnreachable);
        // Ready again with its next announcement.
        setBackendState(world, BackendState::Absent);
        return;
    }
    const std::uint64_t attempt = row->offer_.attempt_;
    const Fingerprint fingerprint = row->offer_.fingerprint_;
    removeAdmission(world, id, ResultCode::BackendFailed);
    ++world.counters_.results_[ResultCode::BackendFailed];
    markSuspect(world, fingerprint, event.exchange_, attempt);
}

void expireAdmission(World &world, std::uint64_t row)
{
    const AdmissionId id = AdmissionId::fromPacked(row);
    const Admission *admission = world.admissions_.rows_.get(id);
    if (admission != nullptr && admission->state_ != AdmissionState::Running) {
        failAdmission(world, id, ResultCode::DeadlineNotRun);
    }
}

void expireGoWait(World &world, std::uint64_t row)
{
    const AdmissionId id = AdmissionId::fromPacked(row);
    const Admission *admission = world.admissions_.rows_.get(id);
    if (admission != nullptr && admission->state_ == AdmissionState::AwaitingGo) {
        failAdmission(world, id, ResultCode::Withdrawn);
    }
}

void runAdmit(World &world)
{
    checkLease(world);
    checkDrain(world);
    AdmissionTable &table = world.admissions_;
    const ServiceSpec *spec = findService(world, table.backend_.service_);
    if (spec == nullptr || table.queued_ == Slots()) {
        return;
    }
    const std::size_t classes = spec->classes_.size();
    std::size_t passedOver = 0;
    while (passedOver < classes && table.queued_ > Slots()) {
        const std::size_t classIndex = table.nextClass_ % classes;
        ++table.nextClass_;
        const AdmissionId id = takeWaiting(world, spec->classes_[classIndex], classIndex);
        if (!id.isValid()) {
            ++passedOver;
            continue;
        }
        passedOver = 0;
        admitWaiting(world, id);
    }
}

Millis nextAdmit(const World &world)
{
    const AdmissionTable &table = world.admissions_;
    if (table.backend_.state_ == BackendState::Absent) {
        return Millis::never();
    }
    const Millis lapse = table.backend_.announcedAt_ + AnnouncementLease;
    const bool cold = limitNow(world) < table.backend_.slots_;
    const bool warmsForQueue = cold && table.queued_ > Slots();
    return warmsForQueue ? std::min(lapse, world.now_ + WarmInterval) : lapse;
}

LoadReport currentLoad(const World &world)
{
    const AdmissionTable &table = world.admissions_;
    return LoadReport{table.inFlight_, table.queued_, limitNow(world), table.backend_.latency_};
}

LoadReport reportFor(World &world, const InstanceName &receiver)
{
    const auto found = world.fleet_.byName_.find(receiver);
    const RegionId region = found == world.fleet_.byName_.end() ? ownRegion(world) : world.fleet_.rows_.get(found->second)->region_;
    if (!takeMeasuring(world, region, ReportBytes, false)) {
        world.counters_.add(Counter::ReportsDenied);
        return LoadReport{};
    }
    Traffic &traffic = world.counters_.traffic_[TrafficKey{Purpose::Measuring, region}];
    ++traffic.messages_;
    traffic.bytes_ += ReportBytes;
    return currentLoad(world);
}

void handOver(World &world, AdmissionId id)
{
    Admission &row = *world.admissions_.rows_.get(id);
    if (isQuarantined(world, row.offer_.fingerprint_)) {
        failAdmission(world, id, ResultCode::Quarantined);
        return;
    }
    row.state_ = AdmissionState::Running;
    row.handedOverAt_ = world.now_;
    world.counters_.add(Counter::HandedOver);
    world.emit(HandOver{row.exchange_, world.admissions_.backend_.address_, row.deadline_ - world.now_});
}

void failAdmission(World &world, AdmissionId id, ResultCode code)
{
    const Admission row = *world.admissions_.rows_.get(id);
    ++world.counters_.results_[code];
    if (provesNotRun(code)) {
        removeNotRun(world, id, code);
    } else {
        removeAdmission(world, id, code);
    }
    world.emit(FailExchange{row.exchange_, Failed{row.offer_.attempt_, numberOf(code)}});
}

} // namespace radishford
