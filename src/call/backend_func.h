// The local backend server: announcements, readiness, limits and load.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"
#include "fleet/instance_type.h"
#include "measure/load_report_type.h"
#include "world/event_type.h"

namespace radishford {

struct LocalBackend;
struct World;

// Applies an announcement of the backend server. Stale ones are ignored; a restart or changed address resets what was learned.
void handle(World &world, const BackendAnnounced &event);

// Sets a deregistered backend server to draining. It stays so until a new start is announced.
void handle(World &world, const BackendDeregistered &event);

// Returns when the announcement expires or the limit of a cold backend server rises; never() when no server is announced.
Millis nextAdmitDue(const World &world);

// Returns the current load of the local backend server.
LoadReport currentLoadReport(const World &world);

// Returns the load to send to an instance, or an empty report when the measurement budget forbids it.
LoadReport loadReportFor(World &world, const InstanceName &receiver);

// Returns the start of the backend server that is announced now.
BackendStart currentStart(const World &world);

// Returns the number of slots that may be used now: fewer while the backend server is cold, at least one.
Slots currentSlotLimit(const World &world);

// Changes the state of the backend server and publishes it to the fleet. Queued requests are refused when it drains or becomes absent.
void setBackendState(World &world, BackendState state);

// Records whether the backend server responded to a request or failed it. This is independent of its health check, which may pass anyway.
void recordOutcome(World &world, bool succeeded);

// Adds the time of one response to the moving average.
void recordLatency(LocalBackend &backend, Millis latency);

// Sets the backend server absent when its announcement was not renewed, and logs a drain that takes too long.
void checkAnnouncementAndDrain(World &world);

} // namespace radishford
