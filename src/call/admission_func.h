// Admission of requests to the local backend server. Every request to it passes through here.
#pragma once

#include "call/call_base.h"
#include "core/clock_type.h"
#include "core/result_code.h"
#include "world/event_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Admits, queues or refuses an offer.
void handle(World &world, const OfferArrived &event);

// Continues an admitted request after its confirmation. A confirmation for a request in another state is ignored.
void handle(World &world, const ConfirmationArrived &event);

// Marks the body as ready and hands the request over if nothing else is missing.
void handle(World &world, const BodyArrived &event);

// Removes a request that was not handed over, and replies whether the withdrawal came in time.
void handle(World &world, const WithdrawalArrived &event);

// Handles the loss of the connection to the outbound side. Removes the request if it was not handed over, cancels a running idempotent
// one, and lets a running non-idempotent one finish.
void handle(World &world, const PeerDisconnected &event);

// Ends a request whose response is complete, and records service time, load and outcome.
void handle(World &world, const BackendResponded &event);

// Ends a request that failed at the backend server. A closed connection may mark the request as a suspect.
void handle(World &world, const BackendFailed &event);

// Called when the deadline of a request passes. Only a non-routed request that is already running continues.
void expireAdmission(World &world, std::uint64_t packedId);

// Called when an admitted request was not confirmed in time; releases its slot.
void expireConfirmation(World &world, std::uint64_t packedId);

// Gives free slots to queued requests, and expires announcements that were not renewed.
void runAdmit(World &world);

// Forwards a request to the backend server, unless it was quarantined meanwhile. Its idempotency key, if any, is already claimed.
void handOver(World &world, AdmissionId id);

// Ends a request without a response and reports the code to the outbound side.
void failAdmission(World &world, AdmissionId id, ResultCode code);

} // namespace radishford
