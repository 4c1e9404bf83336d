// What the local backend server states about itself in its responses: its request limit, and that it leaves.
#pragma once

#include "fleet/instance_type.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Applies what a response states. A response of an earlier start of the server is ignored.
void handle(World &world, const BackendStated &event);

// Records that a start of a server leaves, which then gets no further request. One that is not announced now is remembered, since its announcements may arrive
// late. The other daemons are told.
void recordLeaving(World &world, BackendStartHash start);

// True when the announced start of the server was recorded to leave before it was announced.
bool wasRecordedLeaving(const World &world);

// Forgets the request limit that the previous start of the server stated.
void resetNotices(World &world);

// True when a request must wait until the server has told whether it limits its requests or leaves. Starts the health check that asks it. Without a response to
// that, one request at a time may run until one is answered.
bool awaitsNotice(World &world);

} // namespace radishford
