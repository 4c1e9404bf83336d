// Follows the desired state in the platform's store.
#pragma once

#include "core/clock_type.h"
#include "store/store_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Takes the store's answer to a read or watch. Returns false when the request is neither.
bool takeWatchAnswer(World &world, std::uint64_t request, const StoreAnswer &answer);

// Sends the next read or watch when it is due.
void runWatch(World &world);

// When the watch system must run next.
Millis nextWatch(const World &world);

} // namespace radishford
