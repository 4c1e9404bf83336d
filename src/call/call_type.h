// Ids and states of calls, attempts and admissions.
#pragma once

#include "core/clock_type.h"
#include "core/pool.h"
#include "core/units_type.h"

#include <cstdint>
#include <unordered_map>

namespace radishford {

// Id of a row of the call table.
using CallId = PoolId<struct CallTag>;

// Id of a row of the attempt table.
using AttemptId = PoolId<struct AttemptTag>;

// Id of a row of the admission table.
using AdmissionId = PoolId<struct AdmissionTag>;

// Id that the front end gives to a caller's request.
using CallHandle = StrongType<struct CallHandleTag, std::uint64_t>;

// Id that the front end gives to an exchange, that is, to the connection on which an offer arrived.
using ExchangeHandle = StrongType<struct ExchangeHandleTag, std::uint64_t>;

// Policy of a call, from the ticket or desired state that is active when it arrives.
struct CallPolicy {
    // True when the call matched a route of the desired state rather than a ticket's request class.
    bool routed_ = false;
    // True when a second run is safe.
    bool isIdempotent_ = false;
    // True when the inbound side must have the whole body before hand-over.
    bool requiresWholeBody_ = false;
    // Priority; zero is the highest.
    std::uint8_t priority_ = 0;
    // Maximum number of backend servers that may receive one call.
    std::int32_t maxBackends_ = 0;
    // Longest time that the operator lets the caller wait.
    Millis timeout_;
    // Time within which the caller wants a response; zero when the route sets no target. A later response has less value.
    Millis latencyTarget_;
};

// Progress of a call.
enum class CallState : std::uint8_t {
    Routing, // Has no live attempt.
    Offering, // Waits for an offer to be admitted.
    Running, // One attempt may have been handed over.
    Relaying, // The response is being relayed to the caller.
    Ending, // The deadline has passed; waits for replies to its withdrawals.
};

// Progress of an attempt, as far as its outbound side knows.
enum class AttemptState : std::uint8_t {
    Offered, // No reply yet.
    Queued, // Queued at the inbound side; cannot run without confirmation.
    Running, // Admitted, and the body is on its way. Also queued without late binding, or routed with an overdue reply and an inline body.
    Withdrawing, // A withdrawal was sent.
    Relaying, // Its response is being relayed to the caller.
};

// Progress of a request at its inbound side.
enum class AdmissionState : std::uint8_t {
    Queued, // Waits for a slot.
    AwaitingConfirmation, // Holds a slot; waits for confirmation by the outbound side.
    AwaitingBody, // Holds a slot; waits for the body.
    Claiming, // Holds a slot; its idempotency key is being claimed in the store.
    Running, // Handed over to the backend server.
};

// Shortest recent duration by class. It rises slowly, so that it follows servers that become slower.
using ShortestTimes = std::unordered_map<ClassName, Millis, StrongHash>;

} // namespace radishford
