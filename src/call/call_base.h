// Rows of the call, attempt and admission tables.
//
// Outbound side: the daemon that accepted a call from a caller and chooses the backend server for it.
// Inbound side: the daemon beside a backend server; it admits requests to that server.
// Offer: the first message of an exchange, with which an outbound side asks an inbound side to run a request.
// Hand-over: the inbound side forwards the request to its backend server. From then on the request may have run.
#pragma once

#include "call/call_type.h"
#include "call/exchange_type.h"
#include "core/clock_type.h"
#include "core/result_code.h"
#include "fleet/instance_type.h"

#include <string>
#include <vector>

namespace radishford {

// A caller's request at the outbound side.
struct Call {
    CallHandle handle_;
    CallState state_ = CallState::Routing;
    ServiceName service_;
    // Request class, or the name of the route for a routed call.
    ClassName class_;
    // True when a second run is safe.
    bool isIdempotent_ = false;
    // True when the body is held in memory and can be sent again.
    bool isReplayable_ = false;
    // True when the body is small enough to be sent inline with the offer.
    bool canInlineBody_ = false;
    // True when the inbound side must have the whole body before hand-over.
    bool requiresWholeBody_ = false;
    Fingerprint fingerprint_;
    std::string key_;
    Millis startedAt_;
    Millis deadline_;
    // Attempts started so far, including those that have ended.
    std::int32_t attemptsStarted_ = 0;
    // Live attempts.
    std::vector<AttemptId> attempts_;
    // True when the call matched a route of the desired state rather than a ticket's request class.
    bool routed_ = false;
    // Priority; zero is the highest.
    std::uint8_t priority_ = 0;
    // Latest time at which a response meets the latency target.
    Millis latencyTargetDeadline_;
    // Maximum number of backend servers that may receive the call.
    std::int32_t maxBackends_ = 0;
    // Number of backend servers that may have received it in attempts that have ended.
    std::int32_t backendsReached_ = 0;
    // Bytes of the body, when its length is known.
    Bytes bodySize_;
    // Instances that failed or refused the call; not tried again. Those that only had no capacity for a routed call are in fullInstances_.
    std::vector<InstanceName> failedInstances_;
    // Instances that had no capacity for a routed call; tried again after a short wait.
    std::vector<InstanceName> fullInstances_;
    // Number of times that no instance had capacity for a routed call; the wait grows with it.
    std::int32_t capacityRetries_ = 0;
    // True once the request limit of a backend server left no time for it.
    bool isLimited_ = false;
    // True while a timer is set that will route the call again.
    bool isRetryScheduled_ = false;
    // Result code of the latest failed attempt.
    ResultCode lastFailureCode_ = ResultCode::NoBackend;
    // True once a response has arrived whole; it is being written to the caller.
    bool hasWholeResponse_ = false;
    // Time at which the relay of a response that has not arrived whole is given up; never() before the time limit.
    Millis relayEndsAt_ = Millis::never();
    // True when some attempt that has ended may have run the request.
    bool mayHaveRun_ = false;
    // Number of backend servers that failed while they ran this call.
    std::int32_t backendFailures_ = 0;
    // True when the local backend server made the call while it ran another request.
    bool isFromBackend_ = false;
    TraceId trace_;
    SpanId span_;
    SpanId parentSpan_;
};

// One offer of a call to one inbound side.
struct Attempt {
    CallId call_;
    AttemptState state_ = AttemptState::Offered;
    InstanceId instance_;
    InstanceName instanceName_;
    // True when the body was sent inline with the offer.
    bool sentBodyInline_ = false;
    Millis startedAt_;
    // When its admission was reported, or the response started if that came first.
    Millis admittedAt_;
    // True when it is queued although slots are free: the server is in a slow period.
    bool awaitsSpeed_ = false;
    // True when it is queued because the request limit of the server is used up.
    bool awaitsLimit_ = false;
    // True when it was started while another attempt of an idempotent call ran.
    bool isHedge_ = false;
    // True for every attempt but the first of a call, including hedges: its traffic counts as retry.
    bool isFurtherAttempt_ = false;
    SpanId span_;
};

// A request at the inbound side, from its offer to its end. A row exists before the request is admitted.
struct Admission {
    ExchangeHandle exchange_;
    AdmissionState state_ = AdmissionState::Queued;
    Offer offer_;
    // Index of the class in the service's ticket; 0 for routed requests.
    std::size_t classIndex_ = 0;
    // True when the backend server may run this twice.
    bool isIdempotent_ = false;
    Millis arrivedAt_;
    Millis deadline_;
    Millis handedOverAt_;
    // The start of the backend server that was ready when the offer arrived. No other one may run the request.
    BackendStart backend_;
    // Service time that the backend server reported before hand-over, as a percentage of its usual one; zero when unknown.
    Percent slownessAtHandOver_;
    // Expected size of the response; zero while no slot is held.
    Bytes promisedResponseBytes_;
    // True when nearly all slots were taken at hand-over.
    bool wasNearFullAtHandOver_ = false;
    // True when the complete body has arrived, or for a streamed one its head.
    bool isBodyReady_ = false;
    // True while a confirmation is needed before hand-over.
    bool needsConfirmation_ = false;
    // True when the store's row of the idempotency key names this attempt, or may do so.
    bool mayHoldClaim_ = false;
    // True once the outbound side has received a verdict.
    bool isVerdictSent_ = false;
    // True when the request was a suspect when it took its slot.
    bool wasSuspectAtStart_ = false;
    // True from admission to hand-over: the request will use up a token of the backend server's request limit, if there is one.
    bool reservesToken_ = false;
    SpanId span_;
};

} // namespace radishford
