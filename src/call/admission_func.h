// Admission of requests at the only way to the backend server.
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

// Lets an admitted request run.
void handle(World &world, const GoArrived &event);

// Takes note that the body is here.
void handle(World &world, const BodyArrived &event);

// Withdraws a request unless it was handed over.
void handle(World &world, const WithdrawArrived &event);

// Withdraws a request whose outbound side is gone, or lets it end alone.
void handle(World &world, const PeerGone &event);

// Ends a request that was answered.
void handle(World &world, const BackendAnswered &event);

// Ends a request that the backend server did not answer.
void handle(World &world, const BackendFailed &event);

// A request's deadline has passed.
void expireAdmission(World &world, std::uint64_t row);

// Go did not come in time.
void expireGoWait(World &world, std::uint64_t row);

// Gives free slots to waiting requests, and lets lapsed announcements end.
void runAdmit(World &world);

// Hands a request over; its key is claimed if it has one.
void handOver(World &world, AdmissionId id);

// Ends a request without an answer.
void failAdmission(World &world, AdmissionId id, ResultCode code);

} // namespace radishford
