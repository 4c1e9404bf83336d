// Decides how long an idle connection to the backend server may have been idle to be used again.
//
// Fault: a backend server, or something on the way, forgets idle connections without notice; whatever is sent next on one is reset. The
// request may have run for all that is known, so one that must not run twice is lost.
#pragma once

#include "core/clock_type.h"

namespace radishford {

struct World;

// Longest idle time after which a connection is used again; never() while no forgotten connection was met of late.
Millis maxReuseIdle(const World &world);

// Takes note that a connection broke before any answer when it was used after an idle time. Zero for a new connection.
void recordIdleConnectionLoss(World &world, Millis idle);

} // namespace radishford
