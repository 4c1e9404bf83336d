// Messages of one exchange: the offer of a request by an outbound side to an inbound side, and what follows.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"
#include "measure/load_type.h"

#include <cstdint>
#include <string>

namespace radishford {

// Opens an exchange. Nothing runs before the inbound side admits the request.
struct Offer {
    // The outbound side's attempt id; every answer repeats it.
    std::uint64_t attempt_ = 0;
    // Name of the outbound side's instance.
    InstanceName sender_;
    // Names the call across its attempts: instance, incarnation and call id of the outbound side.
    std::string callToken_;
    // Service asked for.
    ServiceName service_;
    // Request class asked for.
    ClassName class_;
    // Time left until the caller's deadline.
    Millis remaining_;
    // Hash of the request.
    Fingerprint fingerprint_;
    // Idempotency key, or empty.
    std::string key_;
    // True when the call came by a route of the desired state: the terms below hold, and no ticket need be known.
    bool routed_ = false;
    // True when a second run does no harm.
    bool idempotent_ = false;
    // Urgency; zero is the most urgent.
    std::uint8_t priority_ = 0;
    // Time left until the answer loses part of its value; negative once that has passed.
    Millis valuable_;
    // True when the body follows the offer at once and an immediate admission hands it over.
    bool bodyRides_ = false;
    // True when the inbound side must have the whole body before it hands the request over.
    bool wholeBodyFirst_ = false;
    // Trace of the call.
    TraceId trace_;
    // Span of the attempt.
    SpanId parentSpan_;
};

// How an inbound side takes an offer.
enum class Verdict : std::uint8_t {
    Admitted, // A slot is reserved.
    Queued, // Waits for a slot; needs Go once admitted.
    Refused, // Not run, and will not be.
};

// Answers an offer, and again when a queued one is admitted or refused.
struct OfferReply {
    std::uint64_t attempt_ = 0;
    Verdict verdict_ = Verdict::Refused;
    // Why it was refused.
    std::uint16_t code_ = 0;
    // Load of the backend server at this moment.
    LoadReport report_;
};

// Confirms an admission that needs it. The body follows unless it rode with the offer.
struct Go {
    std::uint64_t attempt_ = 0;
};

// Asks that the request is not run.
struct Withdraw {
    std::uint64_t attempt_ = 0;
};

// Answers a withdrawal.
struct Withdrawn {
    std::uint64_t attempt_ = 0;
    // True when the withdrawal came too late.
    bool handedOver_ = false;
};

// Ends an exchange without an answer.
struct Failed {
    std::uint64_t attempt_ = 0;
    // Says whether the request was not run, or may have run.
    std::uint16_t code_ = 0;
};

// Ends an answer.
struct AnswerEnd {
    std::uint64_t attempt_ = 0;
    // Body bytes sent, so that a cut answer is never taken for a whole one.
    std::uint64_t bodyBytes_ = 0;
    LoadReport report_;
};

} // namespace radishford
