// Shutdown of a daemon without cutting a request.
#pragma once

#include "core/clock_type.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Takes limits and budgets of changed settings into force.
void handle(World &world, const SettingsChanged &event);

// Starts the shutdown: no new work is taken, and the fleet is told.
void handle(World &world, const ShutdownAsked &event);

// True when this daemon is leaving and takes no calls any more.
bool refusesCalls(const World &world);

// Ends the process once nothing is in flight.
void runShutdown(World &world);

// When the shutdown looks again.
Millis nextShutdown(const World &world);

} // namespace radishford
