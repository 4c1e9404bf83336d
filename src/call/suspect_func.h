// Suspects: requests that were running when a backend server failed.
#pragma once

#include "call/call_type.h"
#include "call/suspect_type.h"
#include "core/clock_type.h"
#include "fleet/datagram_type.h"

#include <string>

namespace radishford {

struct InterruptedRequest;
struct Offer;
struct World;

// True when the request was running at one or more failures and has not completed since, or an operator quarantined it.
bool isSuspect(const World &world, Fingerprint fingerprint);

// True when the request is refused: it was running at enough failures, or an operator quarantined it.
bool isQuarantined(const World &world, Fingerprint fingerprint);

// True when the request is refused for its failures, whatever an operator has set.
bool isQuarantinedByFailures(const World &world, Fingerprint fingerprint);

// True when the request was running at enough failures for a quarantine, but too few of them are attributed to it.
bool isOnTrial(const World &world, Fingerprint fingerprint);

// Counts a failure of its backend server against a request and notifies the daemons of the service. The exchange is ended once they have acknowledged, or after
// a short time. When another suspect ran at the same time, it most likely caused the failure. The failure then only makes the request a
// suspect; it is not counted for one that already is.
void markSuspect(World &world, const InterruptedRequest &request);

// Clears the failures of a request that has completed, here and on the other daemons. Has no effect on an operator's quarantine, nor when the fingerprint
// covers only part of the request's body: another request may share it.
void clearSuspect(World &world, const Offer &offer);

// Applies an operator's quarantine or release of a fingerprint, given in hexadecimal. A release that is read when this daemon joins clears no failures: they
// may be later ones.
void applyQuarantine(World &world, const std::string &fingerprint, bool quarantined);

// Returns what this daemon knows of a suspect, for messages and the store.
SuspectRecord recordOf(const World &world, Fingerprint fingerprint);

// Merges what another daemon or the store knows of a suspect. A record that is about to be forgotten is ignored.
void mergeSuspect(World &world, const SuspectRecord &record);

// Returns how long a suspect is remembered after its latest failure.
Millis suspectDuration(const World &world);

// Merges a notice from another daemon, and acknowledges it if it has a token.
void handleDatagram(World &world, const Address &from, const SuspectRequestNotice &notice);

// Handles the acknowledgement of a notice.
void handleDatagram(World &world, const Address &from, const SuspectRequestAck &ack);

// Resends unacknowledged notices, ends the exchanges of finished ones, and purges expired suspects.
void runSuspects(World &world);

// Returns when the suspect system must run next; never() when there are no suspects and no notices in progress.
Millis nextSuspectsDue(const World &world);

} // namespace radishford
