// Rows of the call, attempt and admission tables.
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
    ClassName class_;
    // True when a second run does no harm.
    bool idempotent_ = false;
    // True when the body can be sent again.
    bool replayable_ = false;
    // True when the body is small enough to ride with the offer.
    bool mayRide_ = false;
    // True when the body must be whole before hand-over.
    bool wholeBodyFirst_ = false;
    Fingerprint fingerprint_;
    std::string key_;
    Millis startedAt_;
    Millis deadline_;
    // Attempts started.
    std::int32_t attemptsStarted_ = 0;
    // Live attempts.
    std::vector<AttemptId> attempts_;
    // True when the call came by a route of the desired state.
    bool routed_ = false;
    // Urgency; zero is the most urgent.
    std::uint8_t priority_ = 0;
    // Until when an answer has its full value.
    Millis valuableUntil_;
    // Most backend servers to which the call may be sent, and to how many it was.
    std::int32_t maxBackends_ = 0;
    std::int32_t backendsReached_ = 0;
    // Bytes of the body, when its length is known.
    Bytes bodySize_;
    // Instances that failed the call; not asked again.
    std::vector<InstanceName> tried_;
    // Instances that had no room; asked again after a short wait.
    std::vector<InstanceName> full_;
    // Times that it found no room.
    std::int32_t capacityRetries_ = 0;
    // True while a timer will route the call again.
    bool isRetryScheduled_ = false;
    // Latest reason against an attempt.
    ResultCode lastCode_ = ResultCode::NoBackend;
    // True when some attempt may have run.
    bool mayHaveRun_ = false;
    // Backend servers that failed while they ran this call.
    std::int32_t backendFailures_ = 0;
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
    // True when the body followed the offer.
    bool isBodyInline_ = false;
    Millis startedAt_;
    // When its admission was told, or an answer came first.
    Millis admittedAt_;
    // True when it was started while another attempt of an idempotent call ran.
    bool isHedge_ = false;
    // Purpose to which it is charged: a first or a further attempt.
    bool isRetry_ = false;
    SpanId span_;
};

// A request at the inbound side.
struct Admission {
    ExchangeHandle exchange_;
    AdmissionState state_ = AdmissionState::Queued;
    Offer offer_;
    // Index of the class in the service's ticket.
    std::size_t classIndex_ = 0;
    // True when the backend server may run this twice.
    bool idempotent_ = false;
    Millis arrivedAt_;
    Millis deadline_;
    Millis handedOverAt_;
    // How long work took, in parts of the usual, when it was handed over; zero when unknown.
    Percent startSlowness_;
    // True when nearly all slots were taken at that moment.
    bool startedNearCapacity_ = false;
    // True when the body is complete at this side.
    bool isBodyReady_ = false;
    // True when Go is needed before hand-over.
    bool needsConfirm_ = false;
    // True once the key's row names this attempt, or may do so.
    bool maybeClaimed_ = false;
    // True once the outbound side has been told a verdict.
    bool told_ = false;
    // True when it took its slot as a suspected request.
    bool isSuspect_ = false;
    SpanId span_;
};

} // namespace radishford
