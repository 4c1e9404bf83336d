// Decides when work may start at the local backend server.
//
// Load pattern: a server shares its machine with others, so that for a fraction of a second at a time all its work takes several times as
// long. Whether a request starts in such a slow period decides how long it takes to the end. Requests therefore wait until the slow
// period is over, or run on another server.
#pragma once

#include "call/call_base.h"
#include "core/clock_type.h"
#include "world/event_type.h"

#include <cstdint>

namespace radishford {

struct InterruptedRequest;
struct World;

// Whether the backend server is fast enough for new work.
enum class BackendSpeed : std::uint8_t {
    Normal, // Work may start.
    Slow, // Work takes much longer than usual at the moment.
    Unknown, // The latest load report is too old; a check is needed.
};

// True when checks are enabled and the health path of the service is known.
bool canCheckBackend(const World &world);

// Returns whether the backend server works at its normal speed, so that work may start now.
BackendSpeed backendSpeed(World &world);

// Returns the number of slots that routed requests may hold: fewer than the limit when servers of the service slow down too much with nearly
// all slots taken.
Slots usableSlots(World &world);

// True when nearly all slots are taken.
bool isNearFull(const World &world);

// Updates the typical service time of the request's class from a finished request.
void recordServiceTime(World &world, const Admission &row);

// Returns the typical service time of the offer's class at full speed; zero when it is unknown.
Millis typicalServiceTime(const World &world, const Offer &offer);

// Sends a check of the backend server's load unless one is in progress or the check budget is spent.
void requestCheck(World &world);

// Sends a check unless one is in progress, whatever is left of the check budget. The backend server must have a health path.
void startCheck(World &world);

// True when the check in progress takes so long that requests which wait for it need a verdict, lest their outbound sides take this daemon for unreachable.
bool isCheckOverdue(const World &world);

// Schedules the next check if requests are queued and the backend server is slow.
void scheduleCheck(World &world, BackendSpeed speed);

// Delays the result of an interrupted request until a check shows whether the backend server crashed. Without checks it counts as crashed.
void deferResultUntilCheck(World &world, const InterruptedRequest &interrupted);

// Applies the result of a check.
void handle(World &world, const BackendChecked &event);

// Records a load report that arrived with a response. An empty one is ignored.
void recordBackendLoad(World &world, const BackendLoad &load);

// Sends a due check, and counts one without a response as failed.
void runBackendSpeed(World &world);

// Returns when the backend speed system must run next; never() when no check is due.
Millis nextBackendSpeedDue(const World &world);

} // namespace radishford
