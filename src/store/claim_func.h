// Claims of idempotency keys in the platform's table.
#pragma once

#include "call/call_type.h"
#include "call/exchange_type.h"
#include "core/clock_type.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Takes the store's answer to a request about claims. Returns false when it is not one.
bool takeClaimAnswer(World &world, std::uint64_t number, const StoreAnswer &answer);

// Queues the claim of an admission's key; the request is handed over, or refused, once the store has answered.
void queueClaim(World &world, AdmissionId id);

// Frees the key of a request that was not run, as far as the store allows.
void releaseClaim(World &world, AdmissionId id, const Offer &offer);

// Sends waiting claims in groups, within this daemon's part of the fleet's writes.
void runClaims(World &world);

// When the claim system must run next.
Millis nextClaims(const World &world);

} // namespace radishford
