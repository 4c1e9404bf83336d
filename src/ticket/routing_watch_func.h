// Keeps the desired state up to date with the platform's store.
#pragma once

#include "core/clock_type.h"
#include "store/store_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Processes the store's response to a read or watch of the desired state. Returns false when the request is not one of this system.
bool handleRoutingWatchResponse(World &world, std::uint64_t request, const StoreResponse &response);

// Drops the position in the store's history, so that the desired state is read again.
void restartRoutingWatch(World &world);

// Sends the next read or watch when it is due and none is pending.
void runRoutingWatch(World &world);

// Returns the time of the next request, or never() while one is pending or the desired state is not used.
Millis nextRoutingWatchDue(const World &world);

} // namespace radishford
