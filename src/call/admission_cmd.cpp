// Admission of requests to the local backend server. Every request to it passes through here.
#include "call/admission_func.h"
#include "call/backend_func.h"
#include "call/backend_notice_func.h"
#include "call/backend_speed_func.h"
#include "call/backend_succession_func.h"
#include "call/connection_reuse_func.h"
#include "call/interrupted_request_func.h"
#include "call/link_load_func.h"
#include "call/load_shedding_func.h"
#include "call/request_limit_func.h"
#include "call/suspect_func.h"
#include "call/suspect_trial_func.h"
#include "call/transit_func.h"
#include "store/claim_func.h"
#include "ticket/ticket_func.h"
#include "world/decision_log.h"
#include "world/world.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace radishford {

namespace {

// An admitted request releases its slot when its confirmation and its head do not arrive within this time.
constexpr Millis ConfirmationTimeout{400};
// A routed offer that took longer than this to arrive needs a confirmation, since its caller may have left meanwhile.
constexpr Millis MaxUnconfirmedTransit{300};
// Lowest HTTP status that counts as a failure of the backend server.
constexpr std::uint16_t FirstServerError = 500;
// An abandoned request counts as hung when it ran longer than this multiple of its expected service time.
constexpr std::int64_t HungFactor = 3;
// Reported slowness of a backend server that works at its usual speed, in percent.
constexpr std::int32_t UsualSlownessPercent = 100;
constexpr double PermilleScale = 1000.0;

// Returns the row of an exchange, or an invalid id when the exchange has ended. Messages for ended exchanges are counted.
AdmissionId findAdmission(World &world, ExchangeHandle exchange)
{
    const auto found = world.admissions_.byExchange_.find(exchange);
    if (found == world.admissions_.byExchange_.end()) {
        world.counters_.add(Counter::LateMessages);
        return AdmissionId{};
    }
    return found->second;
}

// Returns the number of slots that requests of the class may hold.
Slots classSlotLimit(const World &world, const RequestClass &requestClass)
{
    const double share = requestClass.slotShare_.value() / PermilleScale;
    return Slots(std::max(1, static_cast<std::int32_t>(world.admissions_.backend_.slots_.value() * share)));
}

// Returns the queue of a class and creates it on first use.
ClassQueue &classQueue(World &world, std::size_t classIndex)
{
    auto &classes = world.admissions_.classes_;
    if (classes.size() <= classIndex) {
        classes.resize(classIndex + 1);
    }
    return classes[classIndex];
}

// Returns the class shared by all routed requests. Their policy arrives with the offer, so the class sets no limits of its own.
const RequestClass &routedClass()
{
    static const RequestClass Routed = [] {
        RequestClass row;
        row.queueLimit_ = Slots(std::numeric_limits<std::int32_t>::max());
        return row;
    }();
    return Routed;
}

// Finds the class of an offer in the active ticket; nullptr when the ticket does not declare it.
const RequestClass *findClass(const World &world, const Offer &offer)
{
    if (offer.routed_) {
        return &routedClass();
    }
    const ServiceSpec *spec = findService(world, offer.service_);
    if (spec == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(spec->classes_.begin(), spec->classes_.end(), [&](const RequestClass &row) { return row.name_ == offer.class_; });
    return found == spec->classes_.end() ? nullptr : &*found;
}

// Returns why the state of this daemon or its backend server forbids new work, or Ok.
ResultCode stateRefusalReason(const World &world, const Offer &offer)
{
    const LocalBackend &backend = world.admissions_.backend_;
    if (!offer.routed_ && !world.tickets_.isCurrent_) {
        return ResultCode::NotReady;
    }
    if (backend.state_ == BackendState::Draining || isShuttingDown(world) || isDrainedByTicket(world, world.settings_.name_)) {
        return ResultCode::BackendDraining;
    }
    const bool isReady = backend.state_ == BackendState::Ready && backend.service_ == offer.service_;
    if (offer.routed_ && isReady && !backend.isNoticeKnown_ && world.settings_.backendChecksPerSecond_ > 0 && !world.tickets_.isCurrent_) {
        // The health path that tells whether the server leaves or limits its requests is not known yet.
        return ResultCode::NotReady;
    }
    return isReady ? ResultCode::Ok : ResultCode::BackendNotReady;
}

// Returns why an offer is refused, or Ok.
ResultCode refusalReason(const World &world, const Offer &offer, const RequestClass *requestClass)
{
    const ResultCode state = stateRefusalReason(world, offer);
    if (state != ResultCode::Ok) {
        return state;
    }
    if (requestClass == nullptr) {
        return ResultCode::UnknownService;
    }
    if (requestClass->isKeyRequired_ && offer.key_.empty()) {
        return ResultCode::KeyRequired;
    }
    if (isQuarantined(world, offer.fingerprint_)) {
        return ResultCode::Quarantined;
    }
    if (offer.remaining_ <= Millis()) {
        return ResultCode::DeadlineNotRun;
    }
    if (!mayRunHere(world, offer.fingerprint_, offer.service_)) {
        return ResultCode::TooManyCalls;
    }
    return world.admissions_.rows_.size() >= world.settings_.maxCalls_ ? ResultCode::TooManyCalls : ResultCode::Ok;
}

// True when a request may take a slot now: a slot is free, its class is below its share, and no other suspect runs if it is a suspect. In a
// routed deployment class shares do not apply, and the slot limit may be lower because of slowdown on nearly full servers.
bool canTakeSlot(World &world, const RequestClass &requestClass, std::size_t classIndex, Fingerprint fingerprint)
{
    const AdmissionTable &table = world.admissions_;
    const bool isSlotFree = table.inFlight_ < (world.settings_.isRouted_ ? usableSlots(world) : currentSlotLimit(world));
    const bool isClassShareFree = classQueue(world, classIndex).inFlight_ < classSlotLimit(world, requestClass);
    const bool isSuspectAllowed = table.suspectsHoldingSlots_ == 0 || !isSuspect(world, fingerprint);
    if (world.settings_.isRouted_) {
        return isSlotFree && isSuspectAllowed && allowsAdmission(world) && !awaitsNotice(world);
    }
    return isSlotFree && isClassShareFree && isSuspectAllowed;
}

// True when the queue of the class is full, or a request that is queued now would probably miss its deadline.
bool isQueueFullOrTooSlow(World &world, const RequestClass &requestClass, std::size_t classIndex, Millis remaining)
{
    const ClassQueue &queue = classQueue(world, classIndex);
    if (queue.waitingCount_ >= requestClass.queueLimit_) {
        return true;
    }
    const double serviceTimesToWait = static_cast<double>(queue.waitingCount_.value() + 1) / classSlotLimit(world, requestClass).value();
    return serviceTimesToWait * world.admissions_.backend_.latency_.fractionalMillis() > remaining.fractionalMillis();
}

// Counts a request as holding a slot.
void takeSlot(World &world, AdmissionId id)
{
    AdmissionTable &table = world.admissions_;
    Admission &row = *table.rows_.get(id);
    table.inFlight_ += Slots(1);
    classQueue(world, row.classIndex_).inFlight_ += Slots(1);
    row.promisedResponseBytes_ = expectedResponseSize(world, row);
    table.promisedResponseBytes_ += row.promisedResponseBytes_;
    row.wasSuspectAtStart_ = isSuspect(world, row.offer_.fingerprint_);
    reserveToken(world, row);
    table.suspectsHoldingSlots_ += row.wasSuspectAtStart_ ? 1 : 0;
    world.counters_.add(Counter::Admitted);
}

// Releases the slot of a request, or its entry in the queue counters if it is still queued.
void releaseSlotOrQueueEntry(World &world, Admission &row)
{
    AdmissionTable &table = world.admissions_;
    ClassQueue &queue = classQueue(world, row.classIndex_);
    if (row.state_ == AdmissionState::Queued) {
        queue.waitingCount_ -= Slots(1);
        table.queued_ -= Slots(1);
        return;
    }
    releaseToken(world, row);
    table.inFlight_ -= Slots(1);
    table.promisedResponseBytes_ -= row.promisedResponseBytes_;
    queue.inFlight_ -= Slots(1);
    table.suspectsHoldingSlots_ -= row.wasSuspectAtStart_ ? 1 : 0;
}

// Removes a request and ends its span.
void removeAdmission(World &world, AdmissionId id, ResultCode code)
{
    Admission row = *world.admissions_.rows_.get(id);
    releaseSlotOrQueueEntry(world, row);
    world.admissions_.byExchange_.erase(row.exchange_);
    world.admissions_.rows_.remove(id);
    const std::string detail = world.settings_.name_.value() + " " + row.offer_.service_.value() + "/" + row.offer_.class_.value();
    world.emit(RecordSpan{row.offer_.trace_, row.span_, row.offer_.parentSpan_, "admission", detail, row.arrivedAt_, world.now_, code});
}

// Removes a request that the backend server did not run, and releases its idempotency key so that a retry can use it.
void removeAdmissionNotRun(World &world, AdmissionId id, ResultCode code)
{
    const Admission &row = *world.admissions_.rows_.get(id);
    if (row.mayHoldClaim_) {
        queueClaimRelease(world, id, row.offer_);
    }
    removeAdmission(world, id, code);
}

// Returns the load report sent with the reply to an offer. It is empty unless the offer is routed.
LoadReport loadReportForReply(const World &world, const Offer &offer)
{
    return offer.routed_ ? currentLoadReport(world) : LoadReport{};
}

// Replies to an offer with a verdict other than a refusal.
void replyToOffer(World &world, Admission &row, Verdict verdict)
{
    row.isVerdictSent_ = true;
    world.emit(ReplyToOffer{row.exchange_, OfferReply{row.offer_.attempt_, verdict, 0, loadReportForReply(world, row.offer_)}});
}

// Refuses an offer: logs and counts the reason, replies to the outbound side and records a span.
void refuse(World &world, const OfferArrived &event, ResultCode code)
{
    logAdmissionEnded(world, event.offer_, code);
    world.counters_.add(Counter::Refused);
    ++world.counters_.results_[code];
    if (code == ResultCode::Quarantined) {
        world.counters_.add(Counter::Quarantines);
    }
    world.emit(ReplyToOffer{event.exchange_, OfferReply{event.offer_.attempt_, Verdict::Refused, numberOf(code), loadReportForReply(world, event.offer_)}});
    const std::string detail = world.settings_.name_.value() + " " + event.offer_.service_.value() + "/" + event.offer_.class_.value();
    world.emit(RecordSpan{event.offer_.trace_, generateSpanId(world), event.offer_.parentSpan_, "admission", detail, world.now_, world.now_, code});
}

// Adds a row for an accepted offer and starts its deadline timer.
AdmissionId addAdmission(World &world, const OfferArrived &event, const RequestClass &requestClass, std::size_t classIndex)
{
    Admission row;
    row.exchange_ = event.exchange_;
    row.offer_ = event.offer_;
    row.backend_ = currentStart(world);
    row.classIndex_ = classIndex;
    row.isIdempotent_ = event.offer_.routed_ ? event.offer_.isIdempotent_ : requestClass.isIdempotent_;
    row.arrivedAt_ = world.now_;
    row.deadline_ = world.now_ + event.offer_.remaining_;
    row.span_ = generateSpanId(world);
    const AdmissionId id = world.admissions_.rows_.create(row);
    world.admissions_.byExchange_[event.exchange_] = id;
    world.timers_.add(row.deadline_, TimerKind::AdmissionDeadline, id.packed());
    return id;
}

// Admits an offer at once. A request with an inline body runs as soon as the body has arrived; any other waits for confirmation.
void admitNow(World &world, AdmissionId id)
{
    takeSlot(world, id);
    Admission &row = *world.admissions_.rows_.get(id);
    row.needsConfirmation_ = !row.offer_.isBodyInline_;
    row.state_ = row.needsConfirmation_ ? AdmissionState::AwaitingConfirmation : AdmissionState::AwaitingBody;
    world.timers_.add(world.now_ + ConfirmationTimeout, TimerKind::ConfirmationDue, id.packed());
    replyToOffer(world, row, Verdict::Admitted);
}

// Puts an offer into the queue of its class.
void enqueue(World &world, AdmissionId id)
{
    Admission &row = *world.admissions_.rows_.get(id);
    row.state_ = AdmissionState::Queued;
    row.needsConfirmation_ = world.settings_.isLateBindingEnabled_ || !row.offer_.isBodyInline_;
    ClassQueue &queue = classQueue(world, row.classIndex_);
    queue.waiting_.push_back(id);
    queue.waitingCount_ += Slots(1);
    world.admissions_.queued_ += Slots(1);
    world.counters_.add(Counter::Queued);
    replyToOffer(world, row, Verdict::Queued);
}

// Returns the sort key of a routed request; the request with the smallest key runs first. Requests that can still meet their latency target
// come before others, then the priority decides, then the target or deadline. While the backend server limits its requests the priority decides first, and
// then calls of running requests come before others.
auto schedulingKey(const World &world, const Admission &row)
{
    const Millis targetAt = row.arrivedAt_ + row.offer_.latencyTargetRemaining_;
    const bool missesTarget = targetAt < world.now_ + typicalServiceTime(world, row.offer_);
    const std::int32_t rank = world.admissions_.limit_.rate_ ? limitRank(row.offer_) : 0;
    return std::tuple(rank, missesTarget, row.offer_.priority_, missesTarget ? row.deadline_ : targetAt);
}

// True when the first request should run before the second: by arrival, or by scheduling key when the settings ask for it.
bool runsBefore(const World &world, const Admission &first, const Admission &second)
{
    if (!world.settings_.schedulesByLatencyTarget_) {
        return first.arrivedAt_ < second.arrivedAt_;
    }
    return schedulingKey(world, first) < schedulingKey(world, second);
}

// Returns the queued routed request that should run last; invalid when the queue is empty.
AdmissionId lastRoutedToRun(World &world)
{
    AdmissionId last;
    for (const AdmissionId id : classQueue(world, 0).waiting_) {
        const Admission *row = world.admissions_.rows_.get(id);
        if (row != nullptr && (!last.isValid() || runsBefore(world, *world.admissions_.rows_.get(last), *row))) {
            last = id;
        }
    }
    return last;
}

// Queues a routed offer without a reply: it is admitted in this tick, or as soon as the speed of the backend server is known.
// The queue holds at most as many requests as the backend server has slots; beyond that, the request that would run last fails.
void enqueueRouted(World &world, const OfferArrived &event, const RequestClass &requestClass)
{
    const AdmissionId id = addAdmission(world, event, requestClass, 0);
    Admission &row = *world.admissions_.rows_.get(id);
    row.state_ = AdmissionState::Queued;
    row.needsConfirmation_ = recordTransit(world, row.offer_) > MaxUnconfirmedTransit || !row.offer_.isBodyInline_;
    ClassQueue &queue = classQueue(world, 0);
    queue.waiting_.push_back(id);
    queue.waitingCount_ += Slots(1);
    world.admissions_.queued_ += Slots(1);
    if (queue.waitingCount_ > world.admissions_.backend_.slots_) {
        failAdmission(world, lastRoutedToRun(world), ResultCode::Overloaded);
    }
}

// Continues with a request that holds a slot once its confirmation and body have arrived: hands it over, or claims its key first.
void continueAdmission(World &world, AdmissionId id)
{
    Admission &row = *world.admissions_.rows_.get(id);
    if (row.needsConfirmation_) {
        return;
    }
    if (!row.isBodyReady_) {
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

// Admits a queued request. It may need confirmation, since its outbound side may have chosen another server meanwhile.
void admitQueued(World &world, AdmissionId id)
{
    Admission &row = *world.admissions_.rows_.get(id);
    releaseSlotOrQueueEntry(world, row);
    row.state_ = AdmissionState::AwaitingConfirmation;
    takeSlot(world, id);
    if (row.needsConfirmation_ || !row.isBodyReady_) {
        world.timers_.add(world.now_ + ConfirmationTimeout, TimerKind::ConfirmationDue, id.packed());
    }
    if (!row.needsConfirmation_) {
        continueAdmission(world, id);
        return;
    }
    replyToOffer(world, row, Verdict::Admitted);
}

// Admits a routed request. It needs confirmation unless its body is inline and no verdict has been sent yet.
void admitRouted(World &world, AdmissionId id)
{
    Admission &row = *world.admissions_.rows_.get(id);
    const bool isFirstReply = !row.isVerdictSent_;
    if (isFirstReply && row.needsConfirmation_ && row.offer_.isBodyInline_) {
        // The outbound side takes an inline request for running when it is admitted at once. Only after the verdict "queued" does it confirm it.
        replyToOffer(world, row, Verdict::Queued);
    }
    admitQueued(world, id);
    // The row is gone when the hand-over has failed.
    Admission *admitted = world.admissions_.rows_.get(id);
    if (isFirstReply && admitted != nullptr && !admitted->needsConfirmation_) {
        replyToOffer(world, *admitted, Verdict::Admitted);
    }
}

// Fails queued routed requests that can no longer finish in time: they would only take a slot from others.
void failUnfinishable(World &world)
{
    const std::deque<AdmissionId> waiting = classQueue(world, 0).waiting_;
    for (const AdmissionId id : waiting) {
        const Admission *row = world.admissions_.rows_.get(id);
        if (row != nullptr && cannotFinishInTime(world, *row, Millis())) {
            failAdmission(world, id, ResultCode::DeadlineNotRun);
        }
    }
}

// Fails queued routed requests that the backend server's request limit lets start too late, in the order in which they would run.
void failLimited(World &world)
{
    if (!world.admissions_.limit_.rate_) {
        return;
    }
    std::vector<AdmissionId> waiting;
    for (const AdmissionId id : classQueue(world, 0).waiting_) {
        if (world.admissions_.rows_.get(id) != nullptr) {
            waiting.push_back(id);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](AdmissionId first, AdmissionId second) {
        return runsBefore(world, *world.admissions_.rows_.get(first), *world.admissions_.rows_.get(second));
    });
    std::int64_t ahead = 0;
    for (const AdmissionId id : waiting) {
        const Admission &row = *world.admissions_.rows_.get(id);
        if (cannotFinishInTime(world, row, timeUntilToken(world, ahead, limitRank(row.offer_)))) {
            failAdmission(world, id, ResultCode::BackendLimited);
        } else {
            ++ahead;
        }
    }
}

// Removes the routed request that should run next from the queue and returns it; invalid when none may run now.
AdmissionId dequeueRouted(World &world)
{
    ClassQueue &queue = classQueue(world, 0);
    std::erase_if(queue.waiting_, [&](AdmissionId id) { return world.admissions_.rows_.get(id) == nullptr; });
    auto best = queue.waiting_.end();
    for (auto at = queue.waiting_.begin(); at != queue.waiting_.end(); ++at) {
        const Admission &row = *world.admissions_.rows_.get(*at);
        const bool isAllowed = canTakeSlot(world, routedClass(), 0, row.offer_.fingerprint_) && fitsLink(world, row);
        if (isAllowed && (best == queue.waiting_.end() || runsBefore(world, row, *world.admissions_.rows_.get(*best)))) {
            best = at;
        }
    }
    if (best == queue.waiting_.end()) {
        return AdmissionId{};
    }
    const AdmissionId id = *best;
    queue.waiting_.erase(best);
    return id;
}

// Sends the verdict Queued to outbound sides whose offers stay in the queue.
void replyToQueued(World &world)
{
    for (const AdmissionId id : classQueue(world, 0).waiting_) {
        Admission *row = world.admissions_.rows_.get(id);
        if (row != nullptr && !row->isVerdictSent_) {
            row->needsConfirmation_ = true;
            world.counters_.add(Counter::Queued);
            replyToOffer(world, *row, Verdict::Queued);
        }
    }
}

// Gives free slots to queued routed requests while the backend server works at its normal speed.
void admitFromRoutedQueue(World &world)
{
    failUnfinishable(world);
    failLimited(world);
    if (!allowsAdmission(world)) {
        replyToQueued(world);
        return;
    }
    if (awaitsNotice(world)) {
        if (world.admissions_.backend_.hasBeenChecked_ || isCheckOverdue(world)) {
            replyToQueued(world);
        }
        return;
    }
    const BackendSpeed speed = backendSpeed(world);
    if (speed == BackendSpeed::Unknown) {
        requestCheck(world);
        if (isCheckOverdue(world)) {
            replyToQueued(world);
        }
        return;
    }
    while (speed == BackendSpeed::Normal) {
        const AdmissionId id = dequeueRouted(world);
        if (!id.isValid()) {
            break;
        }
        admitRouted(world, id);
    }
    replyToQueued(world);
    scheduleCheck(world, speed);
}

// Removes and returns the first queued request that may take a slot; invalid when there is none. Ids of removed rows are dropped.
AdmissionId dequeueFirstStartable(World &world, const RequestClass &requestClass, std::size_t classIndex)
{
    ClassQueue &queue = classQueue(world, classIndex);
    for (std::size_t position = 0; position < queue.waiting_.size();) {
        const AdmissionId id = queue.waiting_[position];
        const Admission *row = world.admissions_.rows_.get(id);
        if (row == nullptr) {
            queue.waiting_.erase(queue.waiting_.begin() + static_cast<std::ptrdiff_t>(position));
            continue;
        }
        if (canTakeSlot(world, requestClass, classIndex, row->offer_.fingerprint_)) {
            queue.waiting_.erase(queue.waiting_.begin() + static_cast<std::ptrdiff_t>(position));
            return id;
        }
        ++position;
    }
    return AdmissionId{};
}

// Counts an abandoned request as a failure of its backend server, if that is still bound, when it ran HungFactor times as long as requests of its class usually
// do.
void recordFailureIfHung(World &world, const Admission &row)
{
    const std::int32_t slowness = std::max(UsualSlownessPercent, row.slownessAtHandOver_.value());
    const Millis expected = Millis::fromMicros(typicalServiceTime(world, row.offer_).micros() * slowness / UsualSlownessPercent);
    if (isForCurrentBackend(world, row) && expected > Millis() && world.now_ - row.handedOverAt_ > expected * HungFactor) {
        recordOutcome(world, false);
    }
}

} // namespace

void handle(World &world, const OfferArrived &event)
{
    recordLeaving(world, event.offer_.leavingBackend_);
    const RequestClass *requestClass = findClass(world, event.offer_);
    const ResultCode refusal = refusalReason(world, event.offer_, requestClass);
    if (refusal != ResultCode::Ok) {
        refuse(world, event, refusal);
        return;
    }
    if (event.offer_.routed_) {
        enqueueRouted(world, event, *requestClass);
        return;
    }
    const ServiceSpec &spec = *findService(world, event.offer_.service_);
    const auto classIndex = static_cast<std::size_t>(requestClass - spec.classes_.data());
    const bool hasQueuedRequests = classQueue(world, classIndex).waitingCount_ > Slots();
    if (!hasQueuedRequests && canTakeSlot(world, *requestClass, classIndex, event.offer_.fingerprint_)) {
        admitNow(world, addAdmission(world, event, *requestClass, classIndex));
        return;
    }
    if (isQueueFullOrTooSlow(world, *requestClass, classIndex, event.offer_.remaining_)) {
        refuse(world, event, ResultCode::Overloaded);
        return;
    }
    enqueue(world, addAdmission(world, event, *requestClass, classIndex));
}

void handle(World &world, const ConfirmationArrived &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    Admission *row = world.admissions_.rows_.get(id);
    if (row != nullptr && row->state_ == AdmissionState::AwaitingConfirmation) {
        row->needsConfirmation_ = false;
        continueAdmission(world, id);
    }
}

void handle(World &world, const BodyArrived &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    row->isBodyReady_ = true;
    if (row->state_ == AdmissionState::AwaitingBody) {
        continueAdmission(world, id);
    }
}

void handle(World &world, const WithdrawalArrived &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    const Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    const bool wasHandedOver = row->state_ == AdmissionState::Running;
    const WithdrawalReply reply{row->offer_.attempt_, wasHandedOver};
    if (!wasHandedOver) {
        removeAdmissionNotRun(world, id, ResultCode::Withdrawn);
    }
    world.emit(ReplyToWithdrawal{event.exchange_, reply});
}

void handle(World &world, const PeerDisconnected &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    const Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    if (row->state_ != AdmissionState::Running) {
        world.emit(CancelBackendRequest{event.exchange_});
        removeAdmissionNotRun(world, id, ResultCode::Withdrawn);
        return;
    }
    if (row->isIdempotent_) {
        recordFailureIfHung(world, *row);
        world.emit(CancelBackendRequest{event.exchange_});
        removeAdmission(world, id, ResultCode::AnswerLost);
    }
    // A non-idempotent request runs to its end and holds its slot until then, since it must not run a second time.
}

void handle(World &world, const BackendResponded &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    const Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    if (isForCurrentBackend(world, *row)) {
        recordLatency(world.admissions_.backend_, world.now_ - row->handedOverAt_);
        recordBackendLoad(world, event.load_);
        recordOutcome(world, event.status_ < FirstServerError);
        recordServiceTime(world, *row);
        recordResponseSize(world, *row, event.bodySize_);
        recordShortestTime(world.admissions_.shortestServiceTimes_, row->offer_.class_, world.now_ - row->handedOverAt_);
    }
    clearSuspect(world, row->offer_);
    const InstanceName sender = row->offer_.sender_;
    removeAdmission(world, id, ResultCode::Ok);
    world.emit(EndExchange{event.exchange_, world.settings_.isRouted_ ? currentLoadReport(world) : loadReportFor(world, sender)});
}

void handle(World &world, const BackendFailed &event)
{
    const AdmissionId id = findAdmission(world, event.exchange_);
    const Admission *row = world.admissions_.rows_.get(id);
    if (row == nullptr) {
        return;
    }
    if (event.fault_ == BackendFault::BodyIncomplete) {
        failAdmission(world, id, ResultCode::AnswerLost);
        return;
    }
    if (event.fault_ == BackendFault::NotSent) {
        failAdmission(world, id, world.now_ >= row->deadline_ ? ResultCode::DeadlineNotRun : ResultCode::Withdrawn);
        return;
    }
    const bool isCurrentBackend = isForCurrentBackend(world, *row);
    if (isCurrentBackend) {
        recordOutcome(world, false);
    }
    if (event.fault_ == BackendFault::Unreachable) {
        failAdmission(world, id, ResultCode::BackendUnreachable);
        if (isCurrentBackend) {
            // The next announcement makes it ready again.
            setBackendState(world, BackendState::Absent);
        }
        return;
    }
    if (event.fault_ == BackendFault::InvalidResponse) {
        failAdmission(world, id, ResultCode::AnswerSpoiled);
        return;
    }
    if (event.fault_ == BackendFault::Refused) {
        if (isCurrentBackend) {
            recordBackendLoad(world, event.load_);
        }
        failAdmission(world, id, ResultCode::BackendRefused);
        return;
    }
    if (event.fault_ == BackendFault::WrongInstance) {
        failAdmission(world, id, ResultCode::WrongInstance);
        if (isCurrentBackend) {
            // The address belongs to another server; only a newer announcement binds it again.
            setBackendState(world, BackendState::Absent);
        }
        return;
    }
    if (isCurrentBackend) {
        recordIdleConnectionLoss(world, event.connectionIdleTime_);
    }
    const InterruptedRequest interrupted = interruptRequest(world, *row);
    removeAdmission(world, id, ResultCode::BackendFailed);
    if (world.settings_.isRouted_) {
        deferResultUntilCheck(world, interrupted);
        return;
    }
    ++world.counters_.results_[ResultCode::BackendFailed];
    markSuspect(world, interrupted);
}

void expireAdmission(World &world, std::uint64_t packedId)
{
    const AdmissionId id = AdmissionId::fromPacked(packedId);
    const Admission *admission = world.admissions_.rows_.get(id);
    if (admission == nullptr) {
        return;
    }
    if (admission->state_ != AdmissionState::Running) {
        failAdmission(world, id, ResultCode::DeadlineNotRun);
    } else if (admission->offer_.routed_) {
        recordFailureIfHung(world, *admission);
        // The caller no longer waits, and a hung server must not keep the slot occupied.
        world.emit(CancelBackendRequest{admission->exchange_});
        removeAdmission(world, id, ResultCode::DeadlineUnknown);
    }
}

void expireConfirmation(World &world, std::uint64_t packedId)
{
    const AdmissionId id = AdmissionId::fromPacked(packedId);
    const Admission *admission = world.admissions_.rows_.get(id);
    if (admission == nullptr) {
        return;
    }
    // A body that must be complete before hand-over may take longer.
    const bool awaitsHead = admission->state_ == AdmissionState::AwaitingBody && !admission->offer_.requiresWholeBody_;
    if (awaitsHead || admission->state_ == AdmissionState::AwaitingConfirmation) {
        failAdmission(world, id, ResultCode::Withdrawn);
    }
}

void runAdmit(World &world)
{
    checkAnnouncementAndDrain(world);
    refreshLimit(world);
    AdmissionTable &table = world.admissions_;
    if (world.settings_.isRouted_) {
        if (table.queued_ > Slots()) {
            admitFromRoutedQueue(world);
        }
        return;
    }
    const ServiceSpec *spec = findService(world, table.backend_.service_);
    if (spec == nullptr || table.queued_ == Slots()) {
        return;
    }
    const std::size_t classes = spec->classes_.size();
    std::size_t classesSkipped = 0;
    while (classesSkipped < classes && table.queued_ > Slots()) {
        const std::size_t classIndex = table.nextClassIndex_ % classes;
        ++table.nextClassIndex_;
        const AdmissionId id = dequeueFirstStartable(world, spec->classes_[classIndex], classIndex);
        if (!id.isValid()) {
            ++classesSkipped;
            continue;
        }
        classesSkipped = 0;
        admitQueued(world, id);
    }
}

void handOver(World &world, AdmissionId id)
{
    Admission &row = *world.admissions_.rows_.get(id);
    const LocalBackend &backend = world.admissions_.backend_;
    if (backend.state_ == BackendState::Absent || !isForCurrentBackend(world, row)) {
        failAdmission(world, id, ResultCode::BackendNotReady);
        return;
    }
    if (isQuarantined(world, row.offer_.fingerprint_)) {
        failAdmission(world, id, ResultCode::Quarantined);
        return;
    }
    if (!mayRunHere(world, row.offer_.fingerprint_, row.offer_.service_)) {
        failAdmission(world, id, ResultCode::TooManyCalls);
        return;
    }
    if (!spendToken(world, row)) {
        failAdmission(world, id, ResultCode::BackendLimited);
        return;
    }
    row.state_ = AdmissionState::Running;
    row.handedOverAt_ = world.now_;
    row.wasNearFullAtHandOver_ = isNearFull(world);
    row.slownessAtHandOver_ = backend.slowness_;
    logHandOver(world, row);
    world.counters_.add(Counter::HandedOver);
    world.emit(HandOver{row.exchange_, backend.address_, row.backend_, row.deadline_ - world.now_, maxReuseIdleTime(world)});
}

void failAdmission(World &world, AdmissionId id, ResultCode code)
{
    const Admission row = *world.admissions_.rows_.get(id);
    logAdmissionEnded(world, row.offer_, code);
    if (code == ResultCode::BackendLimited) {
        logLimitRejection(world);
    }
    ++world.counters_.results_[code];
    if (provesNotRun(code)) {
        removeAdmissionNotRun(world, id, code);
    } else {
        removeAdmission(world, id, code);
    }
    world.emit(FailExchange{row.exchange_, ExchangeFailure{row.offer_.attempt_, numberOf(code)}});
}

} // namespace radishford
