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
    // Instances that refused or failed; not asked again.
    std::vector<InstanceName> tried_;
    // Latest reason against an attempt.
    ResultCode lastCode_ = ResultCode::NoBackend;
    // True when some attempt may have run.
    bool maybeRan_ = false;
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
    bool bodyRode_ = false;
    Millis startedAt_;
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
    // True when the body is complete at this side.
    bool bodyHere_ = false;
    // True when Go is needed before hand-over.
    bool needsGo_ = false;
    // True once the key's row names this attempt, or may do so.
    bool maybeClaimed_ = false;
    // True when it took its slot as a suspected request.
    bool suspected_ = false;
    SpanId span_;
};

} // namespace radishford
