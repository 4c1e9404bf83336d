// Suspects: requests that were running when a backend server failed.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "fleet/datagram_type.h"

#include <string>

namespace radishford {

struct World;

// True when the request was running at one or more failures and has not completed since.
bool isSuspect(const World &world, Fingerprint fingerprint);

// True when the request is refused: it was running at enough failures (two, or three in a routed deployment), or an operator quarantined it.
bool isQuarantined(const World &world, Fingerprint fingerprint);

// Counts a failure against a request and notifies the daemons of the service. The exchange is ended once they have acknowledged, or after
// a short time. When another suspect ran at the same time, it most likely caused the failure. The failure then only makes the request a
// suspect; it is not counted for one that already is.
void markSuspect(World &world, Fingerprint fingerprint, bool isBesideSuspect, ExchangeHandle exchange, std::uint64_t attempt);

// Clears a request that has completed, here and on the daemons of the service.
void clearSuspect(World &world, Fingerprint fingerprint);

// Applies an operator's quarantine or release of a fingerprint, given in hexadecimal.
void applyQuarantine(World &world, const std::string &fingerprint, bool quarantined);

// Merges a notice from another daemon and acknowledges it, unless it clears a suspect.
void handleDatagram(World &world, const Address &from, const SuspectRequestNotice &notice);

// Handles the acknowledgement of a notice.
void handleDatagram(World &world, const Address &from, const SuspectRequestAck &ack);

// Resends unacknowledged notices, ends the exchanges of finished ones, and purges expired suspects.
void runSuspects(World &world);

// Returns when the suspect system must run next; never() when there are no suspects and no notices in progress.
Millis nextSuspectsDue(const World &world);

} // namespace radishford
