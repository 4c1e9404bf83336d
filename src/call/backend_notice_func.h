// What the local backend server states about itself in its responses: its request limit, and that it leaves.
#pragma once

#include "fleet/instance_type.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Applies what a response states. A response of an earlier start of the server is ignored.
void handle(World &world, const BackendStated &event);

// Records that a start of a server leaves. Only has an effect if that start is announced now. The server then gets no further request.
void recordLeaving(World &world, const BackendStart &start);

// Forgets what the previous start of the server stated.
void resetNotices(World &world);

// True when a request must wait until the server has told whether it limits its requests or leaves. Starts the health check that asks it. Without a response to
// that, one request at a time may run until one is answered.
bool awaitsNotice(World &world);

} // namespace radishford
