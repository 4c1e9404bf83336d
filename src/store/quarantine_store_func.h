// Keeps quarantines in the platform's store. Daemons exchange them among themselves; the store serves after a loss of all daemons. One daemon writes for all,
// one row for each quarantine, and the rows are read together with the list of daemons.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"
#include "store/store_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Records that the quarantine of a request must be written to the store. One that was stored before, and has ended since, is written again.
void storeQuarantine(World &world, Fingerprint fingerprint, bool wasStored);

// Records that the quarantine of a request has ended and its row must be deleted.
void removeStoredQuarantine(World &world, Fingerprint fingerprint);

// Merges quarantines that were read from the store. They hold as long as new ones, since the store does not tell the time of the failures.
void applyStoredQuarantines(World &world, const StoreResponse &response);

// Handles the store's response if it belongs to this system. Returns false when the request id is not this system's.
bool handleQuarantineResponse(World &world, std::uint64_t request, const StoreResponse &response);

// Writes all quarantines again, since the store may have lost them when it was restored.
void restartQuarantineStore(World &world);

// Sends the next change, if this daemon is the one that writes.
void runQuarantineStore(World &world);

// Time at which the system is due; never() while nothing waits or a request is pending.
Millis nextQuarantineStoreDue(const World &world);

} // namespace radishford
