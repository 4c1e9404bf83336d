// Claims idempotency keys in the platform's store.
#pragma once

#include "call/call_type.h"
#include "call/exchange_type.h"
#include "core/clock_type.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Processes the store's response to a request about claims. Returns false when the request is not one of this system.
bool handleClaimResponse(World &world, std::uint64_t requestId, const StoreResponse &response);

// Queues the claim of an admission's key. The request is handed over or refused once the store has responded.
void queueClaim(World &world, AdmissionId id);

// Queues the release of the key of a request that was not run. The key stays claimed when too many releases wait.
void queueClaimRelease(World &world, AdmissionId id, const Offer &offer);

// True while a claim or release waits to be sent, or for the store's response.
bool hasPendingClaims(const World &world);

// Sends waiting claims in batches, take-overs and releases, within this daemon's share of the fleet's write rate.
void runClaims(World &world);

// Returns the time at which the claim system is due next.
Millis nextClaimsDue(const World &world);

} // namespace radishford
