// Discovery of other daemons through the member list in the platform's store.
#pragma once

#include "core/clock_type.h"
#include "store/store_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Handles the store's response if it belongs to a directory request. Returns false when the request id is not the directory's.
bool handleDirectoryResponse(World &world, std::uint64_t request, const StoreResponse &response);

// Writes this daemon's row, then reads the member list and pings members that are not known yet. Repeats the read while no other daemon
// is known to run.
void runDirectory(World &world);

// Writes this daemon's row again after a random delay that keeps the whole fleet below the store's write rate, and reads the member list
// again if no other daemon is known to run.
void restartDirectory(World &world);

// Time at which the directory system is due; never() while a request is pending or the deployment is not routed.
Millis nextDirectoryDue(const World &world);

} // namespace radishford
