// Attempts: tracks the state of each offer and decides how its call continues.
#include "call/attempt_func.h"
#include "call/call_func.h"
#include "call/load_shedding_func.h"
#include "call/offer_func.h"
#include "call/suspect_func.h"
#include "fleet/instance_func.h"
#include "measure/selection_func.h"
#include "world/decision_log.h"
#include "world/world.h"

#include <algorithm>
#include <array>

namespace radishford {

namespace {

// An offer without a reply for this long is withdrawn.
constexpr Millis OfferTimeout{250};
// When a withdrawal is not acknowledged for this long, the outcome is unknown.
constexpr Millis WithdrawTimeout{500};
// A running call is hedged after this percentage of the lowest mean latency that is known of the service's instances. A latency below
// MinHedgeLatency counts as MinHedgeLatency.
constexpr std::int64_t HedgePercent = 300;
constexpr Millis MinHedgeLatency{4};
constexpr std::int64_t WholePercent = 100;
// A routed offer without a reply for this long counts as lost, since the inbound side replies sooner even if the check of its backend server takes
// long. It is withdrawn, or the call is hedged when the request may already be running.
constexpr Millis RoutedOfferTimeout{100};
// Reported service time from which a server counts as slow, as a percentage of its usual one.
constexpr Percent SlowReport{180};
// Number of backend server failures after which a call is not run again.
constexpr std::int32_t MaxBackendFailures = 2;

// Returns the attempt that an event refers to; nullptr when it has ended, in which case the event is counted as late.
Attempt *findAttempt(World &world, AttemptId id)
{
    Attempt *attempt = world.calls_.attempts_.get(id);
    if (attempt == nullptr) {
        world.counters_.add(Counter::LateMessages);
    }
    return attempt;
}

// True for codes that every other inbound side would return too.
bool isSameEverywhere(ResultCode code)
{
    constexpr std::array Codes{ResultCode::Quarantined, ResultCode::KeyMismatch, ResultCode::KeyTaken,     ResultCode::KeyRequired,
                               ResultCode::StoreDown,   ResultCode::BodyBroken,  ResultCode::BodyTooLarge, ResultCode::DeadlineNotRun};
    return std::find(Codes.begin(), Codes.end(), code) != Codes.end();
}

// True for refusals that mean that the instance has no capacity at the moment.
bool isCapacityRefusal(ResultCode code)
{
    return code == ResultCode::Overloaded || code == ResultCode::TooManyCalls;
}

// True when the request may have reached the backend server: the code says so, or does not prove that the request was not run.
bool mayHaveReachedBackend(ResultCode code)
{
    return code == ResultCode::BackendRefused || code == ResultCode::WrongInstance || !provesNotRun(code);
}

// True when the state of the instance, rather than its load, caused a failure.
bool isCausedByInstance(ResultCode code)
{
    constexpr std::array InstanceCodes{ResultCode::PeerUnreachable, ResultCode::BackendUnreachable, ResultCode::BackendFailed,
                                       ResultCode::AnswerLost,      ResultCode::BackendNotReady,    ResultCode::BackendDraining,
                                       ResultCode::NotReady,        ResultCode::DaemonLeaving,      ResultCode::WrongInstance};
    return std::find(InstanceCodes.begin(), InstanceCodes.end(), code) != InstanceCodes.end();
}

// Excludes the instance of a failed attempt from selection for a while if its state caused the failure.
void recordInstanceFailure(World &world, const Attempt &attempt, ResultCode code)
{
    Instance *instance = world.fleet_.rows_.get(attempt.instance_);
    if (instance != nullptr && isCausedByInstance(code)) {
        excludeTemporarily(world, *instance);
    }
}

// Ends an attempt without a response and records the result in its call. Returns the id of the call.
CallId endFailedAttempt(World &world, AttemptId id, ResultCode code, bool abandonExchange)
{
    const Attempt attempt = *world.calls_.attempts_.get(id);
    recordInstanceFailure(world, attempt, code);
    endAttempt(world, id, code, abandonExchange);
    Call &call = *world.calls_.calls_.get(attempt.call_);
    (call.routed_ && isCapacityRefusal(code) ? call.fullInstances_ : call.failedInstances_).push_back(attempt.instanceName_);
    call.lastFailureCode_ = code;
    call.isLimited_ = call.isLimited_ || code == ResultCode::BackendLimited;
    call.backendsReached_ += mayHaveReachedBackend(code) ? 1 : 0;
    return attempt.call_;
}

// Continues a call after one attempt has ended: waits for another one that may run, or requests a new attempt.
void continueCall(World &world, CallId id)
{
    Call &call = *world.calls_.calls_.get(id);
    if (anyMayRun(world, call)) {
        call.state_ = CallState::Running;
        return;
    }
    call.state_ = call.attempts_.empty() ? CallState::Routing : CallState::Offering;
    queueForRouting(world, id);
}

// Handles the end of an attempt that did not run the request: starts another one, or ends the call.
void handleAttemptNotRun(World &world, AttemptId id, ResultCode code, bool abandonExchange)
{
    const bool wasRunning = world.calls_.attempts_.get(id)->state_ == AttemptState::Running;
    const CallId callId = endFailedAttempt(world, id, code, abandonExchange);
    Call &call = *world.calls_.calls_.get(callId);
    if (call.state_ == CallState::Ending) {
        if (call.attempts_.empty()) {
            failCall(world, callId, call.mayHaveRun_ ? ResultCode::DeadlineUnknown : ResultCode::DeadlineNotRun);
        }
        return;
    }
    // A streamed body cannot be sent again.
    const bool isBodyConsumed = wasRunning && !call.isReplayable_;
    if ((isSameEverywhere(code) || isBodyConsumed) && !anyMayRun(world, call)) {
        failCall(world, callId, code);
        return;
    }
    continueCall(world, callId);
}

// True when a call whose request may have run is allowed to run again.
bool isRerunAllowed(const Call &call)
{
    return call.isIdempotent_ && call.isReplayable_ && call.backendFailures_ < MaxBackendFailures && call.state_ != CallState::Ending;
}

// Handles the end of an attempt that may have run the request: retries if a second run is safe, or ends the call.
void handleOutcomeUnknown(World &world, AttemptId id, ResultCode code, bool abandonExchange)
{
    const CallId callId = endFailedAttempt(world, id, code, abandonExchange);
    Call &call = *world.calls_.calls_.get(callId);
    call.mayHaveRun_ = true;
    call.backendFailures_ += code == ResultCode::BackendFailed ? 1 : 0;
    if (call.state_ == CallState::Ending) {
        if (call.attempts_.empty()) {
            failCall(world, callId, ResultCode::DeadlineUnknown);
        }
        return;
    }
    const bool otherMayRun = call.isIdempotent_ && anyMayRun(world, call);
    if (!otherMayRun && (isSameEverywhere(code) || !isRerunAllowed(call))) {
        failCall(world, callId, code);
        return;
    }
    continueCall(world, callId);
}

// Marks this attempt as running and ends all other attempts of the call.
void keepOnlyAttempt(World &world, AttemptId id)
{
    Attempt &attempt = *world.calls_.attempts_.get(id);
    attempt.state_ = AttemptState::Running;
    attempt.admittedAt_ = attempt.admittedAt_ == Millis() ? world.now_ : attempt.admittedAt_;
    Call &call = *world.calls_.calls_.get(attempt.call_);
    call.state_ = CallState::Running;
    const std::vector<AttemptId> attempts = call.attempts_;
    for (const AttemptId other : attempts) {
        if (other != id) {
            // An attempt that may run is cancelled by closing its connection. One that waits is withdrawn, and its connection stays open for
            // the reply.
            const bool otherMayRun = mayRun(*world.calls_.attempts_.get(other));
            if (!otherMayRun) {
                withdrawAttempt(world, other);
            }
            world.calls_.calls_.get(attempt.call_)->backendsReached_ += otherMayRun ? 1 : 0;
            endAttempt(world, other, ResultCode::Withdrawn, true);
        }
    }
}

// Starts the timer after which a running idempotent call is hedged.
void startHedgeTimer(World &world, AttemptId id)
{
    const Attempt &attempt = *world.calls_.attempts_.get(id);
    const Call &call = *world.calls_.calls_.get(attempt.call_);
    const bool isAllowed = world.settings_.isHedgingEnabled_ && call.isIdempotent_ && call.isReplayable_ && call.canInlineBody_;
    if (!isAllowed) {
        return;
    }
    const Millis expected = std::max(lowestReportedLatency(world, call.service_), MinHedgeLatency);
    world.timers_.add(world.now_ + Millis::fromMicros(expected.micros() * HedgePercent / WholePercent), TimerKind::Hedge, id.packed());
}

// Handles the admission of an offer and confirms it if needed. A hedge runs beside the first attempt; any other attempt ends the others.
void handleAdmitted(World &world, AttemptId id)
{
    const Attempt &attempt = *world.calls_.attempts_.get(id);
    const bool runsAlready = attempt.sentBodyInline_ && attempt.state_ == AttemptState::Offered;
    const bool isPending = attempt.state_ == AttemptState::Offered || attempt.state_ == AttemptState::Queued;
    if (!isPending) {
        return;
    }
    if (!runsAlready) {
        world.emit(SendConfirmation{id});
    }
    if (attempt.isHedge_) {
        world.calls_.attempts_.get(id)->state_ = AttemptState::Running;
        world.calls_.attempts_.get(id)->admittedAt_ = world.now_;
        return;
    }
    keepOnlyAttempt(world, id);
    startHedgeTimer(world, id);
}

// Handles the verdict that an offer is queued, after the attempt was taken for running because the verdict was overdue. A queued request waits for
// confirmation, so this one does not run.
void handleQueuedLate(World &world, AttemptId id)
{
    Attempt &attempt = *world.calls_.attempts_.get(id);
    Call &call = *world.calls_.calls_.get(attempt.call_);
    attempt.state_ = AttemptState::Queued;
    if (anyMayRun(world, call)) {
        // A hedge runs already.
        withdrawAttempt(world, id);
        endAttempt(world, id, ResultCode::Withdrawn, true);
        return;
    }
    for (const AttemptId other : call.attempts_) {
        world.calls_.attempts_.get(other)->isHedge_ = false;
    }
    continueCall(world, attempt.call_);
}

// Handles a queued offer. With late binding it cannot run without confirmation, so another offer may be made. Without late binding the call
// waits for this attempt.
void handleQueued(World &world, AttemptId id)
{
    Attempt &attempt = *world.calls_.attempts_.get(id);
    if (attempt.state_ == AttemptState::Running && world.calls_.calls_.get(attempt.call_)->routed_) {
        handleQueuedLate(world, id);
        return;
    }
    if (attempt.state_ == AttemptState::Offered) {
        if (attempt.isHedge_) {
            // A hedge that has to wait has no benefit.
            attempt.state_ = AttemptState::Queued;
            withdrawAttempt(world, id);
            endAttempt(world, id, ResultCode::Withdrawn, true);
            return;
        }
        if (!world.settings_.isLateBindingEnabled_) {
            keepOnlyAttempt(world, id);
            return;
        }
        attempt.state_ = AttemptState::Queued;
        queueForRouting(world, attempt.call_);
    }
}

// A withdrawal arrived too late: waits for the response after all. If the deadline has passed, the
// withdrawal timer ends the attempt.
void resumeAttempt(World &world, Attempt &attempt)
{
    Call &call = *world.calls_.calls_.get(attempt.call_);
    const bool isAwaited = attempt.state_ == AttemptState::Withdrawing && call.state_ != CallState::Ending;
    if (isAwaited) {
        attempt.state_ = AttemptState::Running;
        call.state_ = CallState::Running;
    }
}

// Records a load report from the attempt's instance.
void recordReport(World &world, const Attempt &attempt, const LoadReport &report)
{
    Instance *instance = world.fleet_.rows_.get(attempt.instance_);
    if (instance != nullptr) {
        recordLoadReport(world, *instance, report);
    }
}

// Remembers that the backend server of an instance leaves.
void recordLeavingBackend(World &world, InstanceId id, BackendStartHash backend)
{
    Instance *instance = world.fleet_.rows_.get(id);
    if (instance != nullptr && backend != BackendStartHash()) {
        instance->leavingBackend_ = backend;
    }
}

// Marks the instance as full when it queued the offer or refused it for lack of capacity.
void markFullIfAtCapacity(World &world, const Attempt &attempt, const OfferReply &reply)
{
    Instance *instance = world.fleet_.rows_.get(attempt.instance_);
    const auto code = static_cast<ResultCode>(reply.code_);
    const bool isAtCapacity = reply.verdict_ == Verdict::Queued || code == ResultCode::Overloaded || code == ResultCode::BackendLimited;
    if (instance != nullptr && isAtCapacity) {
        markFull(world, *instance);
    }
}

// True when a server that queues a request is slow rather than full.
bool isSlowWithFreeSlots(const LoadReport &report)
{
    return report.slowness_ >= SlowReport && report.inFlight_ < report.limit_;
}

} // namespace

std::int32_t backendsPossiblyReached(const World &world, const Call &call)
{
    const auto live = std::count_if(call.attempts_.begin(), call.attempts_.end(), [&](AttemptId id) { return mayRun(*world.calls_.attempts_.get(id)); });
    return call.backendsReached_ + static_cast<std::int32_t>(live);
}

bool anyMayRun(const World &world, const Call &call)
{
    return std::any_of(call.attempts_.begin(), call.attempts_.end(), [&](AttemptId id) { return mayRun(*world.calls_.attempts_.get(id)); });
}

void startHedge(World &world, std::uint64_t packedId)
{
    const AttemptId id = AttemptId::fromPacked(packedId);
    const Attempt *attempt = world.calls_.attempts_.get(id);
    if (attempt == nullptr || attempt->state_ != AttemptState::Running) {
        return;
    }
    const CallId callId = attempt->call_;
    const Call &call = *world.calls_.calls_.get(callId);
    const bool isOnlyAttempt = call.attempts_.size() == 1 && call.state_ == CallState::Running;
    if (!isOnlyAttempt || isSuspect(world, call.fingerprint_) || call.backendFailures_ > 0) {
        return;
    }
    const InstanceId instance = selectInstance(world, call);
    if (instance.isValid() && takeHedgeFromRetryBudget(world, call)) {
        startAttempt(world, callId, instance);
    }
}

bool mayRun(const Attempt &attempt)
{
    switch (attempt.state_) {
    case AttemptState::Offered:
        return attempt.sentBodyInline_;
    case AttemptState::Queued:
        return false;
    default:
        return true;
    }
}

void startAttempt(World &world, CallId callId, InstanceId instanceId)
{
    Instance &instance = *world.fleet_.rows_.get(instanceId);
    Call &call = *world.calls_.calls_.get(callId);
    Attempt attempt;
    attempt.call_ = callId;
    attempt.instance_ = instanceId;
    attempt.instanceName_ = instance.record_.name_;
    attempt.isHedge_ = call.state_ == CallState::Running;
    // A routed request that must not run twice waits for confirmation, so that an offer without a reply proves that it was not run.
    const bool canSendInline = call.canInlineBody_ && (!call.routed_ || call.isIdempotent_);
    // An attempt of a routed request beside a live one also waits for confirmation: its offer may reach a paused daemon that processes it long
    // after the call has ended.
    attempt.sentBodyInline_ = canSendInline && (call.attempts_.empty() || (attempt.isHedge_ && !call.routed_));
    attempt.startedAt_ = world.now_;
    attempt.isFurtherAttempt_ = call.attemptsStarted_ > 0;
    attempt.span_ = generateSpanId(world);
    logRetryOrHedge(world, call, attempt);
    const AttemptId id = world.calls_.attempts_.create(attempt);
    call.attempts_.push_back(id);
    ++call.attemptsStarted_;
    call.state_ = attempt.isHedge_ ? CallState::Running : CallState::Offering;
    ++instance.outstandingAttempts_;
    ++instance.attemptsSinceReport_;
    world.counters_.add(Counter::Attempts);
    if (attempt.isFurtherAttempt_) {
        world.counters_.add(Counter::Retries);
    }
    world.timers_.add(world.now_ + (call.routed_ ? RoutedOfferTimeout : OfferTimeout), TimerKind::OfferReply, id.packed());
    const MessagePurpose purpose = attempt.isFurtherAttempt_ ? MessagePurpose::Retry : MessagePurpose::Call;
    world.emit(StartExchange{id, call.handle_, instance.record_.address_, makeOffer(world, call, callId, id), purpose});
}

void endAttempt(World &world, AttemptId id, ResultCode code, bool abandonExchange)
{
    const Attempt attempt = *world.calls_.attempts_.get(id);
    Instance *instance = world.fleet_.rows_.get(attempt.instance_);
    if (instance != nullptr) {
        --instance->outstandingAttempts_;
    }
    Call &call = *world.calls_.calls_.get(attempt.call_);
    logAttemptEnded(world, call, attempt, code);
    std::erase(call.attempts_, id);
    world.emit(RecordSpan{call.trace_, attempt.span_, call.span_, "attempt", attempt.instanceName_.value(), attempt.startedAt_, world.now_, code});
    if (abandonExchange) {
        world.emit(AbandonExchange{id});
    }
    world.calls_.attempts_.remove(id);
}

bool withdrawAttempt(World &world, AttemptId id)
{
    Attempt &attempt = *world.calls_.attempts_.get(id);
    const bool mustAwaitReply = mayRun(attempt);
    if (attempt.state_ != AttemptState::Withdrawing) {
        world.emit(SendWithdrawal{id});
    }
    if (mustAwaitReply) {
        attempt.state_ = AttemptState::Withdrawing;
        world.timers_.add(world.now_ + WithdrawTimeout, TimerKind::WithdrawReply, id.packed());
    }
    return mustAwaitReply;
}

void handle(World &world, const OfferReplied &event)
{
    const Attempt *attempt = findAttempt(world, event.attempt_);
    if (attempt == nullptr) {
        return;
    }
    recordDataPathReply(world, attempt->instance_);
    recordReport(world, *attempt, event.reply_.report_);
    markFullIfAtCapacity(world, *attempt, event.reply_);
    switch (event.reply_.verdict_) {
    case Verdict::Admitted:
        handleAdmitted(world, event.attempt_);
        break;
    case Verdict::Queued:
        world.calls_.attempts_.get(event.attempt_)->awaitsSpeed_ = isSlowWithFreeSlots(event.reply_.report_);
        world.calls_.attempts_.get(event.attempt_)->awaitsLimit_ = event.reply_.report_.limitWait_ > Millis();
        handleQueued(world, event.attempt_);
        break;
    case Verdict::Refused:
        handleAttemptNotRun(world, event.attempt_, static_cast<ResultCode>(event.reply_.code_), false);
        break;
    }
}

void handle(World &world, const WithdrawalReplied &event)
{
    Attempt *attempt = findAttempt(world, event.attempt_);
    if (attempt == nullptr) {
        return;
    }
    if (event.handedOver_) {
        resumeAttempt(world, *attempt);
        return;
    }
    handleAttemptNotRun(world, event.attempt_, ResultCode::Withdrawn, false);
}

void handle(World &world, const AttemptFailed &event)
{
    const Attempt *attempt = findAttempt(world, event.attempt_);
    if (attempt == nullptr) {
        return;
    }
    if (attempt->state_ == AttemptState::Relaying) {
        abortRelayedCall(world, attempt->call_, ResultCode::AnswerLost, UnansweredReason::ResponseCut);
    } else if (provesNotRun(event.code_)) {
        handleAttemptNotRun(world, event.attempt_, event.code_, false);
    } else {
        handleOutcomeUnknown(world, event.attempt_, event.code_, false);
    }
}

void handle(World &world, const ResponseStarted &event)
{
    Attempt *attempt = findAttempt(world, event.attempt_);
    if (attempt == nullptr) {
        return;
    }
    recordLeavingBackend(world, attempt->instance_, event.leavingBackend_);
    keepOnlyAttempt(world, event.attempt_);
    attempt->state_ = AttemptState::Relaying;
    Call &call = *world.calls_.calls_.get(attempt->call_);
    call.state_ = CallState::Relaying;
    call.hasWholeResponse_ = event.isWhole_;
    world.emit(RelayResponse{call.handle_, event.attempt_});
}

void handle(World &world, const ResponseCompleted &event)
{
    const Attempt *attempt = findAttempt(world, event.attempt_);
    if (attempt == nullptr) {
        return;
    }
    recordDataPathReply(world, attempt->instance_);
    recordReport(world, *attempt, event.report_);
    ++world.counters_.results_[ResultCode::Ok];
    const CallId call = attempt->call_;
    recordShortestTime(world.calls_.shortestResponses_, world.calls_.calls_.get(call)->class_, world.now_ - attempt->admittedAt_);
    logCallCompleted(world, *world.calls_.calls_.get(call), *attempt);
    endAttempt(world, event.attempt_, ResultCode::Ok, false);
    removeCall(world, call, ResultCode::Ok);
}

void handle(World &world, const ExchangeConnectionLost &event)
{
    const Attempt *attempt = findAttempt(world, event.attempt_);
    if (attempt == nullptr) {
        return;
    }
    if (attempt->state_ == AttemptState::Relaying) {
        abortRelayedCall(world, attempt->call_, ResultCode::AnswerLost, UnansweredReason::ResponseCut);
        return;
    }
    if (event.isUnsent_ || !mayRun(*attempt)) {
        handleAttemptNotRun(world, event.attempt_, ResultCode::PeerUnreachable, false);
    } else {
        handleOutcomeUnknown(world, event.attempt_, ResultCode::AnswerLost, false);
    }
}

namespace {

// Tries to hedge a routed call again after its hedge got no reply, if exactly one attempt is left.
void replaceLostHedge(World &world, CallId id)
{
    const Call *call = world.calls_.calls_.get(id);
    if (call != nullptr && call->routed_ && call->attempts_.size() == 1) {
        startHedge(world, call->attempts_.front().packed());
    }
}

} // namespace

void expireOffer(World &world, std::uint64_t packedId)
{
    const AttemptId id = AttemptId::fromPacked(packedId);
    const Attempt *attempt = world.calls_.attempts_.get(id);
    if (attempt == nullptr || attempt->state_ != AttemptState::Offered) {
        return;
    }
    if (world.calls_.calls_.get(attempt->call_)->routed_ && mayRun(*attempt)) {
        // The request may be running behind an unresponsive connection. A hedge is started, and the first response wins.
        keepOnlyAttempt(world, id);
        startHedge(world, packedId);
        return;
    }
    const bool wasHedge = attempt->isHedge_;
    const CallId call = attempt->call_;
    if (!withdrawAttempt(world, id)) {
        handleAttemptNotRun(world, id, ResultCode::PeerUnreachable, true);
        if (wasHedge) {
            replaceLostHedge(world, call);
        }
    }
}

void expireWithdrawal(World &world, std::uint64_t packedId)
{
    const AttemptId id = AttemptId::fromPacked(packedId);
    const Attempt *attempt = world.calls_.attempts_.get(id);
    if (attempt != nullptr && attempt->state_ == AttemptState::Withdrawing) {
        handleOutcomeUnknown(world, id, ResultCode::PeerSilent, true);
    }
}

} // namespace radishford
