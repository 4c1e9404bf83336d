// Decides how long a connection to the backend server may have been idle to be reused.
//
// Fault: a backend server, or a device on the network path, silently drops idle connections and resets the next request on them. That
// request may have run, so a non-idempotent one cannot be retried.
#pragma once

#include "core/clock_type.h"

namespace radishford {

struct World;

// Returns the longest idle time after which a connection is reused; never() when no dropped connection was found recently.
Millis maxReuseIdleTime(const World &world);

// Records that a reused connection closed before any response. The idle time is zero for a new connection.
void recordIdleConnectionLoss(World &world, Millis idle);

} // namespace radishford
