// Calls at the outbound side: acceptance, routing and results.
#include "call/attempt_func.h"
#include "call/call_func.h"
#include "call/load_shedding_func.h"
#include "call/suspect_func.h"
#include "fleet/instance_func.h"
#include "measure/probe_func.h"
#include "measure/retry_window_func.h"
#include "measure/selection_func.h"
#include "ticket/route_func.h"
#include "ticket/ticket_func.h"
#include "world/decision_log.h"
#include "world/shutdown_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Maximum number of attempts of one call.
constexpr std::int32_t MaxAttempts = 4;
// Maximum number of open offers of one call. A routed call may have more while they wait at slow servers.
constexpr std::size_t MaxLiveAttempts = 2;
// A call makes a further offer when all others have waited for the end of a server's slow period for one part in this many of its time limit: slow
// periods can outlast the limit. While an offer waits for a free slot, further ones would only lengthen the queues of full servers.
constexpr std::int64_t SlowServerPatienceDivisor = 8;
// Maximum number of open offers of such a call.
constexpr std::size_t MaxOffersAtSlowServers = 4;
// Delay before a call that found no backend server is routed again, while its deadline allows.
constexpr Millis NoBackendRetryDelay{50};
// Delay unit for a routed call that found no capacity. It is short because every response frees a slot.
constexpr Millis CapacityRetryDelay{15};
// The delay grows with each retry up to this multiple.
constexpr std::int32_t MaxCapacityBackoff = 6;
// The end of a response may arrive this long after the time limit of its call was noticed, since the backend server may respond until then.
constexpr Millis RelayGracePeriod{100};
// A call may spend one part in this many of its time limit on the search for a backend server.
constexpr std::int64_t RoutingTimeDivisor = 4;
// Cost of a further offer in retry tokens. It is cheaper than a retry because it runs nothing twice.
constexpr double ReofferCost = 0.25;
// Cost of a further run of an idempotent request, in retry tokens.
constexpr double RerunCost = 1.0;
// Maximum number of retry tokens that a service can accumulate.
constexpr double RetryBurst = 20.0;
constexpr double PermilleScale = 1000.0;

// True when the class matches a request.
bool matches(const RequestClass &candidate, const std::string &method, const std::string &path)
{
    const auto &methods = candidate.methods_;
    const bool methodFits = methods.empty() || std::find(methods.begin(), methods.end(), method) != methods.end();
    return methodFits && path.starts_with(candidate.pathPrefix_);
}

// Finds the class of a call by name; nullptr when a ticket has removed it.
const RequestClass *findClass(const ServiceSpec &spec, const ClassName &name)
{
    const auto found = std::find_if(spec.classes_.begin(), spec.classes_.end(), [&](const RequestClass &row) { return row.name_ == name; });
    return found == spec.classes_.end() ? nullptr : &*found;
}

// Returns the policy of a call from the active ticket.
CallPolicy policyOf(const RequestClass &requestClass)
{
    CallPolicy policy;
    policy.isIdempotent_ = requestClass.isIdempotent_;
    policy.requiresWholeBody_ = !requestClass.isStreamed_;
    policy.maxBackends_ = MaxAttempts;
    policy.timeout_ = requestClass.deadline_;
    return policy;
}

// Returns why a call cannot be accepted, or Ok.
ResultCode refusalReason(const World &world, const Call &call, bool isDeclared)
{
    if (refusesCall(world, call.deadline_)) {
        return ResultCode::DaemonLeaving;
    }
    if (!world.tickets_.isCurrent_) {
        return ResultCode::NotReady;
    }
    if (!isDeclared) {
        return ResultCode::UnknownService;
    }
    if (world.calls_.calls_.size() >= world.settings_.maxCalls_) {
        return ResultCode::TooManyCalls;
    }
    return isQuarantined(world, call.fingerprint_) ? ResultCode::Quarantined : ResultCode::Ok;
}

// Returns the retry budget of a service. It is created full on first use.
TokenBucket &retryBudget(World &world, const ServiceName &service)
{
    auto found = world.calls_.retryBudgets_.find(service);
    if (found == world.calls_.retryBudgets_.end()) {
        TokenBucket bucket(0, RetryBurst, world.now_);
        bucket.addTokens(RetryBurst);
        found = world.calls_.retryBudgets_.emplace(service, bucket).first;
    }
    return found->second;
}

// Builds the row of a call.
Call makeCall(World &world, const CallArrived &event, const CallPolicy &policy)
{
    Call call;
    call.handle_ = event.handle_;
    call.class_ = event.class_;
    call.routed_ = policy.routed_;
    call.isIdempotent_ = policy.isIdempotent_;
    call.priority_ = policy.priority_;
    call.maxBackends_ = policy.maxBackends_;
    call.bodySize_ = event.bodySize_;
    call.isReplayable_ = event.isReplayable_;
    call.canInlineBody_ = event.canInlineBody_;
    call.requiresWholeBody_ = policy.requiresWholeBody_;
    call.fingerprint_ = event.fingerprint_;
    call.key_ = event.idempotencyKey_;
    call.startedAt_ = world.now_ - event.bodyTime_;
    call.latencyTargetDeadline_ = call.startedAt_ + policy.latencyTarget_;
    call.deadline_ = call.startedAt_ + timeoutOf(event, policy);
    call.isFromBackend_ = event.isFromBackend_;
    call.trace_ = event.trace_;
    call.parentSpan_ = event.parentSpan_;
    call.span_ = generateSpanId(world);
    return call;
}

// Reports a failed call to the front end, the log and the counters.
void reportFailure(World &world, const Call &call, ResultCode code)
{
    ++world.counters_.results_[code];
    logCallFailed(world, call, code);
    world.emit(FailCall{call.handle_, code, call.trace_, call.routed_ ? retryAfter(world, call, code) : Millis()});
}

// Takes the cost of a further attempt from the retry budget. Returns false when the budget is spent. First attempts are free.
bool chargeAttempt(World &world, const Call &call)
{
    if (call.routed_) {
        // An offer that no backend server has received is not a retry.
        return call.backendsReached_ == 0 || tryTakeRetry(world, call.service_);
    }
    TokenBucket &budget = retryBudget(world, call.service_);
    if (call.attemptsStarted_ == 0) {
        const ServiceSpec *spec = findService(world, call.service_);
        budget.addTokens(spec == nullptr ? 0 : spec->retryBudget_.value() / PermilleScale);
        return true;
    }
    return budget.tryTake(call.mayHaveRun_ ? RerunCost : ReofferCost, world.now_);
}

// True when the request limits of some backend servers leave no time for a call and the others have refused it too. While servers limit their requests, the
// others stay full, so that a further round would only hold the caller.
bool isLimitedEverywhere(const World &world, const Call &call)
{
    const auto members = world.fleet_.byService_.find(call.service_);
    if (!call.isLimited_ || members == world.fleet_.byService_.end()) {
        return false;
    }
    const auto contains
        = [](const std::vector<InstanceName> &list, const InstanceName &name) { return std::find(list.begin(), list.end(), name) != list.end(); };
    return std::all_of(members->second.begin(), members->second.end(), [&](InstanceId id) {
        const Instance &instance = *world.fleet_.rows_.get(id);
        const InstanceName &name = instance.record_.name_;
        const bool isUsable = isRunning(instance) && instance.record_.backend_ == BackendState::Ready;
        return !isUsable || contains(call.failedInstances_, name) || contains(call.fullInstances_, name);
    });
}

// Time after which a call has too little time left for a further offer. Negative when that is so already.
Millis timeUntilLastOffer(const World &world, const Call &call)
{
    return call.deadline_ - world.now_ - minOfferTime(world, call.class_);
}

// True when a backend server that gets capacity a little later could still respond to a routed call in time.
bool canStillBeAnswered(const World &world, const Call &call)
{
    const bool mayRetry = call.backendsReached_ < call.maxBackends_ && (!call.mayHaveRun_ || call.isIdempotent_);
    return mayRetry && !isLimitedEverywhere(world, call) && timeUntilLastOffer(world, call) >= CapacityRetryDelay;
}

// Handles a routed call for which no further backend server is available now: routes it again after a delay, or fails it.
void waitForCapacity(World &world, CallId id, Call &call)
{
    if (call.isRetryScheduled_) {
        return;
    }
    if (call.attempts_.empty() && !canStillBeAnswered(world, call)) {
        failCall(world, id, call.isLimited_ ? ResultCode::BackendLimited : call.lastFailureCode_);
        return;
    }
    if (timeUntilLastOffer(world, call) < CapacityRetryDelay) {
        return;
    }
    call.isRetryScheduled_ = true;
    ++call.capacityRetries_;
    const double scaledDelay = CapacityRetryDelay.fractionalMillis() * std::min(call.capacityRetries_, MaxCapacityBackoff);
    // Retries are spread by 25% in both directions, so that calls do not return together.
    const Millis jitteredDelay = Millis::fromFractionalMillis(scaledDelay * (0.75 + world.random_.uniformReal() / 2));
    world.timers_.add(world.now_ + std::min(jitteredDelay, timeUntilLastOffer(world, call)), TimerKind::CallRetry, id.packed());
}

// Handles a call for which no backend server is available now: routes it again after a delay, or fails it.
void handleNoCandidate(World &world, CallId id, Call &call)
{
    if (call.routed_) {
        waitForCapacity(world, id, call);
        return;
    }
    if (!call.attempts_.empty()) {
        return;
    }
    const Millis searchUntil = call.startedAt_ + Millis::fromMicros((call.deadline_ - call.startedAt_).micros() / RoutingTimeDivisor);
    const bool nothingTried = call.failedInstances_.empty() && !call.mayHaveRun_;
    if (nothingTried && world.now_ + NoBackendRetryDelay < searchUntil) {
        world.timers_.add(world.now_ + NoBackendRetryDelay, TimerKind::CallRetry, id.packed());
        return;
    }
    failCall(world, id, call.lastFailureCode_);
}

// Time that an offer waits at a slow server before its call makes a further one.
Millis slowServerPatience(const Call &call)
{
    return Millis::fromMicros((call.deadline_ - call.startedAt_).micros() / SlowServerPatienceDivisor);
}

// True when all open offers of a routed call wait at slow servers, at least for the given time.
bool allAwaitSpeed(const World &world, const Call &call, Millis forAtLeast)
{
    return call.routed_ && std::all_of(call.attempts_.begin(), call.attempts_.end(), [&](AttemptId id) {
               const Attempt &attempt = *world.calls_.attempts_.get(id);
               return attempt.state_ == AttemptState::Queued && attempt.awaitsSpeed_ && world.now_ >= attempt.startedAt_ + forAtLeast;
           });
}

// True when a call has as many open offers as it may have now.
bool hasEnoughOffers(const World &world, const Call &call)
{
    const std::size_t limit = allAwaitSpeed(world, call, slowServerPatience(call)) ? MaxOffersAtSlowServers : MaxLiveAttempts;
    const bool isLimited
        = std::any_of(call.attempts_.begin(), call.attempts_.end(), [&](AttemptId id) { return world.calls_.attempts_.get(id)->awaitsLimit_; });
    // An offer that waits for a request limit keeps its place there while the call looks for a server without one.
    return call.attempts_.size() >= limit + (isLimited ? 1 : 0);
}

// Routes a call again once its offers have waited at slow servers for a while.
void scheduleFurtherOffer(World &world, CallId id, Call &call)
{
    const bool isUseful = call.attempts_.size() < MaxOffersAtSlowServers && allAwaitSpeed(world, call, Millis());
    if (isUseful && !call.isRetryScheduled_) {
        call.isRetryScheduled_ = true;
        world.timers_.add(world.now_ + slowServerPatience(call), TimerKind::CallRetry, id.packed());
    }
}

// Starts a further attempt of one call if that is possible.
void routeCall(World &world, CallId id)
{
    Call *call = world.calls_.calls_.get(id);
    const bool needsAttempt = call != nullptr && (call->state_ == CallState::Routing || call->state_ == CallState::Offering);
    if (!needsAttempt) {
        return;
    }
    if (hasEnoughOffers(world, *call)) {
        scheduleFurtherOffer(world, id, *call);
        return;
    }
    const std::int32_t attemptCount = call->routed_ ? backendsPossiblyReached(world, *call) : call->attemptsStarted_;
    const bool isTooLate = call->routed_ && call->attemptsStarted_ > 0 && timeUntilLastOffer(world, *call) < Millis();
    const bool isExhausted = attemptCount >= call->maxBackends_ || isTooLate;
    const InstanceId instance = isExhausted ? InstanceId{} : selectInstance(world, *call);
    if (!instance.isValid()) {
        handleNoCandidate(world, id, *call);
        return;
    }
    if (!chargeAttempt(world, *call)) {
        if (call->attempts_.empty()) {
            failCall(world, id, call->mayHaveRun_ ? call->lastFailureCode_ : ResultCode::RetryBudgetSpent);
        }
        return;
    }
    startAttempt(world, id, instance);
}

} // namespace

Millis timeoutOf(const CallArrived &event, const CallPolicy &policy)
{
    return event.timeout_ > Millis() ? std::min(event.timeout_, policy.timeout_) : policy.timeout_;
}

RequestClassification classifyRequest(const World &world, const ServiceName &service, const std::string &method, const std::string &path, bool hasKey)
{
    if (!world.tickets_.isCurrent_) {
        return RequestClassification{ResultCode::NotReady, nullptr};
    }
    const ServiceSpec *spec = findService(world, service);
    if (spec == nullptr) {
        return RequestClassification{ResultCode::UnknownService, nullptr};
    }
    const auto found = std::find_if(spec->classes_.begin(), spec->classes_.end(), [&](const RequestClass &row) { return matches(row, method, path); });
    if (found == spec->classes_.end()) {
        return RequestClassification{ResultCode::UnknownService, nullptr};
    }
    if (found->isKeyRequired_ && !hasKey) {
        return RequestClassification{ResultCode::KeyRequired, nullptr};
    }
    return RequestClassification{ResultCode::Ok, &*found};
}

void handle(World &world, const CallArrived &event)
{
    world.counters_.add(Counter::Calls);
    const ServiceName service = event.weightedServices_.empty() ? event.service_ : pickServiceByWeight(event.weightedServices_, world.random_);
    const ServiceSpec *spec = findService(world, service);
    const RequestClass *requestClass = spec == nullptr ? nullptr : findClass(*spec, event.class_);
    const CallPolicy policy = requestClass == nullptr || event.policy_.routed_ ? event.policy_ : policyOf(*requestClass);
    Call call = makeCall(world, event, policy);
    call.service_ = service;
    const ResultCode refusal = refusalReason(world, call, policy.routed_ || requestClass != nullptr);
    if (refusal != ResultCode::Ok) {
        reportFailure(world, call, refusal);
        return;
    }
    world.lastCallAt_ = world.now_;
    if (policy.routed_) {
        recordCallForRetryWindow(world, service);
    } else {
        markServiceActive(world, service);
    }
    const Millis deadline = call.deadline_;
    const CallId id = world.calls_.calls_.create(call);
    world.calls_.byHandle_[event.handle_] = id;
    world.timers_.add(deadline, TimerKind::CallDeadline, id.packed());
    queueForRouting(world, id);
}

void handle(World &world, const RequestRefused &event)
{
    ++world.counters_.results_[event.code_];
    logRequestRefused(world, event.trace_, event.code_);
}

void handle(World &world, const CallerDisconnected &event)
{
    const auto found = world.calls_.byHandle_.find(event.handle_);
    const Call *call = found == world.calls_.byHandle_.end() ? nullptr : world.calls_.calls_.get(found->second);
    const bool mayRead = event.reason_ == UnansweredReason::CallerClosed;
    if (mayRead && (call == nullptr || call->hasWholeResponse_)) {
        // A response is being written. The write tells whether the caller still reads.
        return;
    }
    world.counters_.add(event.reason_);
    logUnanswered(world, event, call);
    if (call == nullptr) {
        return;
    }
    if (!mayRead) {
        removeCall(world, found->second, ResultCode::Withdrawn);
    } else if (call->state_ == CallState::Relaying) {
        abortRelayedCall(world, found->second, ResultCode::Withdrawn, event.reason_);
    } else {
        failCall(world, found->second, ResultCode::Withdrawn);
    }
}

void handle(World &world, const CallerBodyFailed &event)
{
    const auto found = world.calls_.byHandle_.find(event.handle_);
    if (found == world.calls_.byHandle_.end()) {
        return;
    }
    const CallId id = found->second;
    const Call &call = *world.calls_.calls_.get(id);
    if (call.hasWholeResponse_) {
        return;
    }
    if (call.state_ == CallState::Relaying) {
        abortRelayedCall(world, id, ResultCode::AnswerLost, UnansweredReason::BodyIncomplete);
    } else {
        failCall(world, id, event.code_);
    }
}

void runRoute(World &world)
{
    while (!world.calls_.pendingRouting_.empty()) {
        const std::vector<CallId> ids = std::exchange(world.calls_.pendingRouting_, {});
        for (const CallId id : ids) {
            routeCall(world, id);
        }
    }
}

namespace {

// Aborts the relay of a routed call whose time limit is over, or waits a little longer for the rest of the response. A response that has arrived whole is
// always written; the front end limits the time of a write.
void limitRelay(World &world, CallId id, Call &call)
{
    if (!call.routed_ || call.hasWholeResponse_) {
        return;
    }
    if (call.relayEndsAt_ == Millis::never()) {
        // Counted from now: a daemon that was held up may not have relayed yet what has arrived.
        call.relayEndsAt_ = world.now_ + RelayGracePeriod;
        world.timers_.add(call.relayEndsAt_, TimerKind::CallDeadline, id.packed());
        return;
    }
    abortRelayedCall(world, id, ResultCode::DeadlineUnknown, UnansweredReason::RelayOverdue);
}

} // namespace

void expireCall(World &world, std::uint64_t packedId)
{
    const CallId id = CallId::fromPacked(packedId);
    Call *call = world.calls_.calls_.get(id);
    if (call == nullptr || call->state_ == CallState::Ending) {
        return;
    }
    if (call->state_ == CallState::Relaying) {
        limitRelay(world, id, *call);
        return;
    }
    if (call->routed_) {
        // The time limit of the caller is over. An immediate response is more useful to it than a definite one later.
        call->mayHaveRun_ = call->mayHaveRun_ || anyMayRun(world, *call);
        failCall(world, id, call->mayHaveRun_ ? ResultCode::DeadlineUnknown : ResultCode::DeadlineNotRun);
        return;
    }
    call->state_ = CallState::Ending;
    const std::vector<AttemptId> attempts = call->attempts_;
    for (const AttemptId attempt : attempts) {
        if (!withdrawAttempt(world, attempt)) {
            endAttempt(world, attempt, ResultCode::DeadlineNotRun, true);
        }
    }
    if (call->attempts_.empty()) {
        failCall(world, id, call->mayHaveRun_ ? ResultCode::DeadlineUnknown : ResultCode::DeadlineNotRun);
    }
}

void expireRetryWait(World &world, std::uint64_t packedId)
{
    const CallId id = CallId::fromPacked(packedId);
    Call *call = world.calls_.calls_.get(id);
    if (call != nullptr) {
        call->isRetryScheduled_ = false;
        call->fullInstances_.clear();
    }
    queueForRouting(world, id);
}

void failCall(World &world, CallId id, ResultCode code)
{
    const Call *call = world.calls_.calls_.get(id);
    // A call that may have run is never reported as not run.
    const bool maybeRan = call->mayHaveRun_ || anyMayRun(world, *call);
    const ResultCode reportedCode = maybeRan && provesNotRun(code) ? ResultCode::AnswerLost : code;
    reportFailure(world, *call, reportedCode);
    removeCall(world, id, reportedCode);
}

void abortRelayedCall(World &world, CallId id, ResultCode code, UnansweredReason reason)
{
    const Call &call = *world.calls_.calls_.get(id);
    ++world.counters_.results_[code];
    logCallAborted(world, call, code, reason);
    world.emit(AbortCall{call.handle_, reason});
    removeCall(world, id, code);
}

void removeCall(World &world, CallId id, ResultCode code)
{
    const Call call = *world.calls_.calls_.get(id);
    for (const AttemptId attempt : call.attempts_) {
        endAttempt(world, attempt, code, true);
    }
    world.emit(
        RecordSpan{call.trace_, call.span_, call.parentSpan_, "call", call.service_.value() + "/" + call.class_.value(), call.startedAt_, world.now_, code});
    world.calls_.byHandle_.erase(call.handle_);
    world.calls_.calls_.remove(id);
}

bool takeHedgeFromRetryBudget(World &world, const Call &call)
{
    if (call.routed_) {
        return backendsPossiblyReached(world, call) < call.maxBackends_ && tryTakeRetry(world, call.service_);
    }
    TokenBucket &budget = retryBudget(world, call.service_);
    return budget.hasTokens(RetryBurst / 2, world.now_) && budget.tryTake(RerunCost, world.now_);
}

void queueForRouting(World &world, CallId id)
{
    world.calls_.pendingRouting_.push_back(id);
}

} // namespace radishford
