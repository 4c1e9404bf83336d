// Ids and states of calls, attempts and admissions.
#pragma once

#include "core/clock_type.h"
#include "core/pool.h"
#include "core/units_type.h"

#include <cstdint>
#include <unordered_map>

namespace radishford {

// Names a row of the call table.
using CallId = PoolId<struct CallTag>;

// Names a row of the attempt table.
using AttemptId = PoolId<struct AttemptTag>;

// Names a row of the admission table.
using AdmissionId = PoolId<struct AdmissionTag>;

// The front end's name of a caller's request.
using CallHandle = StrongType<struct CallHandleTag, std::uint64_t>;

// The front end's name of a connection on which an offer came.
using ExchangeHandle = StrongType<struct ExchangeHandleTag, std::uint64_t>;

// What a call asks of the daemons, from the ticket or desired state in force when it arrived.
struct CallTerms {
    // True when the call came by a route of the desired state rather than by a ticket's request class.
    bool routed_ = false;
    // True when a second run does no harm.
    bool idempotent_ = false;
    // True when the body must be whole before hand-over.
    bool wholeBodyFirst_ = false;
    // Urgency; zero is the most urgent.
    std::uint8_t priority_ = 0;
    // Most backend servers to which one call may be sent.
    std::int32_t maxBackends_ = 0;
    // Longest time that the operator lets the caller wait.
    Millis timeout_;
    // Time within which an answer has its full value; zero when none is stated.
    Millis latencyTarget_;
};

// Where a call stands.
enum class CallState : std::uint8_t {
    Routing, // Has no live attempt.
    Offering, // Waits for an admission.
    Running, // One attempt may have been handed over.
    Relaying, // An answer is being passed on.
    Ending, // Failed; waits for withdrawals to be confirmed.
};

// Where an attempt stands, as far as its outbound side knows.
enum class AttemptState : std::uint8_t {
    Offered, // No reply yet.
    Queued, // Waits at the inbound side; cannot run without Go.
    Running, // Admitted, and the body is on its way.
    Withdrawing, // A withdrawal was sent.
    Relaying, // Its answer is being passed on.
};

// Where a request stands at its inbound side.
enum class AdmissionState : std::uint8_t {
    Queued, // Waits for a slot.
    AwaitingConfirm, // Holds a slot; waits for Go.
    AwaitingBody, // Holds a slot; waits for the whole body.
    Claiming, // Holds a slot; its idempotency key is being claimed.
    Running, // Handed over.
};

// Shortest time of late that work took, by class.
using ShortestTimes = std::unordered_map<ClassName, Millis, StrongHash>;

} // namespace radishford
