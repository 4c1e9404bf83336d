// Graceful shutdown of a daemon: requests in flight are completed.
#pragma once

#include "core/clock_type.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Applies the settings that may change at run time: seeds, limits, budgets and the expected local backend server.
void handle(World &world, const SettingsChanged &event);

// Starts the shutdown: new calls are refused, at once or after refuseCallsAfter_. This daemon's record shows a ready backend server as
// draining and is sent to one daemon in each failure domain.
void handle(World &world, const ShutdownRequested &event);

// True when this daemon refuses all new calls because it is shutting down.
bool refusesCalls(const World &world);

// True when this daemon refuses a new call because it is shutting down: the call could still run at the latest time of the exit.
bool refusesCall(const World &world, Millis deadline);

// Expected time until a daemon serves again at this address, once shutdown has been requested.
Millis timeUntilRestart(const World &world);

// Emits Exit once no request is in flight, the store has responded about tickets and released idempotency keys, and the minimum duration of the
// shutdown has passed, or at its maximum duration. Calls and requests of other daemons that still wait for a backend server shortly before are
// reported as not run.
void runShutdown(World &world);

// Time at which the shutdown system is due; never() when no shutdown is in progress or it has no limit to wait for.
Millis nextShutdownDue(const World &world);

} // namespace radishford
