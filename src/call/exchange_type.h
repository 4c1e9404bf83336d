// Messages of one exchange: the offer of a request by an outbound side to an inbound side, and the messages that follow.
//
// Outbound side: the daemon that accepted a call from a caller and chooses the backend server for it.
// Inbound side: the daemon beside a backend server; it admits requests to that server.
// Offer: the first message of an exchange, with which an outbound side asks an inbound side to run a request.
// Hand-over: the inbound side forwards the request to its backend server. From then on the request may have run.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"
#include "fleet/instance_type.h"
#include "measure/load_report_type.h"

#include <cstdint>
#include <string>

namespace radishford {

// Opens an exchange. Nothing runs before the inbound side admits the request.
struct Offer {
    // Attempt id of the outbound side; every reply repeats it.
    std::uint64_t attempt_ = 0;
    // Name of the outbound side's instance.
    InstanceName sender_;
    // Identifies the call across its attempts: instance, incarnation and call id of the outbound side. Empty without an idempotency key.
    std::string callToken_;
    // Requested service.
    ServiceName service_;
    // Requested request class, or the name of the route for a routed call.
    ClassName class_;
    // Time left until the caller's deadline.
    Millis remaining_;
    // When the offer was made, by the clock of the outbound side.
    Millis sentAt_;
    // Hash of the caller, the method, the target and the body.
    Fingerprint fingerprint_;
    // True when it covers only the length and the first part of a streamed body.
    bool isFingerprintPartial_ = false;
    // Idempotency key, or empty.
    std::string key_;
    // True when the call matched a route of the desired state: isIdempotent_, priority_ and latencyTargetRemaining_ apply, and the inbound
    // side needs no ticket.
    bool routed_ = false;
    // True when a second run is safe.
    bool isIdempotent_ = false;
    // Priority; zero is the highest.
    std::uint8_t priority_ = 0;
    // Time left until the latency target; negative once it has passed. Zero or negative when no target is set.
    Millis latencyTargetRemaining_;
    // True when a backend server made the call while it ran another request.
    bool isFromBackend_ = false;
    // The backend server of the inbound side that the outbound side knows to leave; zero when it knows of none.
    BackendStartHash leavingBackend_{};
    // True when the body follows the offer at once, so that an immediate admission needs no confirmation.
    bool isBodyInline_ = false;
    // True when the inbound side must have the whole body before it hands the request over.
    bool requiresWholeBody_ = false;
    // Trace of the call.
    TraceId trace_;
    // Span of the attempt.
    SpanId parentSpan_;
};

// Decision of an inbound side about an offer.
enum class Verdict : std::uint8_t {
    Admitted, // A slot is reserved.
    Queued, // Waits for a slot; needs confirmation once admitted, unless the offer is not routed, its body is inline and late binding is disabled.
    Refused, // Not run, and will not be.
};

// Reply to an offer. A queued offer that needs confirmation gets a second one when it is admitted. If it is not run, ExchangeFailure follows.
struct OfferReply {
    std::uint64_t attempt_ = 0;
    Verdict verdict_ = Verdict::Refused;
    // Number of the result code of a refusal; zero otherwise.
    std::uint16_t code_ = 0;
    // Current load of the backend server; all zero when it is not reported.
    LoadReport report_;
};

// Confirms an admission that requires it. The body follows unless it was sent inline.
struct Confirmation {
    std::uint64_t attempt_ = 0;
};

// Requests that an offered request is not run.
struct WithdrawalRequest {
    std::uint64_t attempt_ = 0;
};

// Reply to a withdrawal.
struct WithdrawalReply {
    std::uint64_t attempt_ = 0;
    // True when the withdrawal arrived too late: the request has been handed over.
    bool handedOver_ = false;
};

// Ends an exchange without a response.
struct ExchangeFailure {
    std::uint64_t attempt_ = 0;
    // Number of the result code. It says whether the request was not run or may have run.
    std::uint16_t code_ = 0;
};

// Ends a response.
struct ResponseEnd {
    std::uint64_t attempt_ = 0;
    // Number of body bytes sent, so that a truncated response is never accepted as complete.
    std::uint64_t bodyBytes_ = 0;
    LoadReport report_;
};

} // namespace radishford
