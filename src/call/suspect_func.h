// Requests that were running when a backend server failed.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "fleet/gossip_type.h"

#include <string>

namespace radishford {

struct World;

// True when the request was running at one failure or more and has not run whole since.
bool isSuspect(const World &world, Fingerprint fingerprint);

// True when the request is refused: it was running at two failures, or operators forbid it.
bool isQuarantined(const World &world, Fingerprint fingerprint);

// Counts a failure against a request and tells the daemons of the service. The exchange fails once they know, or after a short time.
// A bystander's failure counts only as its first: it cannot bring about quarantine.
void markSuspect(World &world, Fingerprint fingerprint, bool isBesideSuspect, ExchangeHandle exchange, std::uint64_t attempt);

// Sets a request free that has run whole.
void clearSuspect(World &world, Fingerprint fingerprint);

// Brings an operator's word on a fingerprint, in hexadecimal, into force.
void applyQuarantine(World &world, const std::string &fingerprint, bool quarantined);

// Takes a notice.
void take(World &world, const Address &from, const SuspectNotice &notice);

// Takes the confirmation of a notice.
void take(World &world, const Address &from, const SuspectAck &ack);

// Repeats notices, fails settled exchanges, forgets old suspects.
void runSuspects(World &world);

// When the suspect system must run next.
Millis nextSuspects(const World &world);

} // namespace radishford
