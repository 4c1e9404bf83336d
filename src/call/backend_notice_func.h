// What the local backend server states about itself in its responses: its request limit, and that it leaves.
#pragma once

#include "world/event_type.h"

namespace radishford {

struct World;

// Applies what a response states. A response of an earlier start of the server is ignored.
void handle(World &world, const BackendStated &event);

} // namespace radishford
