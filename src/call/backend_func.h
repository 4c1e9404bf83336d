// The backend server beside this daemon: announcements, readiness, limits and load.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"
#include "fleet/instance_type.h"
#include "measure/load_type.h"
#include "world/event_type.h"

namespace radishford {

struct LocalBackend;
struct World;

// Takes an announcement of the backend server.
void handle(World &world, const BackendAnnounced &event);

// Takes the goodbye of the backend server.
void handle(World &world, const BackendLeft &event);

// When an announcement lapses or a cold backend server's limit rises.
Millis nextAdmit(const World &world);

// Load of the own backend server.
LoadReport currentLoad(const World &world);

// Load for a message to an instance, or an empty report when the measuring budget forbids it.
LoadReport reportFor(World &world, const InstanceName &receiver);

// Requests that may hold a slot now: fewer while the backend server is cold.
Slots currentSlotLimit(const World &world);

// Changes the state of the backend server and tells the fleet.
void setBackendState(World &world, BackendState state);

// Takes note whether the backend server answered a request or failed it. Its health check may be good all the while.
void recordOutcome(World &world, bool succeeded);

// Adds a time to answer to the moving average.
void recordLatency(LocalBackend &backend, Millis latency);

// Lets a lapsed announcement end, and reports a drain that takes too long.
void checkBackend(World &world);

} // namespace radishford
